//! Membership of 50 nodes converges after a start, a partition and a death, in virtual time.

use std::time::Duration;

use cassiareel_bench::fleet::{Fleet, Setup};

const NODES: usize = 50;

/// Time within which all nodes know of a death.
const DEATH_LIMIT: Duration = Duration::from_secs(2);

/// Time within which all nodes know the new revision of a node's settings.
const SETTINGS_LIMIT: Duration = Duration::from_secs(10);

/// Largest mean number of bytes that a node may send per second.
const MAX_BYTES_PER_SECOND: u64 = 7_000;

/// Time within which all nodes know each other after a start or the end of a partition.
const MEMBERSHIP_LIMIT: Duration = Duration::from_secs(10);

/// The probability of message loss and the seed of a fleet.
struct Case {
    loss: f64,
    seed: u64,
}

#[test]
fn fifty_nodes_converge_after_each_change() {
    let cases = [
        Case { loss: 0.0, seed: 1 },
        Case {
            loss: 0.05,
            seed: 2,
        },
    ];
    for Case { loss, seed } in cases {
        let mut fleet = Fleet::start(Setup {
            nodes: NODES,
            loss_probability: loss,
            seed,
        });
        let all_joined = |f: &Fleet| (0..NODES).all(|i| f.known_nodes(i) == Some(NODES - 1));
        assert!(
            fleet.run_until(MEMBERSHIP_LIMIT, all_joined),
            "{loss}: nodes not joined"
        );
        let before: u64 = fleet.sent_bytes.iter().sum();
        fleet.run_until(Duration::from_secs(20), |_| false);
        let sent = fleet.sent_bytes.iter().sum::<u64>() - before;
        assert!(
            sent / 20 / NODES as u64 <= MAX_BYTES_PER_SECOND,
            "{loss}: {sent} bytes"
        );
        fleet.set_revision(0, 9);
        let spread = fleet.run_until(SETTINGS_LIMIT, |f| f.nodes_missing_revision(0, 9) == 0);
        assert!(spread, "{loss}: revision not known");
        fleet.set_partitioned(true);
        fleet.run_until(Duration::from_secs(10), |_| false);
        fleet.set_partitioned(false);
        assert!(
            fleet.run_until(MEMBERSHIP_LIMIT, all_joined),
            "{loss}: partition not healed"
        );
        fleet.kill(7);
        let known = fleet.run_until(DEATH_LIMIT, |f| f.nodes_listing(7) == 0);
        assert!(known, "{loss}: death not known");
    }
}
