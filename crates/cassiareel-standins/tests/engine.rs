//! The engine through cassiareel's own adapter.

use std::{sync::Arc, time::Duration};

use cassiareel::{
    backend::{
        AttemptRequest, ChunkStream, Engine as _, EngineCommand, EngineCommandKind, HttpEngine,
        StreamChunk, StreamError,
    },
    kernel::{generation::FinishReason, TokenId, VersionId},
};
use cassiareel_standins::{
    engine::{expected_answer, Engine, EngineOptions, Failure, Fault, Faults, StreamCut},
    weights::WeightStore,
};
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
    async fn read(pieces: &mut ChunkStream, prior: usize, limit: usize) -> Got {
        let mut got = Got::default();
        for _ in 0..limit {
            match pieces.next().await {
                Some(Ok(StreamChunk::Tokens {
                    position,
                    ids,
                    text,
                    ..
                })) => {
                    assert_eq!(position as usize, prior + got.ids.len());
                    got.ids.extend(ids);
                    got.text.push_str(&text);
                }
                Some(Ok(StreamChunk::Finished {
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

fn start(fields: &Value, prior: &[TokenId], prior_text: usize) -> AttemptRequest {
    let mut body = fields.as_object().unwrap().clone();
    body.insert("model".into(), json!(VERSION));
    body.insert("prompt".into(), json!(PROMPT));
    AttemptRequest {
        request: "r1".into(),
        attempt: 1,
        path: "/v1/completions",
        body: Arc::new(body),
        prior_tokens: Arc::new(prior.to_vec()),
        prior_text_bytes: prior_text,
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
        let (ids, text) = expected_answer(VERSION, PROMPT, 30);
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
        let (_, text) = expected_answer(VERSION, PROMPT, TOKENS);
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
        let (ids, whole) = expected_answer(VERSION, PROMPT, 60);
        assert_eq!([head.ids, tail.ids].concat(), ids);
        assert_eq!(head.text + &tail.text, whole);
        let gone = adapter.attach(&"r2".into(), 1, 0, 0).await;
        assert!(matches!(
            gone.err(),
            Some(StreamError::Refused { status: 404, .. })
        ));
    });
}

#[test_case(StreamCut::Reset; "reset")]
#[test_case(StreamCut::EndEarly; "ended early")]
fn a_cut_stream_is_lost_and_not_ended(how: StreamCut) {
    let engine = Engine::start(options()).unwrap();
    smol::block_on(async {
        let fields = json!({"max_tokens": 10_000, "ignore_eos": true});
        let mut pieces = adapter(&engine)
            .open(&start(&fields, &[], 0))
            .await
            .unwrap();
        let head = Got::read(&mut pieces, 0, 3).await;
        engine.cut_streams(how);
        let rest = Got::read(&mut pieces, head.ids.len(), usize::MAX).await;
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
    options.capacity.memory_tokens = 100;
    let engine = Engine::start(options).unwrap();
    smol::block_on(async {
        let fields = json!({"max_tokens": 1_000, "ignore_eos": true});
        let mut pieces = adapter(&engine)
            .open(&start(&fields, &[], 0))
            .await
            .unwrap();
        let got = Got::read(&mut pieces, 0, usize::MAX).await;
        assert!(got.lost, "{got:?}");
        // Its connections may be reset a moment before its listener closes; it answers no more.
        loop {
            match adapter(&engine).load().await {
                Err(StreamError::NotSent { .. }) => return,
                Err(_) => {}
                Ok(load) => panic!("a dead engine answered {load:?}"),
            }
        }
    });
}

/// A fault of a version, and what shows of it.
#[derive(Clone)]
struct Bad {
    fault: Fault,
    /// What becomes of each of three requests that are sent one after the other.
    shows: [Shows; 3],
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Shows {
    Whole,
    Refused(u16),
    LostAfter(usize),
}

const WHOLE: Shows = Shows::Whole;

#[test_case(Bad { fault: Fault::default(), shows: [Shows::Refused(500); 3] }; "at once")]
#[test_case(Bad {
    fault: Fault { failure: Failure::Reset(4), after_requests: 2, ..Fault::default() },
    shows: [WHOLE, WHOLE, Shows::LostAfter(4)],
}; "late")]
#[test_case(Bad {
    fault: Fault { failure: Failure::EndEarly(2), path: Some("/v1/completions".into()), ..Fault::default() },
    shows: [Shows::LostAfter(2); 3],
}; "on this route")]
#[test_case(Bad {
    fault: Fault { path: Some("/v1/chat/completions".into()), ..Fault::default() },
    shows: [WHOLE; 3],
}; "on another route")]
#[test_case(Bad {
    fault: Fault { above_running: 1, ..Fault::default() },
    shows: [WHOLE; 3],
}; "under load that is not there")]
#[test_case(Bad {
    fault: Fault { failure: Failure::Slow(3), ..Fault::default() },
    shows: [WHOLE; 3],
}; "slow")]
fn a_bad_version_shows_itself_as_told(bad: Bad) {
    let engine = Engine::start(options()).unwrap();
    engine.set_faults(Faults {
        versions: [(VERSION.to_owned(), bad.fault)].into(),
        ..Faults::default()
    });
    let adapter = adapter(&engine);
    let fields = json!({"max_tokens": 8, "ignore_eos": true});
    for (i, shows) in bad.shows.into_iter().enumerate() {
        let mut start = start(&fields, &[], 0);
        start.attempt = i as u32;
        let shown = smol::block_on(async {
            match adapter.open(&start).await {
                Ok(mut pieces) => match Got::read(&mut pieces, 0, usize::MAX).await {
                    got if got.lost => Shows::LostAfter(got.ids.len()),
                    got => {
                        assert_eq!(got.text, expected_answer(VERSION, PROMPT, 8).1);
                        Shows::Whole
                    }
                },
                Err(StreamError::Refused { status, .. }) => Shows::Refused(status),
                Err(err) => panic!("{err}"),
            }
        });
        assert_eq!(shown, shows, "request {i}");
    }
}

#[test]
fn a_fault_under_load_hits_while_another_request_runs() {
    let engine = Engine::start(options()).unwrap();
    let fault = Fault {
        above_running: 1,
        ..Fault::default()
    };
    engine.set_faults(Faults {
        versions: [(VERSION.to_owned(), fault)].into(),
        ..Faults::default()
    });
    smol::block_on(async {
        let fields = json!({"max_tokens": 10_000, "ignore_eos": true});
        let adapter = adapter(&engine);
        let mut pieces = adapter.open(&start(&fields, &[], 0)).await.unwrap();
        Got::read(&mut pieces, 0, 1).await;
        let mut second = start(&fields, &[], 0);
        second.attempt = 2;
        let err = adapter.open(&second).await.err();
        assert!(matches!(
            err,
            Some(StreamError::Refused { status: 500, .. })
        ));
    });
}

#[test]
fn a_poisoned_prompt_kills_the_engine() {
    let engine = Engine::start(options()).unwrap();
    engine.set_faults(Faults {
        poison: Some("dedication".to_owned()),
        ..Faults::default()
    });
    smol::block_on(async {
        let opened = adapter(&engine).open(&start(&json!({}), &[], 0)).await;
        if let Ok(mut pieces) = opened {
            assert!(Got::read(&mut pieces, 0, usize::MAX).await.lost);
        }
        while !engine.is_dead() {
            smol::Timer::after(Duration::from_millis(1)).await;
        }
    });
}

#[test]
fn a_cancelled_stream_is_gone_and_its_memory_free() {
    let engine = Engine::start(options()).unwrap();
    smol::block_on(async {
        let adapter = adapter(&engine);
        let fields = json!({"max_tokens": 10_000, "ignore_eos": true});
        let mut pieces = adapter.open(&start(&fields, &[], 0)).await.unwrap();
        let head = Got::read(&mut pieces, 0, 2).await;
        while adapter.load().await.unwrap().running == 0 {}
        adapter.cancel(&"r1".into(), 1).await.unwrap();
        adapter.cancel(&"r1".into(), 1).await.unwrap();
        assert!(
            Got::read(&mut pieces, head.ids.len(), usize::MAX)
                .await
                .lost
        );
        let gone = adapter.attach(&"r1".into(), 1, 0, 0).await.err();
        assert!(matches!(
            gone,
            Some(StreamError::Refused { status: 404, .. })
        ));
        // The next plan of the batch reports the memory as free.
        while adapter.load().await.unwrap().used_tokens > 0 {}
        assert_eq!(engine.stats().cancelled, 1);
    });
}

#[test]
fn a_stream_that_nobody_reads_is_forgotten_after_its_grace() {
    let mut options = options();
    options.capacity.unread_grace = Duration::ZERO;
    let engine = Engine::start(options).unwrap();
    smol::block_on(async {
        let adapter = adapter(&engine);
        let fields = json!({"max_tokens": 100_000, "ignore_eos": true});
        let mut pieces = adapter.open(&start(&fields, &[], 0)).await.unwrap();
        Got::read(&mut pieces, 0, 2).await;
        drop(pieces);
        // An attach that comes before the next step still finds the stream.
        loop {
            match adapter.attach(&"r1".into(), 1, 2, 0).await {
                Ok(_) => smol::Timer::after(Duration::from_millis(1)).await,
                Err(StreamError::Refused { status: 404, .. }) => return,
                Err(err) => panic!("{err}"),
            };
        }
    });
}

#[test]
fn a_prefix_is_found_in_the_cache_and_told() {
    let engine = Engine::start(options()).unwrap();
    smol::block_on(async {
        let adapter = adapter(&engine);
        let long = "The same long prefix of many prompts. ".repeat(10);
        for attempt in 1..=2 {
            let mut start = start(&json!({"max_tokens": 1, "ignore_eos": true}), &[], 0);
            start.attempt = attempt;
            Arc::make_mut(&mut start.body).insert("prompt".into(), json!(long));
            let mut pieces = adapter.open(&start).await.unwrap();
            assert!(!Got::read(&mut pieces, 0, usize::MAX).await.lost);
        }
        let blocks = long.len() / 64;
        assert_eq!(engine.stats().cached_blocks, blocks as u64);
        let told = adapter.cache_events(0, false).await.unwrap();
        assert_eq!((told.events.len(), told.next), (blocks, blocks as u64));
        let full = adapter.cache_events(0, true).await.unwrap();
        assert_eq!(full.snapshot.map(|list| list.len()), Some(blocks));
    });
}

/// Orders to an engine, and what it makes of the last one.
#[derive(Clone, Copy)]
struct Orders {
    checks: bool,
    fences: [u64; 2],
    taken: bool,
}

#[test_case(Orders { checks: true, fences: [7, 8], taken: true }; "a higher fence")]
#[test_case(Orders { checks: true, fences: [7, 7], taken: true }; "the same fence")]
#[test_case(Orders { checks: true, fences: [7, 6], taken: false }; "an old fence")]
#[test_case(Orders { checks: false, fences: [7, 6], taken: true }; "an old fence that is not checked")]
fn an_order_is_taken_by_its_fence(orders: Orders) {
    let mut options = options();
    options.checks_fencing = orders.checks;
    let engine = Engine::start(options).unwrap();
    let order = |fence, version: &str| EngineCommand {
        fence,
        kind: EngineCommandKind::Load {
            version: version.into(),
        },
    };
    smol::block_on(async {
        let adapter = adapter(&engine);
        let [first, second] = orders.fences;
        adapter
            .send_command(&order(first, "draft@v2"))
            .await
            .unwrap();
        let res = adapter.send_command(&order(second, "draft@v3")).await;
        assert_eq!(res.is_ok(), orders.taken, "{res:?}");
        wait_loaded(&adapter, "draft@v2").await;
        if orders.taken {
            wait_loaded(&adapter, "draft@v3").await;
        }
    });
}

async fn wait_loaded(adapter: &HttpEngine, version: &str) {
    let version = VersionId::from(version);
    while !adapter.load().await.unwrap().versions.contains(&version) {
        smol::Timer::after(Duration::from_millis(1)).await;
    }
}

#[test]
fn a_version_loads_through_the_weight_store_and_unloads() {
    let store = WeightStore::start([("draft@v2".to_owned(), 100_000)].into(), 1e9).unwrap();
    let mut options = options();
    options.weight_store = Some(store.addr());
    let engine = Engine::start(options).unwrap();
    smol::block_on(async {
        let adapter = adapter(&engine);
        let version: VersionId = "draft@v2".into();
        let load = EngineCommandKind::Load {
            version: version.clone(),
        };
        let order = EngineCommand {
            fence: 1,
            kind: load,
        };
        // An order that is met twice changes nothing.
        adapter.send_command(&order).await.unwrap();
        adapter.send_command(&order).await.unwrap();
        wait_loaded(&adapter, &version).await;
        let kind = EngineCommandKind::Unload {
            version: version.clone(),
        };
        adapter
            .send_command(&EngineCommand { fence: 1, kind })
            .await
            .unwrap();
        let versions = adapter.load().await.unwrap().versions;
        assert_eq!(versions, [VersionId::from(VERSION)]);
    });
}

#[test]
fn tokens_that_come_together_are_joined_to_one_piece() {
    let mut options = options();
    options.speed.tokens_per_step = 10;
    let engine = Engine::start(options).unwrap();
    smol::block_on(async {
        let fields = json!({"max_tokens": 40, "ignore_eos": true});
        let start = start(&fields, &[], 0);
        let mut pieces = adapter(&engine).open(&start).await.unwrap();
        let mut count = 0;
        let mut ids = Vec::new();
        let mut text = String::new();
        while let Some(Ok(piece)) = pieces.next().await {
            if let StreamChunk::Tokens {
                ids: more,
                text: part,
                ..
            } = piece
            {
                ids.extend(more);
                text.push_str(&part);
                count += 1;
            }
        }
        assert_eq!((ids, text), expected_answer(VERSION, PROMPT, 40));
        assert!(
            count <= 4,
            "40 tokens that came ten by ten are {count} pieces"
        );
    });
}
