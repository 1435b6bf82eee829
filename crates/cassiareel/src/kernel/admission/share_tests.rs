//! What a fleet lets pass of one limit while nodes agree, are apart, or are being replaced.

use super::fleet_share;

/// The sum of the shares where node `i` counts `members[i]` nodes and hears of the nodes of its own
/// side only; a demand of 1 a node.
fn sum(members: &[u32], hears: impl Fn(usize, usize) -> bool) -> f64 {
    (0..members.len())
        .map(|i| {
            let heard = (0..members.len())
                .filter(|&j| j != i && hears(i, j))
                .count();
            let others = (heard + 1 == members.len()).then_some(heard as f64);
            fleet_share(members[i], 1.0, others)
        })
        .sum()
}

#[test]
fn nodes_that_agree_let_the_limit_pass() {
    let demands = [5.0, 0.0, 1.0, 100.0, 2.0, 0.5];
    let total: f64 = demands.iter().sum();
    let all: f64 = demands
        .iter()
        .map(|&own| fleet_share(6, own, Some(total - own)))
        .sum();
    assert!((all - 1.0).abs() < 1e-9, "{all}");
}

#[test]
fn a_partition_lets_no_more_pass() {
    let all = sum(&[6; 6], |i, j| (i < 2) == (j < 2));
    assert!(all <= 1.0 + 1e-9, "{all}");
}

#[test]
fn worst_overshoot_of_a_rescale_is_the_joined_nodes_parts() {
    // Old nodes count n until the list of VMs reaches them, new ones count n + k.
    for (n, k) in [(6, 1), (6, 6), (380, 95)] {
        let old: f64 = (0..n).map(|_| fleet_share(n, 1.0, None)).sum();
        let new: f64 = (0..k).map(|_| fleet_share(n + k, 1.0, None)).sum();
        let bound = 1.0 + f64::from(k) / f64::from(n + k);
        println!(
            "{n} nodes and {k} new: {:.3} of the limit until the list is known",
            old + new
        );
        assert!(old + new <= bound + 1e-9);
    }
}

#[test]
fn worst_overshoot_of_stale_demand_is_bounded() {
    // All demand moves from node 0 to node 1 and node 0 has not heard of it.
    let stale = fleet_share(6, 100.0, Some(0.0)) + fleet_share(6, 100.0, Some(0.0));
    println!("demand that moved unseen: {stale:.3} of the limit until the next word");
    assert!(stale <= 2.0);
}
