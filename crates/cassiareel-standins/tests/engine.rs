//! The engine through cassiareel's own adapter.

use std::{sync::Arc, time::Duration};

use cassiareel::{
    backend::{Engine as _, HttpEngine, Piece, Pieces, Start, StreamError},
    kernel::{generation::FinishReason, TokenId},
};
use cassiareel_standins::engine::{truth, Cut, Engine, EngineOptions};
use futures_lite::StreamExt;
use serde_json::{json, Value};
use test_case::test_case;

const VERSION: &str = "draft@v1";
const PROMPT: &str = "Write a dedication for a flask.";

/// What an attempt gave.
#[derive(Debug, Default, PartialEq)]
struct Got {
    ids: Vec<TokenId>,
    text: String,
    reason: Option<FinishReason>,
    lost: bool,
}

impl Got {
    /// Reads at most `limit` pieces, checking that each token is at its place after `prior`.
    async fn read(pieces: &mut Pieces, prior: usize, limit: usize) -> Got {
        let mut got = Got::default();
        for _ in 0..limit {
            match pieces.next().await {
                Some(Ok(Piece::Tokens {
                    position,
                    ids,
                    text,
                    ..
                })) => {
                    assert_eq!(position as usize, prior + got.ids.len());
                    got.ids.extend(ids);
                    got.text.push_str(&text);
                }
                Some(Ok(Piece::Finished {
                    position, reason, ..
                })) => {
                    assert_eq!(position as usize, prior + got.ids.len());
                    got.reason = Some(reason);
                    return got;
                }
                Some(Err(_)) | None => {
                    got.lost = true;
                    return got;
                }
            }
        }
        got
    }
}

fn options() -> EngineOptions {
    let mut options = EngineOptions::new(VERSION);
    options.speed.step = Duration::from_millis(1);
    options
}

fn adapter(engine: &Engine) -> HttpEngine {
    HttpEngine::new(engine.addr(), Duration::from_secs(10))
}

fn start(fields: &Value, prior: &[TokenId], prior_text: usize) -> Start {
    let mut body = fields.as_object().unwrap().clone();
    body.insert("model".into(), json!(VERSION));
    body.insert("prompt".into(), json!(PROMPT));
    Start {
        request: "r1".into(),
        attempt: 1,
        path: "/v1/completions",
        body: Arc::new(body),
        prior: Arc::new(prior.to_vec()),
        prior_text,
        priority: 0,
    }
}

#[test]
fn an_answer_is_the_true_one() {
    let engine = Engine::start(options()).unwrap();
    smol::block_on(async {
        let fields = json!({"max_tokens": 30, "ignore_eos": true});
        let mut pieces = adapter(&engine)
            .open(&start(&fields, &[], 0))
            .await
            .unwrap();
        let got = Got::read(&mut pieces, 0, usize::MAX).await;
        let (ids, text) = truth(VERSION, PROMPT, 30);
        assert_eq!((got.ids, got.text), (ids, text));
        assert_eq!(got.reason, Some(FinishReason::Length));
    });
}

/// A stop sequence may be cut anywhere by the loss of an engine.
#[derive(Clone, Copy)]
struct Seam {
    stop: &'static str,
}

#[test_case(Seam { stop: "no such text" }; "none is met")]
#[test_case(Seam { stop: "e" }; "one byte")]
#[test_case(Seam { stop: " " }; "a space")]
#[test_case(Seam { stop: "and thanks" }; "several tokens")]
fn a_seam_at_any_token_leaves_the_answer_as_it_is(seam: Seam) {
    const TOKENS: u32 = 40;
    let engine = Engine::start(options()).unwrap();
    smol::block_on(async {
        let fields = json!({"max_tokens": TOKENS, "ignore_eos": true, "stop": seam.stop});
        let adapter = adapter(&engine);
        let mut pieces = adapter.open(&start(&fields, &[], 0)).await.unwrap();
        let whole = Got::read(&mut pieces, 0, usize::MAX).await;
        let (_, text) = truth(VERSION, PROMPT, TOKENS);
        let stopped = text.find(seam.stop);
        assert_eq!(whole.text, text[..stopped.unwrap_or(text.len())]);
        for cut in 1..=whole.ids.len() {
            let mut first = start(&fields, &[], 0);
            first.attempt = 2 * cut as u32;
            let mut pieces = adapter.open(&first).await.unwrap();
            let head = Got::read(&mut pieces, 0, cut).await;
            drop(pieces);
            let mut second = start(&fields, &head.ids, head.text.len());
            second.attempt = 2 * cut as u32 + 1;
            let mut pieces = adapter.open(&second).await.unwrap();
            let tail = Got::read(&mut pieces, head.ids.len(), usize::MAX).await;
            assert_eq!([&head.ids[..], &tail.ids[..]].concat(), whole.ids);
            assert_eq!(format!("{}{}", head.text, tail.text), whole.text);
            assert_eq!(tail.reason, whole.reason);
        }
    });
}

#[test]
fn a_live_stream_is_taken_up_again() {
    let engine = Engine::start(options()).unwrap();
    smol::block_on(async {
        let fields = json!({"max_tokens": 60, "ignore_eos": true});
        let adapter = adapter(&engine);
        let mut pieces = adapter.open(&start(&fields, &[], 0)).await.unwrap();
        let head = Got::read(&mut pieces, 0, 5).await;
        drop(pieces);
        let (from, text) = (head.ids.len(), head.text.len());
        let mut pieces = adapter
            .attach(&"r1".into(), 1, from as u32, text)
            .await
            .unwrap();
        let tail = Got::read(&mut pieces, from, usize::MAX).await;
        let (ids, whole) = truth(VERSION, PROMPT, 60);
        assert_eq!([head.ids, tail.ids].concat(), ids);
        assert_eq!(head.text + &tail.text, whole);
        let gone = adapter.attach(&"r2".into(), 1, 0, 0).await;
        assert!(matches!(
            gone.err(),
            Some(StreamError::Refused { status: 404, .. })
        ));
    });
}

#[test_case(Cut::Reset; "reset")]
#[test_case(Cut::Early; "ended early")]
fn a_cut_stream_is_lost_and_not_ended(how: Cut) {
    let engine = Engine::start(options()).unwrap();
    smol::block_on(async {
        let fields = json!({"max_tokens": 10_000, "ignore_eos": true});
        let mut pieces = adapter(&engine)
            .open(&start(&fields, &[], 0))
            .await
            .unwrap();
        Got::read(&mut pieces, 0, 3).await;
        engine.cut_streams(how);
        let rest = Got::read(&mut pieces, 3, usize::MAX).await;
        assert!(rest.lost, "{rest:?}");
    });
}

#[test]
fn a_version_that_is_not_loaded_is_refused() {
    let engine = Engine::start(options()).unwrap();
    smol::block_on(async {
        let mut start = start(&json!({}), &[], 0);
        Arc::make_mut(&mut start.body).insert("model".into(), json!("draft@v9"));
        let err = adapter(&engine).open(&start).await.err();
        assert!(matches!(
            err,
            Some(StreamError::Refused { status: 404, .. })
        ));
    });
}

#[test]
fn requests_that_outgrow_the_memory_kill_the_engine() {
    let mut options = options();
    options.capacity.tokens = 100;
    let engine = Engine::start(options).unwrap();
    smol::block_on(async {
        let fields = json!({"max_tokens": 1_000, "ignore_eos": true});
        let mut pieces = adapter(&engine)
            .open(&start(&fields, &[], 0))
            .await
            .unwrap();
        let got = Got::read(&mut pieces, 0, usize::MAX).await;
        assert!(got.lost, "{got:?}");
        let load = adapter(&engine).load().await;
        assert!(matches!(load, Err(StreamError::NotSent { .. })), "{load:?}");
    });
}
