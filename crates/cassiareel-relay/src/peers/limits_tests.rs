//! The tree over the fleet's nodes along which a change of a limit is passed on.

use std::{collections::HashSet, net::SocketAddr};

use super::limits::{children, TREE_WIDTH};

/// Returns the number of messages and the nodes that receive one, for a change at `origin`.
fn spread(count: u64, origin: u64) -> (usize, HashSet<u64>) {
    let address = SocketAddr::from(([127, 0, 0, 1], 7000));
    let nodes: Vec<(u64, SocketAddr)> = (100..100 + count).map(|key| (key, address)).collect();
    let mut messages = 0;
    let mut reached = HashSet::from([origin]);
    let mut next = vec![origin];
    while let Some(node) = next.pop() {
        let below: Vec<u64> = children(&nodes, origin, node)
            .map(|(key, _)| *key)
            .collect();
        assert!(below.len() <= TREE_WIDTH);
        messages += below.len();
        next.extend(below.into_iter().filter(|key| reached.insert(*key)));
    }
    (messages, reached)
}

#[test]
fn a_change_reaches_each_node_once() {
    for count in [1, 2, 6, 9, 10, 295] {
        for origin in [100, 100 + count / 2, 100 + count - 1] {
            let (messages, reached) = spread(count, origin);
            assert_eq!(reached.len() as u64, count, "{count} {origin}");
            assert_eq!(messages as u64, count - 1, "{count} {origin}");
        }
    }
}

/// The node that learnt of the change has just started, and is not in the list yet.
#[test]
fn a_change_at_an_unlisted_node_reaches_all_nodes() {
    let (_, reached) = spread(20, 99);
    assert_eq!(reached.len(), 21);
}
