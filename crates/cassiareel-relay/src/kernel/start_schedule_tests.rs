//! Nodes that start read the store one after another.

use std::time::Duration;

use test_case::test_case;

use super::StartSchedule;

/// The calls of a node's first reads: six pages of the registry, configuration and orders.
const CALLS: usize = 8;

/// The calls that the store serves in a second.
const STORE_RATE: usize = 6000;

/// Nodes that read at the same moment exceed the store's rate, and are refused together.
#[test_case(30)]
#[test_case(300)]
#[test_case(3000)]
fn turns_stay_below_the_rate_of_the_store(nodes: usize) {
    let schedule = StartSchedule {
        nodes,
        first_readers: 4,
    };
    for read_after in [StartSchedule::read_after, StartSchedule::read_after_wake] {
        let turns: Vec<Duration> = (4..nodes).map(|i| read_after(schedule, i)).collect();
        for (i, turn) in turns.iter().enumerate() {
            let second = turns[i..].iter();
            let second = second.take_while(|later| **later < *turn + Duration::from_secs(1));
            assert!(second.count() * CALLS < STORE_RATE, "{i}");
        }
    }
}

/// A node whose peers are always busy must not wait for them for ever.
#[test]
fn a_node_waits_for_busy_peers_for_a_limited_time() {
    let schedule = StartSchedule {
        nodes: 300,
        first_readers: 4,
    };
    let waits = |spent: u64, busy: Option<u64>| {
        let busy = busy.map(Duration::from_millis);
        schedule.waits(9, Duration::from_millis(spent), busy)
    };
    assert!(waits(1000, None) && !waits(1200, None));
    assert!(waits(1300, Some(500)) && !waits(1300, Some(700)));
    assert!(!waits(3600, Some(0)));
    assert!(!schedule.waits(3, Duration::ZERO, Some(Duration::ZERO)));
}

/// A small fleet is served as soon as each node has read the store.
#[test]
fn nodes_of_a_small_fleet_read_at_once() {
    let schedule = StartSchedule {
        nodes: 16,
        first_readers: 4,
    };
    assert!((0..16).all(|i| schedule.read_after(i).is_zero()));
    assert!((0..16).all(|i| schedule.read_after_wake(i).is_zero()));
}
