//! The whole path: callers, nodes, engines and settings, over loopback.

mod common;

use cassiareel_standins::engine::truth;
use common::{complete, read, Fleet};
use serde_json::json;

#[test]
fn a_stream_is_whole_at_every_node() {
    let fleet = Fleet::start(2, 6);
    let (ids, text) = truth("draft@v1", "Once upon a time", 64);
    for node in 0..6 {
        let body = json!({"model": "draft", "prompt": "Once upon a time", "max_tokens": 64, "ignore_eos": true,
            "stream": true, "stream_options": {"include_usage": true}});
        let seen = smol::block_on(async {
            let res = complete(fleet.addr(node), &body).await;
            assert_eq!(res.status(), 200);
            read(res, |_| ()).await
        });
        assert_eq!(seen.text, text, "node {node}: {seen:?}");
        assert_eq!(seen.tokens, Some(ids.len() as u64));
        assert!(seen.done, "{seen:?}");
    }
}

#[test]
fn an_answer_that_is_not_streamed_is_whole() {
    let fleet = Fleet::start(1, 1);
    let (ids, text) = truth("draft@v1", "A flask for", 32);
    let body = json!({"model": "draft", "prompt": "A flask for", "max_tokens": 32});
    let answer: serde_json::Value = smol::block_on(async {
        let mut res = complete(fleet.addr(0), &body).await;
        let bytes = res.body_bytes().await.expect("the answer is whole");
        serde_json::from_slice(&bytes).expect("the answer is JSON")
    });
    assert_eq!(answer["choices"][0]["text"], json!(text));
    assert_eq!(answer["usage"]["completion_tokens"], json!(ids.len()));
}

#[test]
fn a_stream_goes_on_after_its_engine_was_killed() {
    let fleet = Fleet::start(3, 1);
    let (_, text) = truth("draft@v1", "To the best of uncles", 80);
    let body = json!({"model": "draft", "prompt": "To the best of uncles", "max_tokens": 80, "ignore_eos": true,
        "stream": true});
    let mut killed = 0;
    let seen = smol::block_on(async {
        let res = complete(fleet.addr(0), &body).await;
        read(res, |count| {
            // Two engines of three die, one after the other, in the middle of the answer.
            if count == 10 || count == 30 {
                let busy = fleet
                    .engines
                    .iter()
                    .filter(|e| !e.is_dead())
                    .find(|e| e.running() > 0);
                if let Some(engine) = busy {
                    engine.kill();
                    killed += 1;
                }
            }
        })
        .await
    });
    assert_eq!(killed, 2);
    assert_eq!(seen.text, text);
    assert!(seen.done, "{seen:?}");
}

#[test]
fn a_request_without_a_live_engine_is_refused_as_not_run() {
    let fleet = Fleet::start(1, 1);
    fleet.engines[0].kill();
    let body = json!({"model": "draft", "prompt": "x", "stream": true});
    let res = smol::block_on(complete(fleet.addr(0), &body));
    assert_eq!(res.status(), 503);
    assert_eq!(
        res.header("x-outcome").expect("it says what ran").as_str(),
        "not_run"
    );
    assert!(res.header("retry-after").is_some());
}
