//! Which nodes answer, so that an owner that is gone is replaced.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use super::{super::Time, NodeKey, REPLACE_DELAY};

/// The shortest interval between probes of a node.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// The nodes that did not answer lately.
#[derive(Clone, Debug, Default)]
pub(super) struct Reachability {
    /// When each of them was first found silent.
    silent: HashMap<NodeKey, Time>,
    /// The nodes that have to be probed.
    due: HashSet<NodeKey>,
    /// When nodes were probed last.
    probed_at: HashMap<NodeKey, Time>,
}

impl Reachability {
    /// Returns the nodes that have not been silent for long.
    pub(super) fn live(&self, nodes: &[NodeKey], now: Time) -> Vec<NodeKey> {
        let nodes = nodes.iter().copied();
        nodes.filter(|node| !self.is_gone(*node, now)).collect()
    }

    /// Reports whether a node has been silent for so long that it is replaced.
    pub(super) fn is_gone(&self, node: NodeKey, now: Time) -> bool {
        let since = self.silent.get(&node);
        since.is_some_and(|since| *since + REPLACE_DELAY <= now)
    }

    /// Records that a node answered; reports whether it had been silent.
    pub(super) fn record_answer(&mut self, node: NodeKey) -> bool {
        self.due.remove(&node);
        self.silent.remove(&node).is_some()
    }

    /// Records that a node did not answer; reports whether that is new.
    pub(super) fn record_silence(&mut self, node: NodeKey, now: Time) -> bool {
        let is_new = !self.silent.contains_key(&node);
        self.silent.entry(node).or_insert(now);
        is_new
    }

    /// Has a node probed, unless it was probed just before.
    pub(super) fn request_probe(&mut self, node: NodeKey, now: Time) {
        let last = self.probed_at.get(&node);
        if last.is_none_or(|last| *last + PROBE_INTERVAL <= now) {
            self.probed_at.insert(node, now);
            self.due.insert(node);
        }
    }

    /// Has all nodes probed that were silent for so long that they are replaced.
    pub(super) fn probe_gone(&mut self, now: Time) {
        let silent = self.silent.keys().copied();
        let gone: Vec<NodeKey> = silent.filter(|node| self.is_gone(*node, now)).collect();
        for node in gone {
            self.request_probe(node, now);
        }
    }

    /// Returns the nodes that have to be probed now.
    pub(super) fn take_probes(&mut self) -> HashSet<NodeKey> {
        std::mem::take(&mut self.due)
    }

    /// Forgets everything.
    pub(super) fn clear(&mut self) {
        *self = Reachability::default();
    }
}
