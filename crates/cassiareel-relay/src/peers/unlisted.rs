//! Nodes that sent a message before they are in the list of the fleet's nodes.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
};

use cassiareel::{
    kernel::quota::{node_key, NodeKey},
    runtime,
};

use super::members::Members;

/// The addresses of nodes that are not in the list of the fleet's nodes yet.
#[derive(Debug, Default)]
pub(crate) struct UnlistedNodes {
    addresses: Mutex<HashMap<NodeKey, SocketAddr>>,
}

impl UnlistedNodes {
    /// Adds a node that is missing in the list.
    pub(super) fn add(&self, node: NodeKey, address: SocketAddr) {
        self.lock().insert(node, address);
    }

    /// Returns the address of an unlisted node.
    pub(super) fn address(&self, node: NodeKey) -> Option<SocketAddr> {
        self.lock().get(&node).copied()
    }

    /// Drops the nodes that are in `members`; returns all nodes, listed or not.
    pub(crate) fn merge(&self, members: &Members) -> Vec<NodeKey> {
        let records = members.records.iter();
        let mut nodes: Vec<NodeKey> = records.map(|node| node_key(&node.name)).collect();
        let mut addresses = self.lock();
        addresses.retain(|node, _| !nodes.contains(node));
        nodes.extend(addresses.keys());
        nodes
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<NodeKey, SocketAddr>> {
        runtime::lock(&self.addresses)
    }
}
