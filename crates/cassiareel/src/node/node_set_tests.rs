//! Tests that the number of nodes that share an engine is never too low.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::node_set::NodeSet;
use crate::kernel::NodeId;

fn node(i: u16) -> (NodeId, SocketAddr) {
    (format!("n{i}").into(), ([10, 0, 0, 1], i).into())
}

#[test]
fn seeds_count_before_they_are_seen_live() {
    let own: NodeId = "n0".into();
    let mut node_set = NodeSet::new(vec![node(1).1, node(2).1]);
    let now = Instant::now();
    assert_eq!(node_set.update(now, [].into_iter(), &own).len(), 3);
    assert_eq!(node_set.update(now, [node(1)].into_iter(), &own).len(), 3);
    let all = node_set.update(now, [node(1), node(2), node(3)].into_iter(), &own);
    let names: Vec<&str> = all.iter().map(|name| &**name).collect();
    assert_eq!(names, ["n0", "n1", "n2", "n3"]);
}

#[test]
fn other_half_of_a_partition_still_counts() {
    let own: NodeId = "n0".into();
    let mut node_set = NodeSet::new(Vec::new());
    let start = Instant::now();
    node_set.update(start, (1..6).map(node), &own);
    let minutes = |m: u64| start + Duration::from_secs(60 * m);
    let half = || (1..3).map(node);
    assert_eq!(node_set.update(minutes(9), half(), &own).len(), 6);
    assert_eq!(node_set.update(minutes(11), half(), &own).len(), 3);
}
