//! Checks the merge of counts against messages that are repeated, late or of another incarnation.

use test_case::test_case;

use super::{FleetCounts, SenderKey, WindowCounts};

/// A message: sender, incarnation, window, and count of the one account.
type Sent = (&'static str, u64, u64, u64);

/// Guards against counts that are lost or counted twice where messages are repeated or overtake each
/// other, or a sender restarts.
#[test_case(&[("a", 1, 5, 2), ("a", 1, 5, 3)], 3; "cumulative")]
#[test_case(&[("a", 1, 5, 3), ("a", 1, 5, 3)], 3; "repeated")]
#[test_case(&[("a", 1, 5, 3), ("a", 1, 5, 2)], 3; "overtaken")]
#[test_case(&[("a", 1, 5, 3), ("a", 2, 5, 2)], 5; "restarted")]
#[test_case(&[("a", 1, 5, 3), ("a", 2, 5, 2), ("a", 1, 5, 3)], 5; "late after a restart")]
#[test_case(&[("a", 1, 5, 3), ("b", 1, 5, 4)], 7; "two nodes")]
#[test_case(&[("a", 1, 5, 3), ("a", 1, 99, 4)], 3; "other window")]
fn messages_count_once(sent: &[Sent], total: u64) {
    let mut fleet = FleetCounts::default();
    for (name, incarnation, window, requests) in sent {
        let key = SenderKey {
            name: (*name).to_owned(),
            incarnation: *incarnation,
        };
        let counts = WindowCounts {
            window: *window,
            counts: vec![("x".into(), *requests)],
        };
        fleet.merge(&key, &[counts], &(0..=9));
    }
    let before = fleet.totals(5);
    assert_eq!(before.values().sum::<u64>(), total);
    fleet.fold_before(6);
    assert_eq!(fleet.totals(5), before);
    assert!(fleet.totals(99).is_empty());
}
