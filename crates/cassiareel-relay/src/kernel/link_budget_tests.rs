//! Whole lists leave room on the link for the updates behind them.

use std::time::Duration;

use test_case::test_case;

use super::LinkBudget;

const NOW: Duration = Duration::from_secs(9);

/// A link that carries lists without end would delay a server's leaving beyond its bound.
#[test_case(90_000, None, 1; "a large list on a link of unknown rate")]
#[test_case(90_000, Some(10), 1; "a large list on a slow link")]
#[test_case(9_000, Some(10), 17; "small lists on a slow link")]
#[test_case(90_000, Some(200), 35; "large lists on a fast link")]
#[test_case(8_000_000, Some(10), 1; "a list that takes seconds")]
#[test_case(90_000, Some(0), 1; "a rate of zero")]
fn lists_that_are_sent_at_once_are_few(bytes: usize, link: Option<u32>, expected: usize) {
    let mut budget = LinkBudget::default();
    let sent = (0..100).filter(|_| budget.take(bytes, link, NOW).is_some());
    assert_eq!(sent.count(), expected);
}

#[test]
fn the_link_is_free_again_when_a_list_was_sent() {
    let mut budget = LinkBudget::default();
    let sent = budget.take(90_000, Some(10), NOW);
    let sent = sent.expect("the link was free");
    assert_eq!(budget.take(90_000, Some(10), NOW), None);
    assert!(budget.take(90_000, Some(10), sent).is_some());
}
