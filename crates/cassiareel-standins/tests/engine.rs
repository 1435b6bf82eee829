//! Tests of the engine stand-in through cassiareel's engine adapter.

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

/// The output of an attempt.
#[derive(Debug, Default, PartialEq)]
struct AttemptOutput {
    ids: Vec<TokenId>,
    text: String,
    reason: Option<FinishReason>,
    lost: bool,
}

impl AttemptOutput {
    /// Reads at most `limit` chunks and checks that their positions continue after `prior` tokens.
    async fn read(chunks: &mut ChunkStream, prior: usize, limit: usize) -> AttemptOutput {
        let mut output = AttemptOutput::default();
        for _ in 0..limit {
            match chunks.next().await {
                Some(Ok(StreamChunk::Tokens {
                    position,
                    ids,
                    text,
                    ..
                })) => {
                    assert_eq!(position as usize, prior + output.ids.len());
                    output.ids.extend(ids);
                    output.text.push_str(&text);
                }
                Some(Ok(StreamChunk::Finished {
                    position, reason, ..
                })) => {
                    assert_eq!(position as usize, prior + output.ids.len());
                    output.reason = Some(reason);
                    return output;
                }
                Some(Err(_)) | None => {
                    output.lost = true;
                    return output;
                }
            }
        }
        output
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

fn attempt_request(fields: &Value, prior: &[TokenId], prior_text: usize) -> AttemptRequest {
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
fn an_answer_is_the_expected_one() {
    let engine = Engine::start(options()).unwrap();
    smol::block_on(async {
        let fields = json!({"max_tokens": 30, "ignore_eos": true});
        let mut chunks = adapter(&engine)
            .open(&attempt_request(&fields, &[], 0))
            .await
            .unwrap();
        let output = AttemptOutput::read(&mut chunks, 0, usize::MAX).await;
        let (ids, text) = expected_answer(VERSION, PROMPT, 30);
        assert_eq!((output.ids, output.text), (ids, text));
        assert_eq!(output.reason, Some(FinishReason::Length));
    });
}

/// A stop sequence that may be split between two attempts when an engine is lost.
#[derive(Clone, Copy)]
struct StopCase {
    stop: &'static str,
}

#[test_case(StopCase { stop: "no such text" }; "none is met")]
#[test_case(StopCase { stop: "e" }; "one byte")]
#[test_case(StopCase { stop: " " }; "a space")]
#[test_case(StopCase { stop: "and thanks" }; "several tokens")]
fn resuming_at_any_token_keeps_the_answer_unchanged(case: StopCase) {
    const TOKENS: u32 = 40;
    let engine = Engine::start(options()).unwrap();
    smol::block_on(async {
        let fields = json!({"max_tokens": TOKENS, "ignore_eos": true, "stop": case.stop});
        let adapter = adapter(&engine);
        let mut chunks = adapter
            .open(&attempt_request(&fields, &[], 0))
            .await
            .unwrap();
        let complete = AttemptOutput::read(&mut chunks, 0, usize::MAX).await;
        let (_, text) = expected_answer(VERSION, PROMPT, TOKENS);
        let stopped = text.find(case.stop);
        assert_eq!(complete.text, text[..stopped.unwrap_or(text.len())]);
        for cut in 1..=complete.ids.len() {
            let mut first = attempt_request(&fields, &[], 0);
            first.attempt = 2 * cut as u32;
            let mut chunks = adapter.open(&first).await.unwrap();
            let head = AttemptOutput::read(&mut chunks, 0, cut).await;
            drop(chunks);
            let mut second = attempt_request(&fields, &head.ids, head.text.len());
            second.attempt = 2 * cut as u32 + 1;
            let mut chunks = adapter.open(&second).await.unwrap();
            let tail = AttemptOutput::read(&mut chunks, head.ids.len(), usize::MAX).await;
            assert_eq!([&head.ids[..], &tail.ids[..]].concat(), complete.ids);
            assert_eq!(format!("{}{}", head.text, tail.text), complete.text);
            assert_eq!(tail.reason, complete.reason);
        }
    });
}

#[test]
fn a_running_stream_can_be_reattached() {
    let engine = Engine::start(options()).unwrap();
    smol::block_on(async {
        let fields = json!({"max_tokens": 60, "ignore_eos": true});
        let adapter = adapter(&engine);
        let mut chunks = adapter
            .open(&attempt_request(&fields, &[], 0))
            .await
            .unwrap();
        let head = AttemptOutput::read(&mut chunks, 0, 5).await;
        drop(chunks);
        let (from, text) = (head.ids.len(), head.text.len());
        let mut chunks = adapter
            .attach(&"r1".into(), 1, from as u32, text)
            .await
            .unwrap();
        let tail = AttemptOutput::read(&mut chunks, from, usize::MAX).await;
        let (ids, complete) = expected_answer(VERSION, PROMPT, 60);
        assert_eq!([head.ids, tail.ids].concat(), ids);
        assert_eq!(head.text + &tail.text, complete);
        let result = adapter.attach(&"r2".into(), 1, 0, 0).await;
        assert!(matches!(
            result.err(),
            Some(StreamError::Refused { status: 404, .. })
        ));
    });
}

#[test_case(StreamCut::Reset; "reset")]
#[test_case(StreamCut::EndEarly; "ended early")]
fn a_cut_stream_is_not_reported_as_finished(how: StreamCut) {
    let engine = Engine::start(options()).unwrap();
    smol::block_on(async {
        let fields = json!({"max_tokens": 10_000, "ignore_eos": true});
        let mut chunks = adapter(&engine)
            .open(&attempt_request(&fields, &[], 0))
            .await
            .unwrap();
        let head = AttemptOutput::read(&mut chunks, 0, 3).await;
        engine.cut_streams(how);
        let rest = AttemptOutput::read(&mut chunks, head.ids.len(), usize::MAX).await;
        assert!(rest.lost, "{rest:?}");
    });
}

#[test]
fn a_version_that_is_not_loaded_is_refused() {
    let engine = Engine::start(options()).unwrap();
    smol::block_on(async {
        let mut request = attempt_request(&json!({}), &[], 0);
        Arc::make_mut(&mut request.body).insert("model".into(), json!("draft@v9"));
        let err = adapter(&engine).open(&request).await.err();
        assert!(matches!(
            err,
            Some(StreamError::Refused { status: 404, .. })
        ));
    });
}

#[test]
fn requests_that_exceed_the_memory_crash_the_engine() {
    let mut options = options();
    options.capacity.memory_tokens = 100;
    let engine = Engine::start(options).unwrap();
    smol::block_on(async {
        let fields = json!({"max_tokens": 1_000, "ignore_eos": true});
        let mut chunks = adapter(&engine)
            .open(&attempt_request(&fields, &[], 0))
            .await
            .unwrap();
        let output = AttemptOutput::read(&mut chunks, 0, usize::MAX).await;
        assert!(output.lost, "{output:?}");
        // The connections may be reset shortly before the listener closes; no request may be
        // answered in between.
        loop {
            match adapter(&engine).load().await {
                Err(StreamError::NotSent { .. }) => return,
                Err(_) => {}
                Ok(load) => panic!("a crashed engine answered {load:?}"),
            }
        }
    });
}

/// A fault of a version, and its effect.
#[derive(Clone)]
struct FaultCase {
    fault: Fault,
    /// The outcome of each of three requests that are sent one after the other.
    expected: [RequestOutcome; 3],
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum RequestOutcome {
    Complete,
    Refused(u16),
    LostAfter(usize),
}

const COMPLETE: RequestOutcome = RequestOutcome::Complete;

#[test_case(FaultCase { fault: Fault::default(), expected: [RequestOutcome::Refused(500); 3] }; "at once")]
#[test_case(FaultCase {
    fault: Fault { failure: Failure::Reset(4), after_requests: 2, ..Fault::default() },
    expected: [COMPLETE, COMPLETE, RequestOutcome::LostAfter(4)],
}; "late")]
#[test_case(FaultCase {
    fault: Fault { failure: Failure::EndEarly(2), path: Some("/v1/completions".into()), ..Fault::default() },
    expected: [RequestOutcome::LostAfter(2); 3],
}; "on this route")]
#[test_case(FaultCase {
    fault: Fault { path: Some("/v1/chat/completions".into()), ..Fault::default() },
    expected: [COMPLETE; 3],
}; "on another route")]
#[test_case(FaultCase {
    fault: Fault { above_running: 1, ..Fault::default() },
    expected: [COMPLETE; 3],
}; "only under load, without load")]
#[test_case(FaultCase {
    fault: Fault { failure: Failure::Slow(3), ..Fault::default() },
    expected: [COMPLETE; 3],
}; "slow")]
fn a_faulty_version_fails_as_configured(case: FaultCase) {
    let engine = Engine::start(options()).unwrap();
    engine.set_faults(Faults {
        versions: [(VERSION.to_owned(), case.fault)].into(),
        ..Faults::default()
    });
    let adapter = adapter(&engine);
    let fields = json!({"max_tokens": 8, "ignore_eos": true});
    for (i, expected) in case.expected.into_iter().enumerate() {
        let mut request = attempt_request(&fields, &[], 0);
        request.attempt = i as u32;
        let outcome = smol::block_on(async {
            match adapter.open(&request).await {
                Ok(mut chunks) => match AttemptOutput::read(&mut chunks, 0, usize::MAX).await {
                    output if output.lost => RequestOutcome::LostAfter(output.ids.len()),
                    output => {
                        assert_eq!(output.text, expected_answer(VERSION, PROMPT, 8).1);
                        RequestOutcome::Complete
                    }
                },
                Err(StreamError::Refused { status, .. }) => RequestOutcome::Refused(status),
                Err(err) => panic!("{err}"),
            }
        });
        assert_eq!(outcome, expected, "request {i}");
    }
}

#[test]
fn a_fault_under_load_occurs_while_another_request_runs() {
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
        let mut chunks = adapter
            .open(&attempt_request(&fields, &[], 0))
            .await
            .unwrap();
        AttemptOutput::read(&mut chunks, 0, 1).await;
        let mut second = attempt_request(&fields, &[], 0);
        second.attempt = 2;
        let err = adapter.open(&second).await.err();
        assert!(matches!(
            err,
            Some(StreamError::Refused { status: 500, .. })
        ));
    });
}

#[test]
fn a_poisoned_prompt_crashes_the_engine() {
    let engine = Engine::start(options()).unwrap();
    engine.set_faults(Faults {
        poison: Some("dedication".to_owned()),
        ..Faults::default()
    });
    smol::block_on(async {
        let opened = adapter(&engine)
            .open(&attempt_request(&json!({}), &[], 0))
            .await;
        if let Ok(mut chunks) = opened {
            assert!(AttemptOutput::read(&mut chunks, 0, usize::MAX).await.lost);
        }
        while !engine.is_dead() {
            smol::Timer::after(Duration::from_millis(1)).await;
        }
    });
}

#[test]
fn cancelling_a_stream_removes_it_and_frees_its_memory() {
    let engine = Engine::start(options()).unwrap();
    smol::block_on(async {
        let adapter = adapter(&engine);
        let fields = json!({"max_tokens": 10_000, "ignore_eos": true});
        let mut chunks = adapter
            .open(&attempt_request(&fields, &[], 0))
            .await
            .unwrap();
        let head = AttemptOutput::read(&mut chunks, 0, 2).await;
        while adapter.load().await.unwrap().running == 0 {}
        adapter.cancel(&"r1".into(), 1).await.unwrap();
        adapter.cancel(&"r1".into(), 1).await.unwrap();
        assert!(
            AttemptOutput::read(&mut chunks, head.ids.len(), usize::MAX)
                .await
                .lost
        );
        let result = adapter.attach(&"r1".into(), 1, 0, 0).await.err();
        assert!(matches!(
            result,
            Some(StreamError::Refused { status: 404, .. })
        ));
        // The memory is reported as free once the next batch is planned.
        while adapter.load().await.unwrap().used_tokens > 0 {}
        assert_eq!(engine.stats().cancelled, 1);
    });
}

#[test]
fn a_stream_without_a_reader_is_removed_after_the_grace_period() {
    let mut options = options();
    options.capacity.unread_grace = Duration::ZERO;
    let engine = Engine::start(options).unwrap();
    smol::block_on(async {
        let adapter = adapter(&engine);
        let fields = json!({"max_tokens": 100_000, "ignore_eos": true});
        let mut chunks = adapter
            .open(&attempt_request(&fields, &[], 0))
            .await
            .unwrap();
        AttemptOutput::read(&mut chunks, 0, 2).await;
        drop(chunks);
        // An attach before the engine's next step still finds the stream.
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
fn a_prefix_is_found_in_the_cache_and_reported() {
    let engine = Engine::start(options()).unwrap();
    smol::block_on(async {
        let adapter = adapter(&engine);
        let long = "The same long prefix of many prompts. ".repeat(10);
        for attempt in 1..=2 {
            let mut request =
                attempt_request(&json!({"max_tokens": 1, "ignore_eos": true}), &[], 0);
            request.attempt = attempt;
            Arc::make_mut(&mut request.body).insert("prompt".into(), json!(long));
            let mut chunks = adapter.open(&request).await.unwrap();
            assert!(!AttemptOutput::read(&mut chunks, 0, usize::MAX).await.lost);
        }
        let blocks = long.len() / 64;
        assert_eq!(engine.stats().cached_blocks, blocks as u64);
        let report = adapter.cache_events(0, false).await.unwrap();
        assert_eq!((report.events.len(), report.next), (blocks, blocks as u64));
        let full = adapter.cache_events(0, true).await.unwrap();
        assert_eq!(full.snapshot.map(|list| list.len()), Some(blocks));
    });
}

/// Two commands to an engine, and whether it accepts the second one.
#[derive(Clone, Copy)]
struct CommandCase {
    checks_fencing: bool,
    fences: [u64; 2],
    accepted: bool,
}

#[test_case(CommandCase { checks_fencing: true, fences: [7, 8], accepted: true }; "a higher fence")]
#[test_case(CommandCase { checks_fencing: true, fences: [7, 7], accepted: true }; "the same fence")]
#[test_case(CommandCase { checks_fencing: true, fences: [7, 6], accepted: false }; "an old fence")]
#[test_case(CommandCase { checks_fencing: false, fences: [7, 6], accepted: true }; "an old fence that is not checked")]
fn a_command_is_rejected_if_its_fence_is_old(case: CommandCase) {
    let mut options = options();
    options.checks_fencing = case.checks_fencing;
    let engine = Engine::start(options).unwrap();
    let command = |fence, version: &str| EngineCommand {
        fence,
        kind: EngineCommandKind::Load {
            version: version.into(),
        },
    };
    smol::block_on(async {
        let adapter = adapter(&engine);
        let [first, second] = case.fences;
        adapter
            .send_command(&command(first, "draft@v2"))
            .await
            .unwrap();
        let res = adapter.send_command(&command(second, "draft@v3")).await;
        assert_eq!(res.is_ok(), case.accepted, "{res:?}");
        wait_loaded(&adapter, "draft@v2").await;
        if case.accepted {
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
        let command = EngineCommand {
            fence: 1,
            kind: load,
        };
        // A command that is sent twice has the same effect as one.
        adapter.send_command(&command).await.unwrap();
        adapter.send_command(&command).await.unwrap();
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
fn tokens_that_arrive_together_are_joined_to_one_chunk() {
    let mut options = options();
    options.speed.tokens_per_step = 10;
    let engine = Engine::start(options).unwrap();
    smol::block_on(async {
        let fields = json!({"max_tokens": 40, "ignore_eos": true});
        let request = attempt_request(&fields, &[], 0);
        let mut chunks = adapter(&engine).open(&request).await.unwrap();
        let mut count = 0;
        let mut ids = Vec::new();
        let mut text = String::new();
        while let Some(Ok(chunk)) = chunks.next().await {
            if let StreamChunk::Tokens {
                ids: more,
                text: part,
                ..
            } = chunk
            {
                ids.extend(more);
                text.push_str(&part);
                count += 1;
            }
        }
        assert_eq!((ids, text), expected_answer(VERSION, PROMPT, 40));
        assert!(
            count <= 4,
            "40 tokens that arrived in tens became {count} chunks"
        );
    });
}
