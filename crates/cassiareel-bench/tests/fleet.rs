//! Membership settles at 50 nodes: joining, a partition that heals, a death, news; in virtual time.

use std::time::Duration;

use cassiareel_bench::fleet::{Fleet, Setup};

const NODES: usize = 50;

/// A death is known to all in this time.
const DEATH: Duration = Duration::from_secs(2);

/// A revision of the settings is known to all in this time.
const SETTINGS: Duration = Duration::from_secs(10);

/// Bytes that a node may send each second, on average.
const BYTES: u64 = 7_000;

/// Time for a start or the end of a partition to be known to all.
const SETTLED: Duration = Duration::from_secs(10);

/// A fleet, by its losses and its seed.
struct Case {
    loss: f64,
    seed: u64,
}

#[test]
fn fifty_nodes_settle_after_each_change() {
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
            loss,
            seed,
        });
        let whole = |f: &Fleet| (0..NODES).all(|i| f.others(i) == Some(NODES - 1));
        assert!(fleet.run(SETTLED, whole), "{loss}: not joined");
        let before: u64 = fleet.sent.iter().sum();
        fleet.run(Duration::from_secs(20), |_| false);
        let sent = fleet.sent.iter().sum::<u64>() - before;
        assert!(sent / 20 / NODES as u64 <= BYTES, "{loss}: {sent} bytes");
        fleet.enforce(0, 9);
        let spread = fleet.run(SETTINGS, |f| f.without(0, 9) == 0);
        assert!(spread, "{loss}: revision not known");
        fleet.split(true);
        fleet.run(Duration::from_secs(10), |_| false);
        fleet.split(false);
        assert!(fleet.run(SETTLED, whole), "{loss}: not healed");
        fleet.kill(7);
        let known = fleet.run(DEATH, |f| f.holding(7) == 0);
        assert!(known, "{loss}: death not known");
    }
}
