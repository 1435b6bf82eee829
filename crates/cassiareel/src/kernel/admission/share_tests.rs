//! How much of one limit the whole fleet admits while nodes agree, are partitioned, or are being
//! replaced.

use super::fleet_share;

/// Returns the sum of the shares if node `i` counts `members[i]` nodes and receives reports only
/// from the nodes for which `receives` holds. Each node has a demand of 1.
fn total_share(members: &[u32], receives: impl Fn(usize, usize) -> bool) -> f64 {
    (0..members.len())
        .map(|i| {
            let received = (0..members.len())
                .filter(|&j| j != i && receives(i, j))
                .count();
            let others = (received + 1 == members.len()).then_some(received as f64);
            fleet_share(members[i], 1.0, others)
        })
        .sum()
}

#[test]
fn nodes_that_agree_admit_exactly_the_limit() {
    let demands = [5.0, 0.0, 1.0, 100.0, 2.0, 0.5];
    let total: f64 = demands.iter().sum();
    let all: f64 = demands
        .iter()
        .map(|&own| fleet_share(6, own, Some(total - own)))
        .sum();
    assert!((all - 1.0).abs() < 1e-9, "{all}");
}

#[test]
fn a_partition_admits_no_more_than_the_limit() {
    let all = total_share(&[6; 6], |i, j| (i < 2) == (j < 2));
    assert!(all <= 1.0 + 1e-9, "{all}");
}

#[test]
fn worst_overshoot_of_scaling_up_is_the_parts_of_the_new_nodes() {
    // Old nodes count n members until they receive the new list of VMs; new nodes count n + k.
    for (n, k) in [(6, 1), (6, 6), (380, 95)] {
        let old: f64 = (0..n).map(|_| fleet_share(n, 1.0, None)).sum();
        let new: f64 = (0..k).map(|_| fleet_share(n + k, 1.0, None)).sum();
        let bound = 1.0 + f64::from(k) / f64::from(n + k);
        println!(
            "{n} nodes and {k} new: {:.3} of the limit until all have the new list of VMs",
            old + new
        );
        assert!(old + new <= bound + 1e-9);
    }
}

#[test]
fn worst_overshoot_of_stale_demand_is_bounded() {
    // All demand moves from node 0 to node 1, and node 0 has not received a report of it yet.
    let stale = fleet_share(6, 100.0, Some(0.0)) + fleet_share(6, 100.0, Some(0.0));
    println!("unreported move of demand: {stale:.3} of the limit until the next report");
    assert!(stale <= 2.0);
}
