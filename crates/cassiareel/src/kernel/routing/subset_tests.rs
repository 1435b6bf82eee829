//! Subsets are balanced, and stable when nodes and servers are added or removed.

use std::{collections::HashSet, sync::Arc};

use super::Subsets;
use crate::kernel::{BackendId, NodeId};

const NODES: usize = 380;
const SERVERS: usize = 830;
const SIZE: usize = 48;

fn names(kind: &str, range: std::ops::Range<usize>) -> Vec<Arc<str>> {
    range.map(|i| format!("{kind}{i}").into()).collect()
}

/// Returns the fraction of the pairs of the earlier assignment that the later one lacks, among the
/// nodes and servers that are in both.
fn churn(
    before: (&[NodeId], &[BackendId], &Subsets),
    after: (&[NodeId], &[BackendId], &Subsets),
) -> f64 {
    let kept: HashSet<&BackendId> = after.1.iter().collect();
    let (mut pairs, mut lost) = (0u32, 0u32);
    for (n, node) in before.0.iter().enumerate() {
        let Some(later) = after.0.iter().position(|other| other == node) else {
            continue;
        };
        let held: HashSet<&BackendId> = after
            .2
            .servers_of(later)
            .iter()
            .map(|&s| &after.1[s as usize])
            .collect();
        for &s in before.2.servers_of(n) {
            let server = &before.1[s as usize];
            if kept.contains(server) {
                pairs += 1;
                lost += u32::from(!held.contains(server));
            }
        }
    }
    f64::from(lost) / f64::from(pairs)
}

#[test]
fn subsets_are_balanced_within_ten_percent() {
    let (nodes, servers) = (names("n", 0..NODES), names("s", 0..SERVERS));
    let subsets = Subsets::assign(&nodes, &servers, SIZE);
    assert!((0..NODES).all(|n| subsets.servers_of(n).len() == SIZE));
    let mean = (NODES * SIZE) as f64 / SERVERS as f64;
    let degrees: Vec<f64> = (0..SERVERS)
        .map(|s| f64::from(subsets.sharers(s)))
        .collect();
    let least = degrees.iter().copied().fold(f64::MAX, f64::min);
    let most = degrees.iter().copied().fold(0.0, f64::max);
    println!("nodes to a server: {least} to {most}, mean {mean:.2}");
    assert!(
        least >= 0.9 * mean && most <= 1.1 * mean,
        "{least} to {most}, mean {mean}"
    );
}

#[test]
fn a_change_moves_few_pairs() {
    let (nodes, servers) = (names("n", 0..NODES), names("s", 0..SERVERS));
    let before = Subsets::assign(&nodes, &servers, SIZE);
    let replaced = names("n", 1..NODES + 1);
    let after = Subsets::assign(&replaced, &servers, SIZE);
    let node = churn((&nodes, &servers, &before), (&replaced, &servers, &after));
    let fewer = names("s", 1..SERVERS);
    let after = Subsets::assign(&nodes, &fewer, SIZE);
    let server = churn((&nodes, &servers, &before), (&nodes, &fewer, &after));
    println!("pairs moved: {node:.4} for a replaced node, {server:.4} for a lost server");
    // A node is 1 of 380 and a server 1 of 830. Up to ten times that fraction may move.
    assert!(node < 10.0 / NODES as f64, "{node}");
    assert!(server < 10.0 / SERVERS as f64, "{server}");
}

#[test]
fn the_order_of_the_lists_does_not_matter() {
    let (nodes, servers) = (names("n", 0..20), names("s", 0..90));
    let (mut reversed_nodes, mut reversed_servers) = (nodes.clone(), servers.clone());
    reversed_nodes.reverse();
    reversed_servers.reverse();
    let one = Subsets::assign(&nodes, &servers, 16);
    let other = Subsets::assign(&reversed_nodes, &reversed_servers, 16);
    for n in 0..nodes.len() {
        let mut a: Vec<_> = one
            .servers_of(n)
            .iter()
            .map(|&s| &servers[s as usize])
            .collect();
        let mut b: Vec<_> = other
            .servers_of(nodes.len() - 1 - n)
            .iter()
            .map(|&s| &reversed_servers[s as usize])
            .collect();
        a.sort();
        b.sort();
        assert_eq!(a, b, "{}", nodes[n]);
    }
}

#[test]
fn a_small_fleet_uses_every_server() {
    let subsets = Subsets::assign(&names("n", 0..6), &names("s", 0..36), SIZE);
    assert!((0..6).all(|n| subsets.servers_of(n).len() == 36));
    assert_eq!(subsets.sharers(0), 6);
    let none = Subsets::assign(&[], &names("s", 0..90), SIZE);
    assert_eq!(none.sharers(0), 0);
}
