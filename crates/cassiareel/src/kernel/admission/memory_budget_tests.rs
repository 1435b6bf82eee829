//! The reservations of all nodes together never overflow an engine.

use std::thread;

use super::{memory_share, MemoryBudget};

#[test]
fn the_shares_of_a_fleet_never_exceed_the_memory() {
    for sharers in [1, 2, 6, 22, 380] {
        let sum: f64 = (0..sharers).map(|_| memory_share(sharers)).sum();
        assert!(sum <= 1.0, "{sharers}: {sum}");
    }
}

#[test]
fn a_node_that_the_others_do_not_know_yet_does_not_overflow() {
    // The old nodes still count n sharers.
    for n in [6u32, 22] {
        let old: f64 = (0..n).map(|_| memory_share(n)).sum();
        let joined = memory_share(n + 1);
        assert!(old + joined <= 1.0, "{n}: {}", old + joined);
    }
}

#[test]
fn concurrent_threads_never_exceed_the_limit() {
    let budget = MemoryBudget::default();
    budget.set_limit(1_000);
    thread::scope(|scope| {
        for seed in 0..4u64 {
            let budget = &budget;
            scope.spawn(move || {
                for i in 0..10_000u64 {
                    let need = 1 + (i * 7 + seed * 13) % 400;
                    if budget.try_reserve(need) {
                        assert!(budget.reserved() <= 1_000);
                        budget.release(need);
                    }
                }
            });
        }
    });
    assert_eq!((budget.reserved(), budget.available()), (0, 1_000));
}

#[test]
fn a_lowered_limit_revokes_no_reservation() {
    let budget = MemoryBudget::default();
    budget.set_limit(100);
    assert!(budget.try_reserve(80));
    budget.set_limit(50);
    assert_eq!((budget.reserved(), budget.available()), (80, 0));
    assert!(!budget.try_reserve(1));
    budget.release(80);
    assert!(budget.try_reserve(50));
    assert!(!budget.try_reserve(u64::MAX));
}
