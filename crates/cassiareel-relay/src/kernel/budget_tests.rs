//! Repeats stay within their share of the callers' requests, in every window.

use std::time::Duration;

use super::Budget;

const RATIO: f64 = 0.8;
/// What one of six nodes may send of a slack of 150.
const FREE: f64 = 25.0;
const WINDOW: Duration = Duration::from_secs(10);

/// Half a service fails: each request of a caller wants a repeat.
#[test]
fn a_storm_of_failures_stays_within_the_ratio() {
    let mut budget = Budget::new(RATIO, WINDOW);
    let (mut requests, mut repeats) = (0u32, 0u32);
    for ms in (0..60_000).step_by(20) {
        let now = Duration::from_millis(ms);
        budget.request(now);
        requests += 1;
        repeats += u32::from(budget.repeat(now, FREE));
        repeats += u32::from(budget.repeat(now, FREE));
    }
    let free = FREE * 6.0;
    let share = (f64::from(repeats) - free) / f64::from(requests);
    assert!(share <= RATIO, "{share}");
    assert!(share > RATIO / 2.0, "{share}");
}

#[test]
fn requests_that_left_the_window_allow_nothing() {
    let mut budget = Budget::new(RATIO, WINDOW);
    for _ in 0..1000 {
        budget.request(Duration::ZERO);
    }
    let later = Duration::from_secs(30);
    let allowed = (0..1000).filter(|_| budget.repeat(later, FREE)).count();
    assert!(allowed <= 25, "{allowed}");
}

#[test]
fn a_repeat_that_reached_nobody_is_given_back() {
    let mut budget = Budget::new(RATIO, WINDOW);
    for _ in 0..1000 {
        assert!(budget.repeat(Duration::ZERO, FREE));
        budget.refund(Duration::ZERO);
    }
}

/// Callers are turned away while the store is down, and then a data centre's engines crash: the
/// streams that were open before still go on elsewhere.
#[test]
fn requests_of_the_window_before_count() {
    let mut budget = Budget::new(RATIO, WINDOW);
    for ms in (0..10_000).step_by(500) {
        budget.request(Duration::from_millis(ms));
    }
    let later = Duration::from_secs(15);
    let allowed = (0..100).filter(|_| budget.repeat(later, 0.0)).count();
    assert!(allowed >= 6, "{allowed}");
}
