//! Streams of a higher priority with a shorter objective are served at least as well as the others
//! where engines are short of room, in virtual time.

use std::thread;

use cassiareel_bench::relay::{run, NodeConfig, Pattern, RELAY};

/// Seeds of the runs of each comparison.
const SEEDS: std::ops::Range<u64> = 1..4;

/// The relay that serves all priorities alike.
const ALIKE: NodeConfig = NodeConfig {
    name: "priorities alike",
    order_priorities: false,
    ..RELAY
};

/// Means over the runs of all seeds: fractions of streams that were complete and in time.
#[derive(Clone, Copy, Debug, Default)]
struct InTime {
    premium: f64,
    standard: f64,
    all: f64,
    /// Of the account or the third of prompt sizes that is served worst.
    worst: f64,
}

fn measure(pattern: &Pattern, config: NodeConfig) -> InTime {
    let count = (SEEDS.end - SEEDS.start) as f64;
    SEEDS.fold(InTime::default(), |sum, seed| {
        let outcome = run(pattern, config, seed);
        InTime {
            premium: sum.premium + outcome.priority_in_time[0] / count,
            standard: sum.standard + outcome.priority_in_time[1] / count,
            all: sum.all + outcome.goodput() / count,
            worst: sum.worst + outcome.worst_in_time / count,
        }
    })
}

/// Guards against premium streams that are refused or late for standard ones, and against a reserve
/// that costs standard streams, an account or a size of prompt more than premium ones need.
#[test]
fn premium_streams_go_before_standard_ones_at_little_cost() {
    let loads = [
        ("burst of 1.7", Pattern::premium_overload(1.7)),
        ("burst of 3", Pattern::premium_overload(3.0)),
        ("burst of 5", Pattern::premium_overload(5.0)),
        ("one account at 20 times", Pattern::premium_flood(20.0)),
    ];
    thread::scope(|scope| {
        for (name, pattern) in &loads {
            scope.spawn(move || {
                let (before, after) = (measure(pattern, ALIKE), measure(pattern, RELAY));
                println!("{name}: {before:?}, {after:?}");
                assert!(after.premium >= after.standard - 0.01, "{name}: {after:?}");
                assert!(
                    after.standard >= before.standard * 0.95,
                    "{name}: {before:?} {after:?}"
                );
                assert!(
                    after.all >= before.all - 0.005,
                    "{name}: {before:?} {after:?}"
                );
                assert!(
                    after.worst >= before.worst * 0.95,
                    "{name}: {before:?} {after:?}"
                );
            });
        }
    });
}

/// Guards against a model in which priorities don't compete: without the decision premium streams
/// are in time less often than standard ones.
#[test]
fn premium_streams_fare_worse_where_priorities_are_alike() {
    let alike = measure(&Pattern::premium_overload(5.0), ALIKE);
    assert!(alike.premium < alike.standard - 0.1, "{alike:?}");
}
