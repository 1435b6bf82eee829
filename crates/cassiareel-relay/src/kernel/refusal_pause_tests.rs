//! The calls of a node pause together when the store refuses one because of its rate limit.

use std::time::Duration;

use super::RefusalPause;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Several tasks are refused at the same moment: without a shared pause each of them would call
/// again, and pay again.
#[test]
fn refusals_at_the_same_moment_make_one_pause() {
    let mut pause = RefusalPause::default();
    assert!(pause.record_refusal(ms(1000), 1.0));
    assert!(!pause.record_refusal(ms(1001), 1.0));
    assert_eq!(pause.remaining(ms(1001)), ms(99));
}

/// The pauses of a store that goes on refusing grow, but stay short enough for a node that reads for
/// others.
#[test]
fn pauses_grow_up_to_a_limit_until_a_call_is_answered() {
    let mut pause = RefusalPause::default();
    let mut now = ms(0);
    let mut pauses = Vec::new();
    for _ in 0..4 {
        pause.record_refusal(now, 1.0);
        pauses.push(pause.remaining(now));
        now += pause.remaining(now);
    }
    assert_eq!(pauses, [ms(100), ms(200), ms(400), ms(400)]);
    pause.record_answer(now);
    pause.record_refusal(now, 100.0);
    assert_eq!(pause.remaining(now), ms(500));
}
