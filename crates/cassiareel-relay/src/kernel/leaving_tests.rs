//! A stopping node takes what it can end, and refuses the rest at once.

use std::{sync::Arc, time::Duration};

use test_case::test_case;

use super::has_time;
use crate::model::{Kind, Prompt, Route, Target};

struct Case {
    kind: Kind,
    /// The route's timeout, in milliseconds.
    timeout: u64,
    /// Prompt and output tokens.
    tokens: (u64, u64),
    /// What is left of the grace, in milliseconds.
    left: u64,
    takes: bool,
}

#[test_case(&Case { kind: Kind::ResumableStream, timeout: 25_000, tokens: (5_000, 1_040), left: 7_500, takes: true }; "a stream that ends")]
#[test_case(&Case { kind: Kind::ResumableStream, timeout: 25_000, tokens: (9_000, 1_440), left: 7_500, takes: false }; "a long stream")]
#[test_case(&Case { kind: Kind::ResumableStream, timeout: 25_000, tokens: (0, 0), left: 5_000, takes: false }; "a stream of unknown size")]
#[test_case(&Case { kind: Kind::NonIdempotent, timeout: 800, tokens: (0, 0), left: 1_200, takes: true }; "an order with a short timeout")]
#[test_case(&Case { kind: Kind::NonIdempotent, timeout: 4_000, tokens: (0, 0), left: 1_200, takes: false }; "an order that may take longer")]
fn what_can_end_is_taken(case: &Case) {
    let route = Route {
        name: String::new(),
        host: String::new(),
        prefix: "/".to_owned(),
        kind: case.kind,
        timeout: Duration::from_millis(case.timeout),
        objective: Duration::from_secs(1),
        pause: None,
        priority: 1,
        targets: vec![Target {
            service: Arc::from("s"),
            weight: 1,
        }],
        attempts: 1,
        public: false,
    };
    let prompt = Prompt {
        input: case.tokens.0,
        output: case.tokens.1,
        ..Prompt::default()
    };
    let left = Duration::from_millis(case.left);
    assert_eq!(has_time(left, &route, &prompt), case.takes);
}
