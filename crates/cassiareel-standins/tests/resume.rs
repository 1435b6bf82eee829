//! Answers that survive the loss of their engine, their node, both, or the caller's connection.

use std::net::SocketAddr;

use cassiareel::kernel::TokenId;
use cassiareel_standins::{
    caller::{Caller, ReceivedStream},
    engine::{expected_answer, Failure, Fault, Faults},
    fleet::{Fleet, FleetOptions, CALLER_KEY},
};
use futures_lite::StreamExt;
use http_types::Response;
use serde_json::{json, Value};
use test_case::test_case;

const PROMPT: &str = "To the keeper of the long records";
const TOKENS: u32 = 60;
/// Number of tokens after which a fault is injected.
const TOKENS_BEFORE_FAULT: usize = 12;

fn fleet(engines: usize, nodes: usize) -> Fleet {
    let mut fleet = Fleet::start(&FleetOptions::new(engines, nodes)).expect("loopback has ports");
    let tree = fleet.settings_tree();
    fleet.apply(&tree);
    fleet
}

fn body() -> Value {
    json!({"model": "draft", "prompt": PROMPT, "max_tokens": TOKENS, "ignore_eos": true,
        "stream": true, "stream_options": {"include_usage": true}})
}

/// An answer with its token ids.
#[derive(Debug, Default)]
struct ReceivedTokens {
    ids: Vec<TokenId>,
    text: String,
    last_event_id: String,
    done: bool,
}

impl ReceivedTokens {
    /// Reads events until `enough` tokens were received or the answer has ended.
    async fn read_until(&mut self, res: Response, enough: usize) {
        let mut events = async_sse::decode(res);
        while let Some(Ok(async_sse::Event::Message(message))) = events.next().await {
            if message.data() == b"[DONE]" {
                self.done = true;
                return;
            }
            let part: Value = serde_json::from_slice(message.data()).expect("an event is JSON");
            let choice = &part["choices"][0];
            let ids = choice["token_ids"].as_array().cloned().unwrap_or_default();
            self.ids
                .extend(ids.iter().filter_map(Value::as_u64).map(|id| id as TokenId));
            self.text.push_str(choice["text"].as_str().unwrap_or(""));
            if let Some(id) = message.id() {
                self.last_event_id.clone_from(id);
            }
            if self.ids.len() >= enough {
                return;
            }
        }
    }
}

async fn post(addr: SocketAddr, body: &Value, last_event_id: Option<&str>) -> Response {
    let headers: Vec<(&str, &str)> = last_event_id
        .iter()
        .map(|id| ("last-event-id", *id))
        .collect();
    Caller::new(CALLER_KEY)
        .post(addr, "/v1/completions", &headers, body.to_string())
        .await
        .expect("the node answers")
}

fn addr(fleet: &Fleet, node: usize) -> SocketAddr {
    fleet.addr(node).expect("the node serves")
}

/// Streams from node 0 and disconnects after about [`TOKENS_BEFORE_FAULT`] tokens.
fn start_stream(fleet: &Fleet, body: &Value) -> ReceivedStream {
    let mut received = ReceivedStream::default();
    let has_enough = |received: &ReceivedStream| received.text.len() >= TOKENS_BEFORE_FAULT * 4;
    let caller = Caller::new(CALLER_KEY);
    let (stop, stopped) = async_channel::bounded::<()>(1);
    smol::block_on(smol::future::or(
        async {
            caller
                .stream(addr(fleet, 0), body, &mut received, |received| {
                    if has_enough(received) {
                        let _ = stop.try_send(());
                    }
                })
                .await;
        },
        async {
            let _ = stopped.recv().await;
        },
    ));
    received
}

/// Streams the rest of the answer from a node.
fn finish_stream(fleet: &Fleet, node: usize, received: &mut ReceivedStream) {
    smol::block_on(Caller::new(CALLER_KEY).stream(addr(fleet, node), &body(), received, |_| ()));
}

#[test]
fn a_caller_resumes_at_another_node() {
    let mut fleet = fleet(3, 3);
    let (_, text) = expected_answer("draft@v1", PROMPT, TOKENS);
    let mut received = start_stream(&fleet, &body());
    fleet.kill_node(0);
    finish_stream(&fleet, 1, &mut received);
    assert_eq!(received.text, text);
    assert!(received.done, "{received:?}");
    assert_eq!(received.completion_tokens, Some(TOKENS.into()));
    // The engine did not prefill or decode anything again.
    let started: u64 = fleet
        .engines
        .iter()
        .map(|engine| engine.stats().starts)
        .sum();
    assert_eq!(started, 1);
}

#[test]
fn a_lost_connection_is_resumed_at_the_same_node() {
    let fleet = fleet(2, 1);
    let (_, text) = expected_answer("draft@v1", PROMPT, TOKENS);
    let mut received = start_stream(&fleet, &body());
    finish_stream(&fleet, 0, &mut received);
    assert_eq!(received.text, text);
    assert!(received.done, "{received:?}");
}

#[test]
fn an_answer_survives_its_node_and_then_its_engine() {
    let mut fleet = fleet(3, 3);
    let (_, text) = expected_answer("draft@v1", PROMPT, TOKENS);
    let mut received = start_stream(&fleet, &body());
    fleet.kill_node(0);
    let mut events = 0;
    smol::block_on(
        Caller::new(CALLER_KEY).stream(addr(&fleet, 1), &body(), &mut received, |_| {
            events += 1;
            if events == 5 {
                fleet
                    .busy_engine()
                    .expect("an engine runs the request")
                    .kill();
            }
        }),
    );
    assert_eq!(received.text, text);
    assert!(received.done, "{received:?}");
}

#[test]
fn node_and_engine_lost_at_once_end_with_an_error() {
    let mut fleet = fleet(3, 3);
    let (_, text) = expected_answer("draft@v1", PROMPT, TOKENS);
    let mut received = start_stream(&fleet, &body());
    fleet
        .busy_engine()
        .expect("an engine runs the request")
        .kill();
    fleet.kill_node(0);
    finish_stream(&fleet, 1, &mut received);
    assert!(text.starts_with(&received.text));
    let error = received.error.expect("the answer ends with an error");
    assert_eq!(error["code"], "partial");
    assert_eq!(error["outcome"], "ran");
    assert!(!received.done);
}

#[test]
fn an_answer_survives_node_and_engine_lost_at_once_with_token_ids() {
    let mut fleet = fleet(3, 3);
    let (ids, text) = expected_answer("draft@v1", PROMPT, TOKENS);
    let mut body = body();
    body["return_token_ids"] = json!(true);
    let mut received = ReceivedTokens::default();
    smol::block_on(async {
        let res = post(addr(&fleet, 0), &body, None).await;
        received.read_until(res, TOKENS_BEFORE_FAULT).await;
    });
    fleet
        .busy_engine()
        .expect("an engine runs the request")
        .kill();
    fleet.kill_node(0);
    body["prior_token_ids"] = json!(received.ids);
    smol::block_on(async {
        let last_event_id = received.last_event_id.clone();
        let res = post(addr(&fleet, 1), &body, Some(&last_event_id)).await;
        assert_eq!(res.status(), 200);
        received.read_until(res, usize::MAX).await;
    });
    assert_eq!(received.text, text);
    assert_eq!(received.ids, ids);
    assert!(received.done);
    let stats: Vec<_> = fleet.engines.iter().map(|engine| engine.stats()).collect();
    assert!(
        stats.iter().all(|stats| stats.wrong_priors == 0),
        "{stats:?}"
    );
}

/// A change to a request after which its ticket no longer matches.
struct TicketCase {
    change: fn(&mut Value, &mut String),
}

#[test_case(&TicketCase { change: |_, last_event_id| last_event_id.replace_range(0..1, "-") }; "a changed ticket")]
#[test_case(&TicketCase { change: |_, last_event_id| last_event_id.clear() }; "an empty ticket")]
#[test_case(&TicketCase { change: |body, _| body["prompt"] = json!("Another prompt") }; "another prompt")]
#[test_case(&TicketCase { change: |body, _| body["max_tokens"] = json!(7) }; "another token limit")]
#[test_case(&TicketCase { change: |body, _| body["prior_token_ids"] = json!([1, 2, 3]) }; "other tokens")]
#[test_case(&TicketCase { change: |body, _| body["stream"] = json!(false) }; "an answer that is not streamed")]
fn a_ticket_that_does_not_match_the_request_is_rejected(case: &TicketCase) {
    let fleet = fleet(2, 2);
    let received = start_stream(&fleet, &body());
    let mut last_event_id = received.last_event_id.expect("events have ids");
    let mut body = body();
    (case.change)(&mut body, &mut last_event_id);
    let mut res = smol::block_on(post(addr(&fleet, 1), &body, Some(&last_event_id)));
    assert_eq!(res.status(), 400);
    let text = smol::block_on(res.body_string()).expect("the error body is complete");
    assert!(text.contains("ticket_invalid"), "{text}");
}

#[test]
fn late_tokens_of_a_resumed_engine_are_ignored() {
    let fleet = fleet(3, 1);
    let (_, text) = expected_answer("draft@v1", PROMPT, TOKENS);
    let mut events = 0;
    let mut paused = None;
    let mut received = ReceivedStream::default();
    smol::block_on(
        Caller::new(CALLER_KEY).stream(addr(&fleet, 0), &body(), &mut received, |_| {
            events += 1;
            if events == 10 {
                let engine = fleet.busy_engine().expect("an engine runs the request");
                engine.pause();
                paused = Some(engine);
            }
            if events == 15 {
                // The answer continued at another engine, so that the tokens of this one are late.
                paused.expect("an engine was paused").resume();
            }
        }),
    );
    assert_eq!(received.text, text);
    assert!(received.done, "{received:?}");
}

#[test]
fn a_slow_engine_is_not_abandoned() {
    let fleet = fleet(2, 1);
    let (_, text) = expected_answer("draft@v1", PROMPT, TOKENS);
    for engine in &fleet.engines {
        let slow = Fault {
            failure: Failure::Slow(10),
            ..Fault::default()
        };
        engine.set_faults(Faults {
            versions: [("draft@v1".to_owned(), slow)].into(),
            ..Faults::default()
        });
    }
    let mut received = ReceivedStream::default();
    smol::block_on(Caller::new(CALLER_KEY).stream(addr(&fleet, 0), &body(), &mut received, |_| ()));
    assert_eq!(received.text, text);
    let started: u64 = fleet
        .engines
        .iter()
        .map(|engine| engine.stats().starts)
        .sum();
    assert_eq!(started, 1);
}
