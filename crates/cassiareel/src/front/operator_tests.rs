//! Tests of the interface for operators.

use std::sync::Arc;

use arc_swap::ArcSwap;
use http_types::{Method, Request, StatusCode, Url};
use slog::{info, o, Logger};
use test_case::test_case;

use super::{Decisions, NodeStatus, OperatorApi};
use crate::{
    observe::RecentLines,
    settings::{key_digest, Draft, Snapshot},
    wire::Handler,
};

fn operator(revision: u64) -> OperatorApi {
    let digest = hex::encode(key_digest("k-ana"));
    let text = format!("[platform.operators.ana.keys]\ndesk = \"{digest}\"");
    let tree = match revision {
        0 => Default::default(),
        _ => Draft::parse(&text).unwrap().tree,
    };
    let settings = Arc::new(ArcSwap::from_pointee(Snapshot::new(revision, tree)));
    let recent = RecentLines::new();
    let log = recent.tee(&Logger::root(slog::Discard, o!()));
    info!(log, "routed"; "request" => "a b", "choice" => "10.0.0.1:80");
    let status = NodeStatus {
        name: "n1".into(),
        data_centre: "d1".into(),
        revision,
        leaving: false,
        open: 3,
        uptime: 7,
    };
    OperatorApi::new(settings, recent, Arc::new(move || status.clone()))
}

fn send_request(operator: &OperatorApi, path: &str, key: Option<&str>) -> (StatusCode, String) {
    let url = Url::parse(&format!("http://127.0.0.1{path}")).unwrap();
    let mut req = Request::new(Method::Get, url);
    if let Some(key) = key {
        req.insert_header("authorization", format!("Bearer {key}"));
    }
    smol::block_on(async {
        let from = "127.0.0.1:1".parse().unwrap();
        let mut res = operator.handle(req, from).await;
        (res.status(), res.body_string().await.unwrap())
    })
}

#[test_case(1, None, "no operator's key"; "without a key")]
#[test_case(1, Some("k-rex"), "is no operator's"; "with another key")]
#[test_case(1, Some(""), "is no operator's"; "with an empty key")]
#[test_case(0, Some("k-ana"), "no settings are in force"; "before settings are in force")]
fn a_call_without_a_valid_key_is_refused(revision: u64, key: Option<&str>, expected: &str) {
    let operator = operator(revision);
    for path in [
        "/operator/status",
        "/operator/decisions?request=x",
        "/operator/x",
    ] {
        let (status, body) = send_request(&operator, path, key);
        assert_eq!(status, StatusCode::Unauthorized);
        assert!(body.contains(expected), "{body}");
    }
}

#[test]
fn an_operator_reads_status_and_decisions() {
    let operator = operator(4);
    let (status, body) = send_request(&operator, "/operator/status", Some("k-ana"));
    assert_eq!(status, StatusCode::Ok);
    let node: NodeStatus = serde_json::from_str(&body).unwrap();
    assert_eq!((node.revision, node.open), (4, 3));
    let (_, body) = send_request(
        &operator,
        "/operator/decisions?request=a%20b",
        Some("k-ana"),
    );
    let decisions: Decisions = serde_json::from_str(&body).unwrap();
    assert_eq!(decisions.lines[0]["choice"], "10.0.0.1:80");
    let (_, body) = send_request(&operator, "/operator/decisions?request=c", Some("k-ana"));
    let decisions: Decisions = serde_json::from_str(&body).unwrap();
    assert!(decisions.lines.is_empty());
}

#[test_case("/operator/decisions", StatusCode::BadRequest)]
#[test_case("/operator/nothing", StatusCode::NotFound)]
fn an_invalid_call_gets_an_error_status(path: &str, status: StatusCode) {
    assert_eq!(send_request(&operator(1), path, Some("k-ana")).0, status);
}
