//! The limits that backend servers name on the requests which they take from all nodes: engines in
//! their load reports, services in their answers.

use std::sync::{
    atomic::{AtomicBool, Ordering},
    Mutex, MutexGuard,
};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    kernel::{
        quota::{LimitChange, LimitReading, NodeKey, Purpose, Quotas, Rate},
        suspect::ProcessKey,
        NodeId, Time,
    },
    runtime,
};

/// The key of a node that has not been told its name, and knows no other node.
const UNNAMED: NodeKey = 0;

/// The limits of all backend servers as this node knows them.
#[derive(Debug)]
pub struct RequestLimits {
    /// Whether any backend server has named a limit that may still hold.
    any: AtomicBool,
    quotas: Mutex<Quotas>,
}

impl RequestLimits {
    /// Creates the state of a node that has just started and knows no other node.
    pub(super) fn new() -> RequestLimits {
        let mut quotas = Quotas::new(UNNAMED, Time::ZERO);
        quotas.set_nodes(vec![UNNAMED], Time::ZERO);
        RequestLimits {
            any: AtomicBool::new(false),
            quotas: Mutex::new(quotas),
        }
    }

    /// Locks the permits and quotas.
    pub fn quotas(&self) -> MutexGuard<'_, Quotas> {
        runtime::lock(&self.quotas)
    }

    /// Reports whether any backend server has named a limit that may still hold.
    pub fn is_any(&self) -> bool {
        self.any.load(Ordering::Relaxed)
    }

    /// Replaces the list of nodes, of which `own` is this one.
    pub fn set_nodes(&self, nodes: &[NodeId], own: &NodeId, now: Time) {
        let keys = nodes.iter().map(|node| node_key(node)).collect();
        let mut quotas = self.quotas();
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
        let limit = match limit {
            Some(limit) if !is_valid_limit(limit) => self.limit(backend, received),
            limit => limit,
        };
        let reading = LimitReading {
            limit,
            sent,
            received,
        };
        self.record_reading(process_key(backend), reading, received)
    }

    /// Returns the limit of a backend server.
    pub fn limit(&self, backend: &str, now: Time) -> Option<Rate> {
        if !self.is_any() {
            return None;
        }
        self.quotas().limit(process_key(backend), now)
    }

    /// Records a reading of another node.
    pub fn record_reading(
        &self,
        process: ProcessKey,
        reading: LimitReading,
        now: Time,
    ) -> Option<LimitChange> {
        if reading.limit.is_none() && !self.is_any() {
            return None;
        }
        let mut quotas = self.quotas();
        let change = quotas.record(process, reading, now);
        self.any.store(quotas.has_limits(now), Ordering::Relaxed);
        change
    }

    /// Reports whether a request may be sent to a backend server now; counts it as wanted if not.
    pub(super) fn may_send(&self, backend: &str, now: Time) -> bool {
        if !self.is_any() {
            return true;
        }
        let process = process_key(backend);
        let mut quotas = self.quotas();
        let may_send = quotas.may_send(process, Purpose::New, now);
        if !may_send {
            quotas.note_want(process, Purpose::New, now);
        }
        may_send
    }

    /// Takes a permit for a request to a backend server; returns `false` if there is none.
    pub(super) fn take(&self, backend: &str, now: Time) -> bool {
        !self.is_any() || self.quotas().take(process_key(backend), Purpose::New, now)
    }
}

/// Reports whether a limit can hold.
pub fn is_valid_limit(limit: Rate) -> bool {
    limit.is_finite() && limit >= 0.0
}

/// Returns the key of a backend server's process.
fn process_key(backend: &str) -> ProcessKey {
    xxh3_64(backend.as_bytes())
}

/// Returns the key of a node by its name.
pub fn node_key(name: &str) -> NodeKey {
    xxh3_64(name.as_bytes())
}
