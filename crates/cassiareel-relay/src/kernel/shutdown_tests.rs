//! A stopping node takes what it can end, and refuses the rest at once.

use std::time::Duration;

use test_case::test_case;

use super::{accepts_during_shutdown, samples, Shutdown};
use crate::model::{Prompt, Route, RouteKind};

struct Case {
    kind: RouteKind,
    /// The route's timeout, in milliseconds.
    timeout: u64,
    /// Prompt and output tokens.
    tokens: (u64, u64),
    /// Tokens of the answer that the caller has.
    done: u64,
    /// The time since the stop, in milliseconds, of a grace of 8,000.
    spent: u64,
    takes: bool,
}

#[test_case(&Case { kind: RouteKind::ResumableStream, timeout: 25_000, tokens: (5_000, 1_040), done: 0, spent: 500, takes: true }; "a stream that ends")]
#[test_case(&Case { kind: RouteKind::ResumableStream, timeout: 25_000, tokens: (9_000, 1_440), done: 0, spent: 500, takes: true }; "a long stream that is handed over")]
#[test_case(&Case { kind: RouteKind::ResumableStream, timeout: 25_000, tokens: (0, 0), done: 0, spent: 2_400, takes: true }; "the balancer may not have heard")]
#[test_case(&Case { kind: RouteKind::Stream, timeout: 25_000, tokens: (9_000, 1_440), done: 0, spent: 500, takes: false }; "a long stream that can't be resumed")]
#[test_case(&Case { kind: RouteKind::ResumableStream, timeout: 25_000, tokens: (9_000, 1_440), done: 0, spent: 3_000, takes: false }; "a long stream that comes late")]
#[test_case(&Case { kind: RouteKind::ResumableStream, timeout: 25_000, tokens: (0, 0), done: 0, spent: 3_000, takes: false }; "a stream of unknown size")]
#[test_case(&Case { kind: RouteKind::ResumableStream, timeout: 25_000, tokens: (5_000, 1_040), done: 0, spent: 3_600, takes: false }; "a stream that begins late")]
#[test_case(&Case { kind: RouteKind::ResumableStream, timeout: 25_000, tokens: (5_000, 1_040), done: 760, spent: 3_600, takes: true }; "the rest of a stream that another node handed over")]
#[test_case(&Case { kind: RouteKind::NonIdempotent, timeout: 800, tokens: (0, 0), done: 0, spent: 6_800, takes: true }; "an order with a short timeout")]
#[test_case(&Case { kind: RouteKind::NonIdempotent, timeout: 4_000, tokens: (0, 0), done: 0, spent: 6_800, takes: false }; "an order that may take longer")]
fn what_can_end_is_taken(case: &Case) {
    let route = Route {
        timeout: Duration::from_millis(case.timeout),
        ..samples::route(case.kind)
    };
    let prompt = Prompt {
        input: case.tokens.0,
        max_output: case.tokens.1,
        ..Prompt::default()
    };
    let leave = Shutdown {
        elapsed: Duration::from_millis(case.spent),
        remaining: Duration::from_millis(8_000 - case.spent),
    };
    assert_eq!(
        accepts_during_shutdown(leave, &route, &prompt, case.done),
        case.takes
    );
}
