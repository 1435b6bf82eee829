/*!
The nodes that share the backend servers.

Each node admits its part of an engine's memory and of a fleet-wide limit. The count of nodes must
therefore never be too low: two halves of a partition that each forgot the other would together admit
twice what an engine holds. A node that is no longer heard counts on for a while, and seeds that were
not heard yet count from the start.
*/

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use smol::Timer;

use crate::{front::FrontContext, kernel::NodeId, peer::Peers};

/// Time for which a node counts after it was last heard: longer than regions lose each other.
const REMEMBERED: Duration = Duration::from_secs(600);

/// Time between looks at the peers.
const LOOK: Duration = Duration::from_millis(200);

/// Keeps the front's count of nodes.
pub(super) async fn follow(parts: Arc<FrontContext>, peers: Arc<Peers>, seeds: Vec<SocketAddr>) {
    let mut sharers = Sharers::new(seeds);
    loop {
        let others = peers.others();
        let heard = others.iter().map(|m| (m.name.clone(), m.addr));
        let own = peers.local_member().name;
        let nodes = sharers.at(Instant::now(), heard, &own);
        parts.set_nodes(nodes, own);
        Timer::after(LOOK).await;
    }
}

/// Nodes that were heard, and seeds that were not yet.
#[derive(Debug)]
pub(super) struct Sharers {
    heard: BTreeMap<NodeId, Instant>,
    seeds: Vec<SocketAddr>,
}

impl Sharers {
    /// Nothing heard yet from any seed.
    pub(super) fn new(seeds: Vec<SocketAddr>) -> Sharers {
        Sharers {
            heard: BTreeMap::new(),
            seeds,
        }
    }

    /// Takes in who is heard at a time, and names every node that counts, the own one among them.
    pub(super) fn at<I>(&mut self, now: Instant, heard: I, own: &NodeId) -> Vec<NodeId>
    where
        I: Iterator<Item = (NodeId, SocketAddr)>,
    {
        for (name, addr) in heard {
            self.seeds.retain(|seed| *seed != addr);
            self.heard.insert(name, now);
        }
        self.heard
            .retain(|_, last| now.duration_since(*last) < REMEMBERED);
        let seeds = self.seeds.iter().map(|seed| seed.to_string().into());
        let mut nodes: Vec<NodeId> = self.heard.keys().cloned().chain(seeds).collect();
        nodes.push(own.clone());
        nodes.sort();
        nodes.dedup();
        nodes
    }
}
