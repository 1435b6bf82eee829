//! The limits that backend servers name on the requests which they take from all nodes: engines in
//! their load reports, services in their answers.

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    fleet_limits::FleetLimits,
    kernel::{
        quota::{is_valid_limit, node_key, LimitChange, LimitReading, NodeKey, Purpose, Rate},
        suspect::ProcessKey,
        NodeId, Time,
    },
};

/// The key of a node whose name is not set yet, and which knows no other node.
const UNNAMED: NodeKey = 0;

/// The limits of the backend servers in a table.
#[derive(Debug)]
pub struct RequestLimits {
    /// The limits by process.
    pub fleet: FleetLimits,
}

impl RequestLimits {
    /// Creates the state of a node that has just started and knows no other node.
    pub(super) fn new() -> RequestLimits {
        let fleet = FleetLimits::new(UNNAMED, Time::ZERO);
        fleet.quotas().set_nodes(vec![UNNAMED], Time::ZERO);
        RequestLimits { fleet }
    }

    /// Replaces the list of nodes, of which `own` is this one.
    pub fn set_nodes(&self, nodes: &[NodeId], own: &NodeId, now: Time) {
        let keys = nodes.iter().map(|node| node_key(node)).collect();
        let mut quotas = self.fleet.quotas();
        quotas.set_own(node_key(own));
        quotas.set_nodes(keys, now);
    }

    /// Records the limit that a backend server named at some time between `sent` and `received`;
    /// returns the change where another limit holds. The known limit holds where this one is negative
    /// or no number.
    pub fn record(
        &self,
        backend: &str,
        limit: Option<Rate>,
        sent: Time,
        received: Time,
    ) -> Option<LimitChange> {
        let process = process_key(backend);
        let limit = match limit {
            Some(limit) if !is_valid_limit(limit) => self.fleet.limit(process, received),
            limit => limit,
        };
        let reading = LimitReading {
            limit,
            sent,
            received,
        };
        self.fleet.record(process, reading, received)
    }

    /// Reports whether a request may be sent to a backend server now; counts it as wanted if not.
    pub(super) fn may_send(&self, backend: &str, purpose: Purpose, now: Time) -> bool {
        if !self.fleet.is_any() {
            return true;
        }
        let process = process_key(backend);
        let mut quotas = self.fleet.quotas();
        let may_send = quotas.may_send(process, purpose, now);
        if !may_send {
            quotas.note_want(process, purpose, now);
            drop(quotas);
            self.fleet.wanted.notify(usize::MAX);
        }
        may_send
    }

    /// Takes a permit for a request to a backend server; returns `false` if there is none.
    pub(super) fn take(&self, backend: &str, purpose: Purpose, now: Time) -> bool {
        self.fleet.take(process_key(backend), purpose, now)
    }
}

/// Returns the key of a backend server's process.
fn process_key(backend: &str) -> ProcessKey {
    xxh3_64(backend.as_bytes())
}
