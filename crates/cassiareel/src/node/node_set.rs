/*!
The set of nodes that share the backend servers.

Each node admits its share of an engine's memory and of a fleet-wide limit. The number of nodes must
therefore never be too low: if each half of a partitioned fleet forgot the other half, both together
would admit twice what an engine can hold. So a node still counts for some time after its last message,
and seeds count from the start, before their first message.
*/

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use smol::Timer;

use crate::{front::FrontContext, kernel::NodeId, peer::Peers};

/// Time for which a node counts after it was last seen live: longer than connections between regions
/// are interrupted.
const NODE_EXPIRY: Duration = Duration::from_secs(600);

/// Time between updates of the node set.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// Keeps the front's set of nodes up to date until dropped.
pub(super) async fn maintain(parts: Arc<FrontContext>, peers: Arc<Peers>, seeds: Vec<SocketAddr>) {
    let mut node_set = NodeSet::new(seeds);
    loop {
        let others = peers.others();
        let live = others.iter().map(|m| (m.name.clone(), m.addr));
        let own = peers.local_member().name;
        let nodes = node_set.update(Instant::now(), live, &own);
        parts.set_nodes(nodes, own);
        Timer::after(UPDATE_INTERVAL).await;
    }
}

/// The nodes that were seen live, and the seeds that were not seen yet.
#[derive(Debug)]
pub(super) struct NodeSet {
    last_seen: BTreeMap<NodeId, Instant>,
    seeds: Vec<SocketAddr>,
}

impl NodeSet {
    /// Creates a set that has seen no node yet.
    pub(super) fn new(seeds: Vec<SocketAddr>) -> NodeSet {
        NodeSet {
            last_seen: BTreeMap::new(),
            seeds,
        }
    }

    /// Records the nodes that are live at `now`; returns every node that counts, including this one.
    pub(super) fn update<I>(&mut self, now: Instant, live: I, own: &NodeId) -> Vec<NodeId>
    where
        I: Iterator<Item = (NodeId, SocketAddr)>,
    {
        for (name, addr) in live {
            self.seeds.retain(|seed| *seed != addr);
            self.last_seen.insert(name, now);
        }
        self.last_seen
            .retain(|_, last| now.duration_since(*last) < NODE_EXPIRY);
        let seeds = self.seeds.iter().map(|seed| seed.to_string().into());
        let mut nodes: Vec<NodeId> = self.last_seen.keys().cloned().chain(seeds).collect();
        nodes.push(own.clone());
        nodes.sort();
        nodes.dedup();
        nodes
    }
}
