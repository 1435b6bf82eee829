//! How often changes of a limit are passed on.

use std::time::Duration;

use super::spread::Spread;

const PROCESS: u64 = 7;

const NOW: Duration = Duration::from_secs(100);

/// A server that names another limit in each answer must not cause a message to each node for each.
#[test]
fn a_limit_that_changes_with_each_answer_is_passed_on_once_a_second() {
    let mut spread = Spread::default();
    let mut passed = 0;
    for step in 0..100 {
        let now = NOW + Duration::from_millis(100) * step;
        passed += usize::from(spread.begin(PROCESS, now)) + spread.take_due(now).len();
    }
    assert_eq!(passed, 10);
}

#[test]
fn the_last_change_is_passed_on_in_the_end() {
    let mut spread = Spread::default();
    assert!(spread.begin(PROCESS, NOW));
    assert!(!spread.begin(PROCESS, NOW + Duration::from_millis(10)));
    assert!(spread.is_pending());
    assert!(spread.take_due(NOW + Duration::from_millis(900)).is_empty());
    assert_eq!(spread.take_due(NOW + Duration::from_secs(1)), [PROCESS]);
    assert!(!spread.is_pending());
    assert!(spread.take_due(NOW + Duration::from_secs(2)).is_empty());
}

/// Otherwise each node that received the change would begin to pass it on.
#[test]
fn a_change_of_another_node_is_not_passed_on_later() {
    let mut spread = Spread::default();
    assert!(spread.accept(PROCESS, NOW));
    assert!(!spread.accept(PROCESS, NOW + Duration::from_millis(10)));
    assert!(!spread.is_pending());
    assert!(spread.accept(PROCESS + 1, NOW));
    assert!(spread.accept(PROCESS, NOW + Duration::from_secs(1)));
}

/// Nodes whose readings do not agree must not exchange them with each update of the store's values.
#[test]
fn readings_are_exchanged_once_a_second() {
    let mut spread = Spread::default();
    assert!(spread.accept_exchange(NOW));
    assert!(!spread.accept_exchange(NOW + Duration::from_millis(900)));
    assert!(spread.accept_exchange(NOW + Duration::from_secs(1)));
}
