//! The silence timeout adapts to the speed of the engine.

use std::time::Duration;

use test_case::test_case;

use super::TokenInterval;

const MIN_SILENCE: Duration = Duration::from_millis(1200);
const MAX_SILENCE: Duration = Duration::from_secs(10);

struct Case {
    before_ms: u64,
    after_ms: u64,
}

#[test_case(&Case { before_ms: 42, after_ms: 420 }; "an engine becomes ten times slower")]
#[test_case(&Case { before_ms: 42, after_ms: 1100 }; "an engine becomes twenty five times slower")]
#[test_case(&Case { before_ms: 420, after_ms: 420 }; "an engine is slow from the start")]
#[test_case(&Case { before_ms: 900, after_ms: 2000 }; "a very slow engine becomes slower")]
fn a_slow_engine_is_not_silent(case: &Case) {
    let mut interval = TokenInterval::default();
    let mut now = Duration::ZERO;
    for i in 0..200 {
        let gap = if i < 100 {
            case.before_ms
        } else {
            case.after_ms
        };
        let gap = Duration::from_millis(gap);
        assert!(
            gap < interval.silence_timeout(MIN_SILENCE, MAX_SILENCE) || i < 2,
            "token {i}"
        );
        now += gap;
        interval.record_arrival(now);
    }
}

#[test]
fn silence_is_detected_within_two_seconds() {
    let mut interval = TokenInterval::default();
    for i in 0..100 {
        interval.record_arrival(Duration::from_millis(42 * i));
    }
    assert!(interval.silence_timeout(MIN_SILENCE, MAX_SILENCE) < Duration::from_secs(2));
}
