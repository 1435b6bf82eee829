//! Answers that outlive their engine, their node, both, or their caller's connection.

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
/// Tokens after which a fault comes.
const BEFORE: usize = 12;

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

/// An answer with its tokens' numbers, read until it has enough of them.
#[derive(Debug, Default)]
struct Read {
    ids: Vec<TokenId>,
    text: String,
    last: String,
    done: bool,
}

impl Read {
    async fn read(&mut self, res: Response, enough: usize) {
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
                self.last.clone_from(id);
            }
            if self.ids.len() >= enough {
                return;
            }
        }
    }
}

async fn post(addr: SocketAddr, body: &Value, last: Option<&str>) -> Response {
    let headers: Vec<(&str, &str)> = last.iter().map(|id| ("last-event-id", *id)).collect();
    Caller::new(CALLER_KEY)
        .post(addr, "/v1/completions", &headers, body.to_string())
        .await
        .expect("the node answers")
}

fn addr(fleet: &Fleet, node: usize) -> SocketAddr {
    fleet.addr(node).expect("the node serves")
}

/// Streams at node 0 until some tokens are there.
fn begin(fleet: &Fleet, body: &Value) -> ReceivedStream {
    let mut seen = ReceivedStream::default();
    let until = |seen: &ReceivedStream| seen.text.len() >= BEFORE * 4;
    let caller = Caller::new(CALLER_KEY);
    let (stop, stopped) = async_channel::bounded::<()>(1);
    smol::block_on(smol::future::or(
        async {
            caller
                .stream(addr(fleet, 0), body, &mut seen, |seen| {
                    if until(seen) {
                        let _ = stop.try_send(());
                    }
                })
                .await;
        },
        async {
            let _ = stopped.recv().await;
        },
    ));
    seen
}

fn finish(fleet: &Fleet, node: usize, seen: &mut ReceivedStream) {
    smol::block_on(Caller::new(CALLER_KEY).stream(addr(fleet, node), &body(), seen, |_| ()));
}

#[test]
fn a_caller_goes_on_at_another_node() {
    let mut fleet = fleet(3, 3);
    let (_, text) = expected_answer("draft@v1", PROMPT, TOKENS);
    let mut seen = begin(&fleet, &body());
    fleet.kill_node(0);
    finish(&fleet, 1, &mut seen);
    assert_eq!(seen.text, text);
    assert!(seen.done, "{seen:?}");
    assert_eq!(seen.completion_tokens, Some(TOKENS.into()));
    // Nothing was prefilled or decoded again.
    let started: u64 = fleet
        .engines
        .iter()
        .map(|engine| engine.stats().starts)
        .sum();
    assert_eq!(started, 1);
}

#[test]
fn a_lost_connection_is_taken_up_at_the_same_node() {
    let fleet = fleet(2, 1);
    let (_, text) = expected_answer("draft@v1", PROMPT, TOKENS);
    let mut seen = begin(&fleet, &body());
    finish(&fleet, 0, &mut seen);
    assert_eq!(seen.text, text);
    assert!(seen.done, "{seen:?}");
}

#[test]
fn an_engine_lost_after_its_node_is_survived_too() {
    let mut fleet = fleet(3, 3);
    let (_, text) = expected_answer("draft@v1", PROMPT, TOKENS);
    let mut seen = begin(&fleet, &body());
    fleet.kill_node(0);
    let mut events = 0;
    smol::block_on(
        Caller::new(CALLER_KEY).stream(addr(&fleet, 1), &body(), &mut seen, |_| {
            events += 1;
            if events == 5 {
                fleet.busy_engine().expect("an engine runs it").kill();
            }
        }),
    );
    assert_eq!(seen.text, text);
    assert!(seen.done, "{seen:?}");
}

#[test]
fn node_and_engine_lost_at_once_end_with_words() {
    let mut fleet = fleet(3, 3);
    let (_, text) = expected_answer("draft@v1", PROMPT, TOKENS);
    let mut seen = begin(&fleet, &body());
    fleet.busy_engine().expect("an engine runs it").kill();
    fleet.kill_node(0);
    finish(&fleet, 1, &mut seen);
    assert!(text.starts_with(&seen.text));
    let error = seen.error.expect("the end is explicit");
    assert_eq!(error["code"], "partial");
    assert_eq!(error["outcome"], "ran");
    assert!(!seen.done);
}

#[test]
fn node_and_engine_lost_at_once_are_survived_with_the_tokens() {
    let mut fleet = fleet(3, 3);
    let (ids, text) = expected_answer("draft@v1", PROMPT, TOKENS);
    let mut body = body();
    body["return_token_ids"] = json!(true);
    let mut read = Read::default();
    smol::block_on(async {
        let res = post(addr(&fleet, 0), &body, None).await;
        read.read(res, BEFORE).await;
    });
    fleet.busy_engine().expect("an engine runs it").kill();
    fleet.kill_node(0);
    body["prior_token_ids"] = json!(read.ids);
    smol::block_on(async {
        let last = read.last.clone();
        let res = post(addr(&fleet, 1), &body, Some(&last)).await;
        assert_eq!(res.status(), 200);
        read.read(res, usize::MAX).await;
    });
    assert_eq!(read.text, text);
    assert_eq!(read.ids, ids);
    assert!(read.done);
    let stats: Vec<_> = fleet.engines.iter().map(|engine| engine.stats()).collect();
    assert!(
        stats.iter().all(|stats| stats.wrong_priors == 0),
        "{stats:?}"
    );
}

struct Wrong {
    change: fn(&mut Value, &mut String),
}

#[test_case(&Wrong { change: |_, last| last.replace_range(0..1, "-") }; "a changed ticket")]
#[test_case(&Wrong { change: |_, last| last.clear() }; "an empty ticket")]
#[test_case(&Wrong { change: |body, _| body["prompt"] = json!("Another prompt") }; "another prompt")]
#[test_case(&Wrong { change: |body, _| body["max_tokens"] = json!(7) }; "another bound")]
#[test_case(&Wrong { change: |body, _| body["prior_token_ids"] = json!([1, 2, 3]) }; "other tokens")]
#[test_case(&Wrong { change: |body, _| body["stream"] = json!(false) }; "an answer that is not streamed")]
fn a_ticket_that_does_not_fit_is_refused(wrong: &Wrong) {
    let fleet = fleet(2, 2);
    let seen = begin(&fleet, &body());
    let mut last = seen.last_event_id.expect("events have ids");
    let mut body = body();
    (wrong.change)(&mut body, &mut last);
    let mut res = smol::block_on(post(addr(&fleet, 1), &body, Some(&last)));
    assert_eq!(res.status(), 400);
    let words = smol::block_on(res.body_string()).expect("the refusal is whole");
    assert!(words.contains("ticket_invalid"), "{words}");
}

#[test]
fn an_engine_paused_and_back_with_late_tokens_is_ignored() {
    let fleet = fleet(3, 1);
    let (_, text) = expected_answer("draft@v1", PROMPT, TOKENS);
    let mut events = 0;
    let mut paused = None;
    let mut seen = ReceivedStream::default();
    smol::block_on(
        Caller::new(CALLER_KEY).stream(addr(&fleet, 0), &body(), &mut seen, |_| {
            events += 1;
            if events == 10 {
                let engine = fleet.busy_engine().expect("an engine runs it");
                engine.pause();
                paused = Some(engine);
            }
            if events == 15 {
                // The answer went on elsewhere; what the first engine still says is late.
                paused.expect("an engine was paused").resume();
            }
        }),
    );
    assert_eq!(seen.text, text);
    assert!(seen.done, "{seen:?}");
}

#[test]
fn a_slow_engine_is_not_given_up() {
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
    let mut seen = ReceivedStream::default();
    smol::block_on(Caller::new(CALLER_KEY).stream(addr(&fleet, 0), &body(), &mut seen, |_| ()));
    assert_eq!(seen.text, text);
    let started: u64 = fleet
        .engines
        .iter()
        .map(|engine| engine.stats().starts)
        .sum();
    assert_eq!(started, 1);
}
