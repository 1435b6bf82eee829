//! Admission over loopback: the memory of an engine, and the limits of a client account.

use std::net::SocketAddr;

use cassiareel_standins::{
    caller::Caller,
    engine::{expected_answer, Engine, EngineOptions},
    fleet::{Fleet, FleetOptions, CALLER_KEY},
};
use serde_json::{json, Value};

/// Number of concurrent requests.
const REQUESTS: usize = 40;
/// Number of tokens in each answer.
const TOKENS: u32 = 40;

/// Starts an engine whose memory holds a few requests of [`prompt`], and that crashes if they
/// exceed it.
fn small_engine() -> Engine {
    let mut options = EngineOptions::new("draft@v1");
    options.capacity.memory_tokens = 1_200;
    Engine::start(options).expect("loopback has ports")
}

/// Returns a prompt of about a hundred tokens.
fn prompt(i: usize) -> String {
    format!("{i:04} ").repeat(80)
}

fn body(model: &str, i: usize) -> Value {
    json!({"model": model, "prompt": prompt(i), "max_tokens": TOKENS, "ignore_eos": true})
}

/// An answer's status, the headers `x-outcome` and `retry-after`, and the body.
#[derive(Debug)]
struct Answer {
    status: u16,
    outcome: Option<String>,
    retry_after: Option<String>,
    body: Value,
}

async fn send_request(addr: SocketAddr, body: Value) -> Option<Answer> {
    let caller = Caller::new(CALLER_KEY);
    let sent = caller.post(addr, "/v1/completions", &[], body.to_string());
    let mut res = sent.await.ok()?;
    let header = |name: &str| res.header(name).map(|value| value.as_str().to_owned());
    let (outcome, retry_after) = (header("x-outcome"), header("retry-after"));
    let bytes = res.body_bytes().await.ok()?;
    Some(Answer {
        status: res.status().into(),
        outcome,
        retry_after,
        body: serde_json::from_slice(&bytes).unwrap_or_default(),
    })
}

/// Sends all requests concurrently.
fn send_all(addr: SocketAddr, model: &str) -> Vec<Option<Answer>> {
    let executor = smol::Executor::new();
    let tasks: Vec<_> = (0..REQUESTS)
        .map(|i| executor.spawn(send_request(addr, body(model, i))))
        .collect();
    smol::block_on(executor.run(async {
        let mut answers = Vec::new();
        for task in tasks {
            answers.push(task.await);
        }
        answers
    }))
}

#[test]
fn requests_beyond_an_engines_memory_wait_at_the_node() {
    let unprotected = small_engine();
    send_all(unprotected.addr(), "draft@v1");
    assert!(
        unprotected.is_dead(),
        "the engine's memory holds all requests at once, so that this test proves nothing"
    );

    let mut fleet = Fleet::start(&FleetOptions::new(1, 1)).expect("loopback has ports");
    fleet.engines[0] = small_engine();
    let tree = fleet.settings_tree();
    fleet.apply(&tree);
    // The node learns the size of the engine's memory from its first load report.
    std::thread::sleep(std::time::Duration::from_millis(500));
    let answers = send_all(fleet.addr(0).expect("the node serves"), "draft");
    assert!(
        !fleet.engines[0].is_dead(),
        "the node admitted more requests than the engine's memory holds"
    );
    let mut complete = 0;
    for (i, answer) in answers.into_iter().enumerate() {
        let answer = answer.expect("the node answers");
        if answer.status == 200 {
            let (_, text) = expected_answer("draft@v1", &prompt(i), TOKENS);
            assert_eq!(answer.body["choices"][0]["text"], json!(text));
            complete += 1;
        } else {
            assert_eq!(answer.status, 503, "{answer:?}");
            assert_eq!(answer.outcome.as_deref(), Some("not_run"));
            assert!(answer.retry_after.is_some(), "{answer:?}");
        }
    }
    println!("{complete} of {REQUESTS} complete, the others rejected as not run");
    assert!(complete >= REQUESTS / 4, "{complete}");
}

#[test]
fn two_nodes_together_do_not_overflow_an_engine() {
    let mut fleet = Fleet::start(&FleetOptions::new(1, 2)).expect("loopback has ports");
    fleet.engines[0] = small_engine();
    let tree = fleet.settings_tree();
    fleet.apply(&tree);
    wait_for_peers(&fleet, 2);
    // The nodes learn the size of the engine's memory from its first load reports.
    std::thread::sleep(std::time::Duration::from_millis(1_500));
    let addrs: Vec<SocketAddr> = (0..2).filter_map(|i| fleet.addr(i)).collect();
    let answers: Vec<Option<Answer>> = std::thread::scope(|scope| {
        let spawn_caller = |addr: SocketAddr| scope.spawn(move || send_all(addr, "draft"));
        let sending: Vec<_> = addrs.into_iter().map(spawn_caller).collect();
        let joined = sending.into_iter().map(|sent| sent.join());
        joined
            .flat_map(|all| all.expect("no caller panics"))
            .collect()
    });
    assert!(
        !fleet.engines[0].is_dead(),
        "the nodes together admitted more requests than the engine's memory holds"
    );
    let complete = answers.iter().flatten().filter(|a| a.status == 200).count();
    println!("{complete} of {} complete", answers.len());
    assert!(complete > 0);
}

/// Waits until each of `count` nodes has received a message from all others.
fn wait_for_peers(fleet: &Fleet, count: usize) {
    let known_peers = |i: usize| {
        let peers = fleet.node(i).and_then(|node| node.peers().cloned());
        peers.map_or(0, |peers| peers.others().len())
    };
    let deadline = std::time::Instant::now() + std::time::Duration::from_secs(30);
    while (0..count).any(|i| known_peers(i) + 1 < count) {
        assert!(
            std::time::Instant::now() < deadline,
            "timed out waiting until the nodes know each other"
        );
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
}

#[test]
fn a_request_over_the_accounts_limit_is_rejected_with_a_retry_time() {
    let mut fleet = Fleet::start(&FleetOptions::new(1, 1)).expect("loopback has ports");
    let limit = "[accounts.shops.policy.limits]\nrequests = \"2/min\"\n";
    let tree = format!("{}{limit}", fleet.settings_tree());
    fleet.apply(&tree);
    let addr = fleet.addr(0).expect("the node serves");
    let first = smol::block_on(send_request(addr, body("draft", 0))).expect("the node answers");
    assert_eq!(first.status, 200, "{first:?}");
    let second = smol::block_on(send_request(addr, body("draft", 1))).expect("the node answers");
    assert_eq!(second.status, 429, "{second:?}");
    assert_eq!(second.outcome.as_deref(), Some("not_run"));
    let retry_after: u64 = second
        .retry_after
        .expect("the answer has a retry-after header")
        .parse()
        .expect("retry-after is in whole seconds");
    assert!(
        (20..=30).contains(&retry_after),
        "retry-after is {retry_after} s at a limit of two requests a minute"
    );
    assert_eq!(second.body["error"]["type"], json!("rate_limit_error"));
}
