//! Choosing among servers of uneven and changing speed, in virtual time.

use cassiareel_bench::plain::{run_plain, Choice, PlainOutcome, PlainPattern, Rules};

/// Seeds of the runs of each comparison.
const SEEDS: std::ops::Range<u64> = 1..11;

fn total(pattern: &PlainPattern, choice: Choice) -> PlainOutcome {
    let rules = Rules {
        choice,
        ..Rules::RELAY
    };
    SEEDS
        .map(|seed| run_plain(pattern, rules, seed))
        .reduce(PlainOutcome::merge)
        .unwrap_or_default()
}

/// A load, and the least increase of the part in time.
struct Case {
    nodes: usize,
    servers: usize,
    load: f64,
    gain: f64,
}

const fn case(nodes: usize, servers: usize, load: f64, gain: f64) -> Case {
    Case {
        nodes,
        servers,
        load,
        gain,
    }
}

const CASES: [Case; 7] = [
    case(6, 3, 0.6, 0.005),
    case(6, 3, 0.95, 0.01),
    case(70, 6, 0.8, 0.08),
    case(70, 6, 0.95, 0.08),
    case(117, 3, 0.6, 0.01),
    case(117, 6, 0.8, 0.05),
    case(300, 6, 0.8, 0.0),
];

/// Nodes took servers with old reports for idle ones and overran them in turn.
#[test]
fn reported_work_times_even_the_load() {
    for case in CASES {
        let pattern = PlainPattern::uneven(case.nodes, case.servers, case.load);
        let before = total(&pattern, Choice::Unpaced);
        let relay = total(&pattern, Choice::Relay);
        let context = format!("{} nodes, load {}", case.nodes, case.load);
        let parts = (before.calm_part(), relay.calm_part());
        assert!(parts.1 - parts.0 > case.gain, "{context}: {parts:?}");
        let excess = (before.work_excess(), relay.work_excess());
        assert!(excess.1 < excess.0 * 1.01, "{context}: {excess:?}");
    }
}

/// The bound on sends must hold as well where servers report work times, and the requests after a
/// burst must not avoid servers that were full in it.
#[test]
fn a_burst_is_served_better_than_without_work_times() {
    for (nodes, servers) in [(6, 3), (70, 6), (117, 3), (300, 3)] {
        let pattern = PlainPattern {
            uneven: true,
            ..PlainPattern::burst(nodes, servers, 3.0)
        };
        let before = total(&pattern, Choice::Unpaced);
        let relay = total(&pattern, Choice::Relay);
        let context = format!("{nodes} nodes, before: {before}; now: {relay}");
        assert!(relay.in_time * 100 > before.in_time * 101, "{context}");
        assert!(relay.late_part() < before.late_part(), "{context}");
        assert!(relay.calm_part() > before.calm_part(), "{context}");
    }
}
