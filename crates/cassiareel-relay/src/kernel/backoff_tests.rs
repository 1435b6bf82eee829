//! Calls are retried as soon as the store is available again, also those that were in progress
//! then.

use std::time::Duration;

use super::{Backoff, StoreStatus};

/// A failed call, and when it may be retried.
struct Case {
    name: &'static str,
    /// The state of the store when the call failed, at 1,000 ms.
    store: StoreStatus,
    /// When the node was notified that the store is available again, in milliseconds.
    notified: u64,
    /// A time at which the call must not be retried yet, and one at which it may, in milliseconds.
    too_early: u64,
    due: u64,
}

const FAILED_MS: u64 = 1000;

#[test]
fn calls_are_retried_when_the_store_is_available_again() {
    let cases = [
        Case {
            name: "the store is unavailable",
            store: StoreStatus::Unreachable,
            notified: 0,
            too_early: 2900,
            due: 3000,
        },
        Case {
            name: "notified during the pause",
            store: StoreStatus::Unreachable,
            notified: 1400,
            too_early: 1300,
            due: 1401,
        },
        Case {
            name: "notified while the call was in progress",
            store: StoreStatus::Reachable,
            notified: 900,
            too_early: 1100,
            due: 1120,
        },
        Case {
            name: "the probing call",
            store: StoreStatus::Probing,
            notified: 0,
            too_early: 1100,
            due: 1120,
        },
    ];
    for case in cases {
        let mut backoff = Backoff::default();
        backoff.record_failure(Duration::from_millis(FAILED_MS), case.store, 1.0);
        let may = |now: u64| {
            let notified = if case.notified <= now {
                case.notified
            } else {
                0
            };
            backoff.may_call(Duration::from_millis(now), Duration::from_millis(notified))
        };
        assert!(!may(case.too_early), "{}", case.name);
        assert!(may(case.due), "{}", case.name);
    }
}

#[test]
fn pauses_double_up_to_a_limit() {
    let mut backoff = Backoff::default();
    let mut now = Duration::ZERO;
    for (failure, pause) in [120, 240, 480, 480, 480].into_iter().enumerate() {
        backoff.record_failure(now, StoreStatus::Probing, 1.0);
        let left = backoff.remaining(now);
        assert_eq!(left, Duration::from_millis(pause), "failure {failure}");
        now += left;
    }
    backoff.record_answer();
    assert!(backoff.may_call(now, Duration::ZERO));
}
