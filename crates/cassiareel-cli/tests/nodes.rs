//! Tests of the commands that query nodes, against a small fleet on loopback addresses.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use cassiareel::{settings::key_digest, store::HttpObjects};
use cassiareel_cli::{
    apply_file, describe_lines, explain, status, wait_for_revision, ApplyOptions, Code,
    DecisionLine, NodeClient,
};
use cassiareel_standins::fleet::{Fleet, FleetOptions, CALLER_KEY};
use serde_json::json;

/// The key of the fleet's operator.
const OPERATOR_KEY: &str = "operator-key";

/// The time limit for a revision to be in force on all nodes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts a fleet of three nodes whose settings name an operator, and returns it with a client for
/// each node.
fn fleet() -> (Fleet, Vec<NodeClient>) {
    let mut fleet = Fleet::start(&FleetOptions::new(2, 3)).expect("loopback has ports");
    let digest = hex::encode(key_digest(OPERATOR_KEY));
    let tree = format!(
        "{}[platform.operators.ana]\nkeys.desk = \"{digest}\"\n",
        fleet.settings_tree()
    );
    fleet.apply(&tree);
    let nodes = (0..3)
        .map(|i| fleet.node(i).expect("the node runs").control_addr())
        .map(|addr| NodeClient::new(addr, OPERATOR_KEY))
        .collect();
    (fleet, nodes)
}

/// Sends a completion request with the given request id and returns the whole answer.
fn complete(addr: SocketAddr, request_id: &str) -> String {
    let body = json!({"model": "draft", "prompt": "a vow", "max_tokens": 5}).to_string();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: n\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         x-request-id: {request_id}\r\ncontent-type: application/json\r\nconnection: close\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(addr).expect("the node listens");
    stream.write_all(head.as_bytes()).expect("the node reads");
    let mut answer = String::new();
    stream
        .read_to_string(&mut answer)
        .expect("the node answers");
    answer
}

#[test]
fn status_shows_nodes_that_are_behind_or_unreachable() {
    let (mut fleet, mut nodes) = fleet();
    smol::block_on(async {
        let report = status(&nodes, Some(2)).await;
        assert_eq!(report.code, Code::Success);
        assert_eq!(report.text.matches("serving").count(), 3, "{}", report.text);
        let report = status(&nodes, Some(5)).await;
        assert!(
            report.text.contains("3 revisions behind"),
            "{}",
            report.text
        );
        fleet.kill_node(1);
        let report = status(&nodes, Some(2)).await;
        assert_eq!(report.code, Code::Unreachable);
        assert_eq!(report.text.matches("serving").count(), 2, "{}", report.text);
        nodes[0] = NodeClient::new(nodes[0].addr, "another-key");
        let report = status(&nodes[..1], Some(2)).await;
        assert!(
            report.text.contains("the key is no operator's"),
            "{}",
            report.text
        );
    });
}

#[test]
fn explain_collects_lines_from_all_nodes() {
    let (fleet, nodes) = fleet();
    let answer = complete(fleet.addr(1).expect("the node serves"), "my-request");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    smol::block_on(async {
        let report = explain(&nodes, "my-request").await.unwrap();
        let text = &report.text;
        assert!(
            text.starts_with("request my-request of account shops from caller desk"),
            "{text}"
        );
        assert!(text.contains("attempt 1: sent to 127.0.0.1:"), "{text}");
        assert!(text.contains("completed with 5 tokens"), "{text}");
        assert!(text.contains(&nodes[1].addr.to_string()), "{text}");
        let err = explain(&nodes, "another").await.unwrap_err();
        assert_eq!(err.code, Code::Refused);
    });
}

#[test]
fn wait_reports_nodes_without_the_revision_in_force() {
    let (mut fleet, nodes) = fleet();
    let api = HttpObjects::new(fleet.objects.addr());
    smol::block_on(async {
        let text = cassiareel_cli::get(&api).await.unwrap().text;
        let path =
            std::env::temp_dir().join(format!("cassiareel-wait-{}.toml", std::process::id()));
        let file = path.to_str().expect("the path is text");
        std::fs::write(
            file,
            text.replace(
                "[regions.r",
                "[platform.policy.time]\nqueue = \"7s\"\n\n[regions.r",
            ),
        )
        .expect("the directory for temporary files takes files");
        let options = ApplyOptions::default();
        let applied = apply_file(&api, "ana", file, &options).await;
        let _ = std::fs::remove_file(file);
        let (applied, _) = applied.unwrap();
        let report = wait_for_revision(&nodes, applied.revision, WAIT_TIMEOUT).await;
        assert_eq!(report.code, Code::Success, "{}", report.text);
        for i in 0..3 {
            let node = fleet.node(i).expect("the node runs");
            assert_eq!(node.settings().revision, applied.revision);
        }
        fleet.kill_node(2);
        let report = wait_for_revision(&nodes, applied.revision, Duration::ZERO).await;
        assert_eq!(report.code, Code::Pending);
        let late = report.json["late"]
            .as_array()
            .expect("the late nodes are listed");
        assert_eq!(late.len(), 1);
        assert!(late[0].to_string().contains(&nodes[2].addr.to_string()));
    });
}

#[test]
fn decision_lines_are_described_in_plain_words() {
    let line = |fields: serde_json::Value| DecisionLine {
        node: "10.0.0.1:81".into(),
        fields: fields
            .as_object()
            .expect("the fields are an object")
            .clone(),
    };
    let lines = [
        line(json!({
            "msg": "routed", "time_ms": 100, "request": "r", "account": "a", "caller": "c",
            "service": "s", "attempt": 1, "version": "v1", "policy": "blend", "reason": "policy",
            "choice": "10.0.1.1:80", "candidates": "10.0.1.1:80 score=1.0 cached=2 outstanding=0 chosen; \
             10.0.1.2:80 score=2.5 cached=0 outstanding=3 score; \
             10.0.1.3:80 score=0.0 cached=0 outstanding=0 ejected",
        })),
        line(json!({"msg": "attempt lost", "time_ms": 350, "attempt": 1, "cause": "reset"})),
        line(json!({
            "msg": "routed", "time_ms": 351, "attempt": 2, "version": "v1", "choice": null,
            "excluded": "10.0.1.1:80", "candidates": 2,
        })),
        line(json!({"msg": "admitted", "time_ms": 360, "tokens": 7})),
        line(
            json!({"msg": "ended", "time_ms": 400, "ending": "Partial", "tokens": 3, "attempts": 2}),
        ),
    ];
    let expected = "\
request r of account a from caller c to service s
      0 ms  10.0.0.1:81  attempt 1: sent to 10.0.1.1:80, version v1, by policy blend (the best score)
              10.0.1.1:80  score=1.0 cached=2 outstanding=0  chosen
              10.0.1.2:80  score=2.5 cached=0 outstanding=3  passed over: another server scored better
              10.0.1.3:80  score=0.0 cached=0 outstanding=0  passed over: ejected for its failures
    250 ms  10.0.0.1:81  attempt 1 was lost: reset
    251 ms  10.0.0.1:81  attempt 2: no backend server of version v1 was available; not tried again: 10.0.1.1:80; of 2 candidates
    260 ms  10.0.0.1:81  admitted: tokens 7
    300 ms  10.0.0.1:81  ended early after reporting its position to the caller, with 3 tokens after 2 attempts
";
    assert_eq!(describe_lines("r", &lines), expected);
}
