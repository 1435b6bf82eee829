//! End-to-end tests of callers, nodes, engines and settings over loopback.

use cassiareel_standins::{
    caller::{Caller, ReceivedStream},
    engine::expected_answer,
    fleet::{Fleet, FleetOptions, CALLER_KEY},
};
use serde_json::{json, Value};

/// Starts a fleet of engines and nodes.
fn fleet(engines: usize, nodes: usize) -> Fleet {
    Fleet::start(&FleetOptions::new(engines, nodes)).expect("loopback has ports")
}

/// Returns a streamed request whose answer ends only at its token limit.
fn body(prompt: &str, tokens: u32) -> Value {
    json!({"model": "draft", "prompt": prompt, "max_tokens": tokens, "ignore_eos": true,
        "stream": true, "stream_options": {"include_usage": true}})
}

/// Streams an answer from a node and calls `on_event` after each event.
fn stream<F>(fleet: &Fleet, node: usize, body: &Value, on_event: F) -> ReceivedStream
where
    F: FnMut(&ReceivedStream),
{
    let addr = fleet.addr(node).expect("the node serves");
    let mut received = ReceivedStream::default();
    smol::block_on(Caller::new(CALLER_KEY).stream(addr, body, &mut received, on_event));
    received
}

#[test]
fn a_stream_is_complete_at_every_node() {
    let fleet = fleet(2, 6);
    let (ids, text) = expected_answer("draft@v1", "Once upon a time", 64);
    for node in 0..6 {
        let received = stream(&fleet, node, &body("Once upon a time", 64), |_| ());
        assert_eq!(received.text, text, "node {node}: {received:?}");
        assert_eq!(received.completion_tokens, Some(ids.len() as u64));
        assert!(received.done, "{received:?}");
    }
}

#[test]
fn an_answer_that_is_not_streamed_is_complete() {
    let fleet = fleet(1, 1);
    let (ids, text) = expected_answer("draft@v1", "A flask for", 32);
    let body = json!({"model": "draft", "prompt": "A flask for", "max_tokens": 32});
    let addr = fleet.addr(0).expect("the node serves");
    let answer: Value = smol::block_on(async {
        let caller = Caller::new(CALLER_KEY);
        let sent = caller.post(addr, "/v1/completions", &[], body.to_string());
        let mut res = sent.await.expect("the node answers");
        let bytes = res.body_bytes().await.expect("the answer is complete");
        serde_json::from_slice(&bytes).expect("the answer is JSON")
    });
    assert_eq!(answer["choices"][0]["text"], json!(text));
    assert_eq!(answer["usage"]["completion_tokens"], json!(ids.len()));
}

#[test]
fn a_stream_continues_after_two_engines_were_killed() {
    let fleet = fleet(3, 1);
    let prompt = "To the best of uncles";
    let (_, text) = expected_answer("draft@v1", prompt, 80);
    let mut events = 0;
    let mut killed = 0;
    let received = stream(&fleet, 0, &body(prompt, 80), |_| {
        events += 1;
        if events == 10 || events == 30 {
            let engine = fleet.busy_engine().expect("an engine runs the answer");
            engine.kill();
            killed += 1;
        }
    });
    assert_eq!(killed, 2);
    assert_eq!(received.text, text);
    assert!(received.done, "{received:?}");
}

#[test]
fn a_request_without_a_running_engine_is_rejected_as_not_run() {
    let fleet = fleet(1, 1);
    fleet.engines[0].kill();
    let addr = fleet.addr(0).expect("the node serves");
    let sent = smol::block_on(Caller::new(CALLER_KEY).post(
        addr,
        "/v1/completions",
        &[],
        body("x", 5).to_string(),
    ));
    let res = sent.expect("the node answers");
    assert_eq!(res.status(), 503);
    let outcome = res
        .header("x-outcome")
        .expect("the answer states its outcome");
    assert_eq!(outcome.as_str(), "not_run");
    assert!(res.header("retry-after").is_some());
}
