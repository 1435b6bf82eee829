//! The count of nodes that share an engine is never too low.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::shares::Sharers;
use crate::kernel::NodeId;

fn node(i: u16) -> (NodeId, SocketAddr) {
    (format!("n{i}").into(), ([10, 0, 0, 1], i).into())
}

#[test]
fn seeds_count_before_they_are_heard() {
    let own: NodeId = "n0".into();
    let mut sharers = Sharers::new(vec![node(1).1, node(2).1]);
    let now = Instant::now();
    assert_eq!(sharers.at(now, [].into_iter(), &own).len(), 3);
    assert_eq!(sharers.at(now, [node(1)].into_iter(), &own).len(), 3);
    let all = sharers.at(now, [node(1), node(2), node(3)].into_iter(), &own);
    let names: Vec<&str> = all.iter().map(|name| &**name).collect();
    assert_eq!(names, ["n0", "n1", "n2", "n3"]);
}

#[test]
fn the_other_half_of_a_partition_counts_on() {
    let own: NodeId = "n0".into();
    let mut sharers = Sharers::new(Vec::new());
    let start = Instant::now();
    sharers.at(start, (1..6).map(node), &own);
    let minutes = |m: u64| start + Duration::from_secs(60 * m);
    let half = || (1..3).map(node);
    assert_eq!(sharers.at(minutes(9), half(), &own).len(), 6);
    assert_eq!(sharers.at(minutes(11), half(), &own).len(), 3);
}
