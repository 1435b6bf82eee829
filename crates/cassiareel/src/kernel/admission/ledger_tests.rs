//! The sum of all nodes' admissions never overflows an engine.

use std::thread;

use super::{memory_share, Ledger};

#[test]
fn the_shares_of_a_fleet_never_overflow() {
    for sharers in [1, 2, 6, 22, 380] {
        let sum: f64 = (0..sharers).map(|_| memory_share(sharers)).sum();
        assert!(sum <= 1.0, "{sharers}: {sum}");
    }
}

#[test]
fn a_node_that_joins_unknown_to_the_others_does_not_overflow() {
    // The old nodes still count n sharers.
    for n in [6u32, 22] {
        let old: f64 = (0..n).map(|_| memory_share(n)).sum();
        let joined = memory_share(n + 1);
        assert!(old + joined <= 1.0, "{n}: {}", old + joined);
    }
}

#[test]
fn threads_at_once_never_pass_the_bound() {
    let ledger = Ledger::default();
    ledger.set_bound(1_000);
    thread::scope(|scope| {
        for seed in 0..4u64 {
            let ledger = &ledger;
            scope.spawn(move || {
                for i in 0..10_000u64 {
                    let need = 1 + (i * 7 + seed * 13) % 400;
                    if ledger.hold(need) {
                        assert!(ledger.held() <= 1_000);
                        ledger.release(need);
                    }
                }
            });
        }
    });
    assert_eq!((ledger.held(), ledger.free()), (0, 1_000));
}

#[test]
fn a_lowered_bound_takes_nothing_away() {
    let ledger = Ledger::default();
    ledger.set_bound(100);
    assert!(ledger.hold(80));
    ledger.set_bound(50);
    assert_eq!((ledger.held(), ledger.free()), (80, 0));
    assert!(!ledger.hold(1));
    ledger.release(80);
    assert!(ledger.hold(50));
    assert!(!ledger.hold(u64::MAX));
}
