//! Plain services of few servers under overload, in virtual time.

use cassiareel_bench::plain::{run_plain, PlainOutcome, PlainPattern, Rules};

/// Seeds of the runs of each comparison.
const SEEDS: std::ops::Range<u64> = 1..6;

fn total(pattern: &PlainPattern, rules: Rules) -> PlainOutcome {
    SEEDS
        .map(|seed| run_plain(pattern, rules, seed))
        .reduce(PlainOutcome::merge)
        .unwrap_or_default()
}

/// Nodes of a large fleet sent to servers that their old reports showed as free, so that most
/// answers came late and requests were rejected by one full server after another.
#[test]
fn three_times_the_capacity_is_served_near_capacity() {
    for (nodes, servers) in [(6, 3), (70, 6), (117, 3)] {
        let pattern = PlainPattern::burst(nodes, servers, 3.0);
        let capacity = pattern.burst_capacity() * SEEDS.count() as f64;
        let relay = total(&pattern, Rules::RELAY);
        let context = format!("{nodes} nodes, {servers} servers: {relay}");
        assert!(relay.in_time as f64 > capacity * 0.82, "{context}");
        assert!(relay.late_part() < 0.1, "{context}");
        assert!(relay.rejected_part() < 0.02, "{context}");
        let after_send = relay.refused_after_send as f64;
        assert!(after_send < relay.asked as f64 * 0.005, "{context}");
        assert!(relay.refusal_quantile(0.99) < 50.0, "{context}");
        assert!(relay.calm_part() > 0.94, "{context}");
        if nodes > 6 {
            let unbounded = total(&pattern, Rules::UNBOUNDED);
            assert!(relay.in_time * 4 > unbounded.in_time * 5, "{context}");
        }
    }
}

/// With 300 nodes, each gets an answer of each server less than once a second.
#[test]
fn a_large_fleet_serves_most_of_the_capacity() {
    let pattern = PlainPattern::burst(300, 3, 3.0);
    let capacity = pattern.burst_capacity() * SEEDS.count() as f64;
    let relay = total(&pattern, Rules::RELAY);
    assert!(relay.in_time as f64 > capacity * 0.7, "{relay}");
    assert!(relay.late_part() < 0.22, "{relay}");
    assert!(relay.rejected_part() < 0.04, "{relay}");
}

/// A load below the capacity is served as without a bound.
#[test]
fn a_usual_load_is_served_as_before() {
    for nodes in [6, 70, 117, 300] {
        let pattern = PlainPattern::burst(nodes, 3, 0.6);
        let relay = total(&pattern, Rules::RELAY);
        let unbounded = total(&pattern, Rules::UNBOUNDED);
        let part = |outcome: &PlainOutcome| {
            (outcome.in_time + outcome.calm_in_time) as f64
                / (outcome.asked + outcome.calm_asked) as f64
        };
        assert!(
            part(&relay) > part(&unbounded) - 0.003,
            "{nodes} nodes: {} {}",
            part(&relay),
            part(&unbounded)
        );
    }
}
