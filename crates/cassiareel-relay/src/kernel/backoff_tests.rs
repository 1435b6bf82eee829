//! A store that is back is read again at once, whatever calls were under way.

use std::time::Duration;

use super::{Backoff, StoreStatus};

/// A call that failed, and when it may be made again.
struct Case {
    name: &'static str,
    /// What was known of the store when it failed, at 1,000 ms.
    store: StoreStatus,
    /// When word came that the store is back, in milliseconds.
    word: u64,
    /// When the call may not be made yet, and when it may, in milliseconds.
    not_yet: u64,
    due: u64,
}

const FAILED: u64 = 1000;

#[test]
fn calls_are_made_again_when_the_store_is_back() {
    let cases = [
        Case {
            name: "the store is away",
            store: StoreStatus::Unreachable,
            word: 0,
            not_yet: 2900,
            due: 3000,
        },
        Case {
            name: "word comes while the call rests",
            store: StoreStatus::Unreachable,
            word: 1400,
            not_yet: 1300,
            due: 1401,
        },
        Case {
            name: "word came while the call was under way",
            store: StoreStatus::Reachable,
            word: 900,
            not_yet: 1100,
            due: 1120,
        },
        Case {
            name: "the call that finds out",
            store: StoreStatus::Probing,
            word: 0,
            not_yet: 1100,
            due: 1120,
        },
    ];
    for case in cases {
        let mut pauses = Backoff::default();
        pauses.record_failure(Duration::from_millis(FAILED), case.store, 1.0);
        let may = |now: u64| {
            let word = if case.word <= now { case.word } else { 0 };
            pauses.may_call(Duration::from_millis(now), Duration::from_millis(word))
        };
        assert!(!may(case.not_yet), "{}", case.name);
        assert!(may(case.due), "{}", case.name);
    }
}

#[test]
fn pauses_double_up_to_a_limit() {
    let mut pauses = Backoff::default();
    let mut now = Duration::ZERO;
    for (failure, pause) in [120, 240, 480, 480, 480].into_iter().enumerate() {
        pauses.record_failure(now, StoreStatus::Probing, 1.0);
        let left = pauses.remaining(now);
        assert_eq!(left, Duration::from_millis(pause), "failure {failure}");
        now += left;
    }
    pauses.record_answer();
    assert!(pauses.may_call(now, Duration::ZERO));
}
