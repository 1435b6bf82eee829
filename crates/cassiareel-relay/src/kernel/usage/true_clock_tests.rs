//! Checks that a single node's time of day does not move true time.

use std::time::Duration;

use test_case::test_case;

use super::TrueClock;

const ERROR_BOUND: Duration = Duration::from_millis(150);

fn secs(secs: f64) -> Duration {
    Duration::from_secs_f64(secs)
}

/// Guards against a jump of the node's own time of day by seconds, either way and back, alone or
/// outvoted by others.
#[test_case(3.0, 0; "ahead, alone")]
#[test_case(-3.0, 0; "back, alone")]
#[test_case(3.0, 2; "ahead, with peers")]
#[test_case(-3.0, 5; "back, with peers")]
fn a_jump_moves_nothing(jump: f64, peers: u32) {
    let mut clock = TrueClock::default();
    for step in 0..400 {
        let now = secs(100.0 + f64::from(step) * 0.5);
        let truth = secs(1e6) + now;
        let is_off = (50..150).contains(&step);
        let shown = truth.as_secs_f64() + if is_off { jump } else { 0.0 };
        clock.observe(now, secs(shown));
        for peer in 0..peers {
            clock.record_node(&format!("n{peer}"), truth - secs(0.02), now);
        }
        let time = clock.time(now).expect("the time is known");
        assert!(time.abs_diff(truth) < ERROR_BOUND, "step {step}: {time:?}");
    }
}

/// Guards against a node that starts with a wrong time of day: the medians of candidates outvote it.
#[test]
fn candidates_outvote_a_wrong_start() {
    let mut clock = TrueClock::default();
    let now = secs(10.0);
    clock.observe(now, secs(503.0));
    assert!(!clock.is_confirmed(1));
    clock.record_median("a", secs(500.0), 5, now - secs(0.02), now);
    assert!(clock.is_confirmed(2));
    let time = clock.time(now).expect("the time is known");
    assert!(time.abs_diff(secs(500.0)) < ERROR_BOUND);
}

/// Guards against a slow reply whose time is old.
#[test]
fn slow_replies_are_ignored() {
    let mut clock = TrueClock::default();
    clock.record_median("a", secs(500.0), 5, secs(1.0), secs(3.0));
    assert_eq!(clock.time(secs(3.0)), None);
}
