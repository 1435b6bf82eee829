//! Checks that what was fixed stays as it is.

use super::{FixedWindow, Ledger};

fn fixed(window: u64, requests: u64, is_answered: bool) -> FixedWindow {
    FixedWindow {
        window,
        counts: [("x".into(), requests)].into(),
        is_answered,
    }
}

/// Guards against a second report with other counts after a restored store lost a window.
#[test]
fn a_window_with_other_counts_is_not_reported() {
    let mut ledger = Ledger::default();
    ledger.merge(vec![fixed(1, 5, false)]);
    let changes = ledger.merge(vec![fixed(1, 6, false), fixed(2, 1, false)]);
    assert_eq!((changes.added, changes.differing), (vec![2], vec![1]));
    let left: Vec<u64> = ledger.unanswered().map(|window| window.window).collect();
    assert_eq!(left, [2]);
}

/// Guards against an object that grows without bound, and against the loss of windows that are still
/// to be reported.
#[test]
fn accepted_windows_are_dropped_first() {
    let mut ledger = Ledger::default();
    ledger.merge(
        (0..100)
            .map(|window| fixed(window, 1, window != 3))
            .collect(),
    );
    let stored = ledger.with_new(&[fixed(100, 1, false)]);
    assert!(stored.len() <= 26);
    assert!(stored.iter().any(|window| window.window == 3));
    assert_eq!(stored.last().map(|window| window.window), Some(100));
}
