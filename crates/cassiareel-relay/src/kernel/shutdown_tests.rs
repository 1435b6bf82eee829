//! A node that is shutting down accepts the requests that can end in time, and rejects the others.

use std::time::Duration;

use test_case::test_case;

use super::{accepts_during_shutdown, samples, ExpectedTimes, Shutdown};
use crate::model::{Prompt, Route, RouteKind};

struct Case {
    kind: RouteKind,
    /// The route's timeout, in milliseconds.
    timeout: u64,
    /// The number of prompt tokens, and the largest number of output tokens.
    tokens: (u64, u64),
    /// The number of tokens of the answer that the caller has.
    done: u64,
    /// The time since the start of the shutdown, which takes 8,000 ms, in milliseconds.
    elapsed: u64,
    accepted: bool,
}

#[test_case(&Case { kind: RouteKind::ResumableStream, timeout: 25_000, tokens: (5_000, 1_040), done: 0, elapsed: 500, accepted: true }; "a stream that ends in time")]
#[test_case(&Case { kind: RouteKind::ResumableStream, timeout: 25_000, tokens: (9_000, 1_440), done: 0, elapsed: 500, accepted: true }; "a long stream that is handed over")]
#[test_case(&Case { kind: RouteKind::ResumableStream, timeout: 25_000, tokens: (0, 0), done: 0, elapsed: 2_400, accepted: true }; "the balancer may not know of the shutdown")]
#[test_case(&Case { kind: RouteKind::Stream, timeout: 25_000, tokens: (9_000, 1_440), done: 0, elapsed: 500, accepted: false }; "a long stream that can't be resumed")]
#[test_case(&Case { kind: RouteKind::ResumableStream, timeout: 25_000, tokens: (9_000, 1_440), done: 0, elapsed: 3_000, accepted: false }; "a long stream that arrives late")]
#[test_case(&Case { kind: RouteKind::ResumableStream, timeout: 25_000, tokens: (0, 0), done: 0, elapsed: 3_000, accepted: false }; "a stream of unknown size")]
#[test_case(&Case { kind: RouteKind::ResumableStream, timeout: 25_000, tokens: (5_000, 1_040), done: 0, elapsed: 3_600, accepted: false }; "a stream that begins late")]
#[test_case(&Case { kind: RouteKind::ResumableStream, timeout: 25_000, tokens: (5_000, 1_040), done: 760, elapsed: 3_600, accepted: true }; "the rest of a stream that another node handed over")]
#[test_case(&Case { kind: RouteKind::ResumableStream, timeout: 25_000, tokens: (2_900, 840), done: 744, elapsed: 5_700, accepted: false }; "the rest of a stream that would be handed over again")]
#[test_case(&Case { kind: RouteKind::ResumableStream, timeout: 25_000, tokens: (2_900, 840), done: 832, elapsed: 5_000, accepted: false }; "the last event of a stream that may wait at its engine")]
#[test_case(&Case { kind: RouteKind::NonIdempotent, timeout: 800, tokens: (0, 0), done: 0, elapsed: 6_800, accepted: true }; "an order with a short timeout")]
#[test_case(&Case { kind: RouteKind::NonIdempotent, timeout: 4_000, tokens: (0, 0), done: 0, elapsed: 6_800, accepted: false }; "an order that may take longer")]
fn requests_that_can_end_in_time_are_accepted(case: &Case) {
    let route = Route {
        timeout: Duration::from_millis(case.timeout),
        ..samples::route(case.kind)
    };
    let prompt = Prompt {
        input: case.tokens.0,
        max_output: case.tokens.1,
        ..Prompt::default()
    };
    let shutdown = Shutdown {
        elapsed: Duration::from_millis(case.elapsed),
        remaining: Duration::from_millis(8_000 - case.elapsed),
    };
    assert_eq!(
        accepts_during_shutdown(
            shutdown,
            &route,
            &prompt,
            case.done,
            ExpectedTimes::default()
        ),
        case.accepted
    );
}

struct TimesCase {
    kind: RouteKind,
    /// The time of a usual and of a slow run, in milliseconds.
    times: (Option<u64>, Option<u64>),
    /// The time since the start of the shutdown, which takes 8,000 ms, in milliseconds.
    elapsed: u64,
    accepted: bool,
}

#[test_case(&TimesCase { kind: RouteKind::NonIdempotent, times: (Some(100), Some(3_000)), elapsed: 4_600, accepted: true }; "a slow order ends in time")]
#[test_case(&TimesCase { kind: RouteKind::NonIdempotent, times: (Some(100), Some(3_000)), elapsed: 4_601, accepted: false }; "a slow order does not end")]
#[test_case(&TimesCase { kind: RouteKind::NonIdempotent, times: (Some(100), None), elapsed: 0, accepted: false }; "slow orders are unknown")]
#[test_case(&TimesCase { kind: RouteKind::Idempotent, times: (Some(100), Some(3_000)), elapsed: 7_500, accepted: true }; "a usual safe request ends in time")]
#[test_case(&TimesCase { kind: RouteKind::Idempotent, times: (Some(2_500), None), elapsed: 5_101, accepted: false }; "a usual safe request does not end")]
#[test_case(&TimesCase { kind: RouteKind::Idempotent, times: (None, None), elapsed: 0, accepted: false }; "safe requests are unknown")]
#[test_case(&TimesCase { kind: RouteKind::Stream, times: (None, Some(4_000)), elapsed: 3_500, accepted: true }; "a slow stream ends in time")]
#[test_case(&TimesCase { kind: RouteKind::Stream, times: (None, Some(4_000)), elapsed: 3_600, accepted: false }; "a slow stream does not end")]
fn requests_are_accepted_by_the_times_of_recent_runs(case: &TimesCase) {
    let route = Route {
        timeout: Duration::from_secs(8),
        ..samples::route(case.kind)
    };
    let shutdown = Shutdown {
        elapsed: Duration::from_millis(case.elapsed),
        remaining: Duration::from_millis(8_000 - case.elapsed),
    };
    let times = ExpectedTimes {
        usual: case.times.0.map(Duration::from_millis),
        slow: case.times.1.map(Duration::from_millis),
    };
    let accepted = accepts_during_shutdown(shutdown, &route, &Prompt::default(), 0, times);
    assert_eq!(accepted, case.accepted);
}

/// A short stream at an engine with a queue takes longer than its size tells.
#[test_case(0, false; "a whole stream")]
#[test_case(5, true; "the rest of a stream")]
fn a_short_stream_is_accepted_by_the_times_of_recent_runs(done: u64, accepted: bool) {
    let route = Route {
        timeout: Duration::from_secs(25),
        ..samples::route(RouteKind::ResumableStream)
    };
    let prompt = Prompt {
        input: 100,
        max_output: 10,
        ..Prompt::default()
    };
    let shutdown = Shutdown {
        elapsed: Duration::from_millis(2_600),
        remaining: Duration::from_millis(5_400),
    };
    let times = ExpectedTimes {
        usual: Some(Duration::from_secs(7)),
        slow: None,
    };
    let is_accepted = accepts_during_shutdown(shutdown, &route, &prompt, done, times);
    assert_eq!(is_accepted, accepted);
}
