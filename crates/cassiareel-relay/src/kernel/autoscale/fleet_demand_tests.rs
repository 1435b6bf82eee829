//! Samples that are missing, repeated, of another start, or absurd.

use std::{sync::Arc, time::Duration};

use super::FleetDemand;
use crate::model::DemandSample;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(100 + seconds)
}

fn samples(running: u32, refused: u64) -> Vec<DemandSample> {
    vec![DemandSample {
        service: Arc::from("model"),
        data_centre: Arc::from("a"),
        running,
        waiting: 1,
        refused,
    }]
}

/// Returns running requests and refusals.
fn totals(fleet: &mut FleetDemand, now: u64) -> (u64, u64) {
    let key = (Arc::from("model"), Arc::from("a"));
    let total = fleet.take_totals(at(now)).get(&key).copied();
    let total = total.unwrap_or_default();
    (total.running, total.refused)
}

/// Guards against refusals that count twice, or that count from the start of a node on.
#[test]
fn the_newest_samples_of_each_node_are_summed() {
    let mut fleet = FleetDemand::default();
    fleet.record("n1", 1, samples(5, 100), at(0));
    fleet.record("n2", 1, samples(7, 0), at(0));
    assert_eq!(totals(&mut fleet, 0), (12, 0));
    fleet.record("n1", 1, samples(6, 103), at(1));
    fleet.record("n1", 1, samples(6, 103), at(1));
    fleet.record("n1", 1, samples(6, 104), at(2));
    assert_eq!(totals(&mut fleet, 2), (13, 4));
    assert_eq!(totals(&mut fleet, 2), (13, 0));
}

/// Guards against a node that was started again and counts with its earlier start.
#[test]
fn a_later_start_replaces_an_earlier_one() {
    let mut fleet = FleetDemand::default();
    fleet.record("n1", 2, samples(5, 9), at(0));
    fleet.record("n1", 1, samples(90, 90), at(1));
    assert_eq!(totals(&mut fleet, 1), (5, 0));
    fleet.record("n1", 3, samples(2, 1), at(1));
    assert_eq!(totals(&mut fleet, 1), (2, 0));
}

/// Guards against a removal of servers by the demand of a part of the nodes.
#[test]
fn coverage_follows_the_age_of_samples() {
    let mut fleet = FleetDemand::default();
    for node in 0..10 {
        fleet.record(&node.to_string(), 1, samples(1, 0), at(node));
    }
    let coverage = fleet.coverage(10, at(9));
    assert_eq!((coverage.known, coverage.oldest.as_secs()), (6, 5));
    assert!(!coverage.is_enough());
    assert!((coverage.factor() - 10.0 / 6.0).abs() < 1e-9);
    assert_eq!(totals(&mut fleet, 13).0, 7);
}

/// Guards against a fault of one node that orders the largest number of servers.
#[test]
fn absurd_samples_are_ignored() {
    let mut fleet = FleetDemand::default();
    fleet.record("n1", 1, samples(5, 0), at(0));
    fleet.record("n1", 1, samples(u32::MAX, 0), at(1));
    assert_eq!(totals(&mut fleet, 1).0, 5);
    assert_eq!(fleet.take_rejected(), ["n1"]);
    fleet.record("n1", 1, samples(u32::MAX, 0), at(2));
    assert!(fleet.take_rejected().is_empty());
}
