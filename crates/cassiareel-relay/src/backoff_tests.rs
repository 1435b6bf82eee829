//! Backoffs end after the requested time, and are kept for a process that comes back into the
//! registry.

use std::time::Duration;

use crate::backoff::{Backoff, Backoffs};

const NOW: Duration = Duration::from_secs(100);

#[test]
fn a_process_gets_no_requests_during_its_backoff() {
    struct Case {
        requested: &'static [u64],
        after: u64,
        left: Option<u64>,
    }
    let cases = [
        Case {
            requested: &[],
            after: 0,
            left: None,
        },
        Case {
            requested: &[2000],
            after: 500,
            left: Some(1500),
        },
        Case {
            requested: &[2000],
            after: 2000,
            left: None,
        },
        Case {
            requested: &[2000, 500],
            after: 600,
            left: Some(1400),
        },
        Case {
            requested: &[u64::MAX],
            after: 0,
            left: Some(600_000),
        },
    ];
    for case in cases {
        let backoff = Backoff::default();
        for time in case.requested {
            backoff.back_off(Duration::from_millis(*time), NOW);
        }
        let left = backoff.left(NOW + Duration::from_millis(case.after));
        assert_eq!(
            left,
            case.left.map(Duration::from_millis),
            "{:?}",
            case.requested
        );
    }
}

#[test]
fn a_process_that_leaves_does_so_for_good() {
    let backoffs = Backoffs::default();
    assert!(backoffs.get_or_create(1).mark_leaving());
    assert!(!backoffs.get_or_create(1).mark_leaving());
    assert!(backoffs.get_or_create(1).is_leaving());
    assert!(!backoffs.get_or_create(2).is_leaving());
}

#[test]
fn backoffs_of_processes_in_use_are_kept_and_others_are_bounded() {
    let backoffs = Backoffs::default();
    let used = backoffs.get_or_create(0);
    used.mark_leaving();
    (1..5000).for_each(|process| {
        backoffs.get_or_create(process);
    });
    assert!(backoffs.get_or_create(0).is_leaving());
}
