//! Which nodes read the store for the others.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{clock::Moment, source::NodeRecord};

/// Nodes that read the store in a large fleet.
const READERS: usize = 4;

/// The largest fleet whose nodes all read the store.
const ALL_READ: usize = 6;

/// How long a node that did not answer is left out.
const LEFT_OUT: Duration = Duration::from_secs(6);

/// The nodes of the fleet as one node sees them.
#[derive(Debug)]
pub(crate) struct Roster {
    own: String,
    nodes: Vec<NodeRecord>,
    silent: HashMap<String, Moment>,
}

impl Roster {
    /// Only the node itself is known.
    pub(crate) fn new(own: &str) -> Roster {
        Roster {
            own: own.to_owned(),
            nodes: Vec::new(),
            silent: HashMap::new(),
        }
    }

    /// Replaces what is known.
    pub(crate) fn replace(&mut self, mut nodes: Vec<NodeRecord>) {
        nodes.sort_by_key(|node| xxh3_64(node.name.as_bytes()));
        self.nodes = nodes;
    }

    /// Notes that a node did not answer.
    pub(crate) fn note_silent(&mut self, name: &str, now: Moment) {
        self.silent.insert(name.to_owned(), now);
    }

    /// Reports whether there are more nodes than read the store.
    pub(crate) fn is_large(&self) -> bool {
        self.nodes.len() > ALL_READ
    }

    /// Reports whether this node reads the store: the more so where nobody else is known.
    pub(crate) fn reads(&self, now: Moment) -> bool {
        let mut readers = self.readers(now).into_iter();
        !self.is_large() || readers.any(|node| node.name == self.own)
    }

    /// The reader to ask: each node prefers them in an order of its own.
    pub(crate) fn peer(&self, now: Moment) -> Option<(String, SocketAddr)> {
        let own = xxh3_64(self.own.as_bytes());
        self.readers(now)
            .into_iter()
            .filter(|node| node.name != self.own)
            .min_by_key(|node| xxh3_64_with_seed(node.name.as_bytes(), own))
            .map(|node| (node.name.clone(), node.address))
    }

    /// The readers: data centres take turns, so that the loss of one leaves some.
    fn readers(&self, now: Moment) -> Vec<&NodeRecord> {
        let mut rest: Vec<&NodeRecord> = self
            .nodes
            .iter()
            .filter(|node| node.name == self.own || !self.is_silent(&node.name, now))
            .collect();
        let mut readers: Vec<&NodeRecord> = Vec::new();
        while readers.len() < READERS && !rest.is_empty() {
            let count = |node: &NodeRecord| {
                let same = |other: &&&NodeRecord| other.data_centre == node.data_centre;
                readers.iter().filter(same).count()
            };
            let next = (0..rest.len()).min_by_key(|i| (count(rest[*i]), *i));
            let Some(next) = next else {
                break;
            };
            readers.push(rest.remove(next));
        }
        readers
    }

    fn is_silent(&self, name: &str, now: Moment) -> bool {
        let since = self.silent.get(name);
        since.is_some_and(|since| now.saturating_sub(*since) < LEFT_OUT)
    }
}
