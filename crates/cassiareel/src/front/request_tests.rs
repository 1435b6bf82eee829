//! The request parser accepts any bytes without a panic, and keeps the values of valid requests.

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use serde_json::{json, Value};

use super::{Endpoint, Prompt};

/// Returns a test runner that generates the same cases in each run.
fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// Returns a strategy for JSON of small depth whose keys include field names of the API.
fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,12}".prop_map(Value::from),
    ];
    let key = prop_oneof![
        Just("model".to_owned()),
        Just("prompt".to_owned()),
        Just("messages".to_owned()),
        Just("role".to_owned()),
        Just("content".to_owned()),
        Just("max_tokens".to_owned()),
        Just("stop".to_owned()),
        Just("n".to_owned()),
        Just("stream".to_owned()),
        "[a-z]{1,6}",
    ];
    leaf.prop_recursive(3, 24, 6, move |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::btree_map(key.clone(), inner, 0..6)
                .prop_map(|map| Value::Object(map.into_iter().collect())),
        ]
    })
}

#[test]
fn any_bytes_parse_without_a_panic() {
    let bytes = prop::collection::vec(any::<u8>(), 0..200);
    runner(2_000)
        .run(&bytes, |bytes| {
            let _ = Prompt::parse(Endpoint::Completions, &bytes);
            let _ = Prompt::parse(Endpoint::Chat, &bytes);
            Ok(())
        })
        .expect("parsing any bytes does not panic");
}

#[test]
fn any_json_parses_without_a_panic() {
    runner(2_000)
        .run(&any_json(), |value| {
            let bytes = value.to_string();
            for endpoint in [Endpoint::Completions, Endpoint::Chat] {
                if let Ok(prompt) = Prompt::parse(endpoint, bytes.as_bytes()) {
                    prop_assert!(!prompt.model.is_empty());
                    prop_assert!(prompt.max_tokens > 0);
                }
            }
            Ok(())
        })
        .expect("parsing any JSON does not panic");
}

#[test]
fn values_of_valid_requests_are_kept() {
    let fields = (".{1,40}", 1u32..10_000, any::<bool>());
    runner(500)
        .run(&fields, |(text, tokens, stream)| {
            let body = json!({"model": "draft", "prompt": text, "max_tokens": tokens,
                "stream": stream, "temperature": 0.5});
            let prompt = Prompt::parse(Endpoint::Completions, body.to_string().as_bytes())
                .expect("the body is valid");
            prop_assert_eq!(&prompt.text, &text);
            prop_assert_eq!(prompt.max_tokens, tokens);
            prop_assert_eq!(prompt.stream, stream);
            prop_assert_eq!(&prompt.body["prompt"], &json!(text));
            prop_assert_eq!(&prompt.body["temperature"], &json!(0.5));
            Ok(())
        })
        .expect("the values are kept");
}
