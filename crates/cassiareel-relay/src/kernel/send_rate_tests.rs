//! When a node's sends are bounded.

use std::time::Duration;

use test_case::test_case;

use super::SendRate;

const MAX_WAIT: Duration = Duration::from_millis(70);

struct Case {
    /// The waits that answers show, in milliseconds; `None` for a rejection by a full server.
    answers: &'static [Option<u64>],
    /// Time from the last answer to the check, in milliseconds.
    pause_ms: u64,
    bounded: bool,
}

#[test_case(&Case { answers: &[], pause_ms: 0, bounded: false }; "no answer yet")]
#[test_case(&Case { answers: &[Some(0), Some(65)], pause_ms: 0, bounded: false };
    "a short queue bounds nothing")]
#[test_case(&Case { answers: &[Some(75)], pause_ms: 0, bounded: true }; "a long queue")]
#[test_case(&Case { answers: &[None], pause_ms: 0, bounded: true }; "a full server")]
#[test_case(&Case { answers: &[None, Some(0)], pause_ms: 1_000, bounded: true };
    "one empty queue does not end the bound")]
#[test_case(&Case { answers: &[None], pause_ms: 4_100, bounded: false };
    "no long queue for some time ends the bound")]
fn answers_bound_sends(case: &Case) {
    let mut rate = SendRate::default();
    let mut now = Duration::from_secs(100);
    for _ in 0..20 {
        assert!(rate.admit(now, 1.0));
    }
    for answer in case.answers {
        match answer {
            Some(wait) => rate.record_wait(Duration::from_millis(*wait), MAX_WAIT, now),
            None => rate.record_full(now),
        }
    }
    now += Duration::from_millis(case.pause_ms);
    rate.admit(now, 1.0);
    assert_eq!(rate.is_bounded(), case.bounded);
}

/// A node that gets nothing but full queues still sends a small part of its demand, so that it learns
/// of free servers.
#[test]
fn a_node_goes_on_to_send_now_and_then() {
    let mut rate = SendRate::default();
    let mut sent = 0;
    for ms in 0..20_000 {
        let now = Duration::from_secs(100) + Duration::from_millis(ms);
        let random = f64::from(ms as u32 * 7 % 100) / 100.0;
        if ms % 10 == 0 && rate.admit(now, random) {
            sent += 1;
            rate.record_full(now);
        }
    }
    assert!((5..=200).contains(&sent), "{sent}");
}
