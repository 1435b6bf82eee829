/*!
The limits that backend servers name for the whole fleet, shared by the requests of a node.

The decisions are in [`crate::kernel::quota`]. Most of the time no backend server names a limit, so
requests look at a flag first.
*/

use std::sync::{
    atomic::{AtomicBool, Ordering},
    Mutex, MutexGuard,
};

use event_listener::Event;

use crate::{
    kernel::{
        quota::{LimitChange, LimitReading, NodeKey, PermitCall, Purpose, Quotas, Rate},
        suspect::ProcessKey,
        Time,
    },
    runtime,
};

/// The limits of all backend servers as one node knows them.
#[derive(Debug)]
pub struct FleetLimits {
    /// Whether any backend server has named a limit that may still hold.
    any: AtomicBool,
    quotas: Mutex<Quotas>,
    /// Notified when a request finds no permit, and when a limit changes.
    pub wanted: Event,
}

impl FleetLimits {
    /// Creates the state of the node `own`, which has just started and knows no other node.
    pub fn new(own: NodeKey, now: Time) -> FleetLimits {
        FleetLimits {
            any: AtomicBool::new(false),
            quotas: Mutex::new(Quotas::new(own, now)),
            wanted: Event::new(),
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

    /// Records what an answer says of the limit of a process; returns the change where another
    /// limit holds.
    pub fn record(
        &self,
        process: ProcessKey,
        reading: LimitReading,
        now: Time,
    ) -> Option<LimitChange> {
        if reading.limit.is_none() && !self.is_any() {
            return None;
        }
        let mut quotas = self.quotas();
        let change = quotas.record(process, reading, now)?;
        self.any.store(quotas.has_limits(now), Ordering::Relaxed);
        drop(quotas);
        self.wanted.notify(usize::MAX);
        Some(change)
    }

    /// Returns a digest of the processes that have a limit; 0 if none has.
    pub fn digest(&self, now: Time) -> u64 {
        if !self.is_any() {
            return 0;
        }
        self.quotas().digest(now)
    }

    /// Returns the limit of a process.
    pub fn limit(&self, process: ProcessKey, now: Time) -> Option<Rate> {
        if !self.is_any() {
            return None;
        }
        self.quotas().limit(process, now)
    }

    /// Reports whether a request may be sent to a process now.
    pub fn may_send(&self, process: ProcessKey, purpose: Purpose, now: Time) -> bool {
        !self.is_any() || self.quotas().may_send(process, purpose, now)
    }

    /// Takes a permit for a request to a process; returns `false` if there is none for it.
    pub fn take(&self, process: ProcessKey, purpose: Purpose, now: Time) -> bool {
        let taken = !self.is_any() || self.quotas().take(process, purpose, now);
        if !taken {
            self.wanted.notify(usize::MAX);
        }
        taken
    }

    /// Returns the calls to owners of quotas that are to be made now.
    pub fn due_calls(&self, now: Time) -> Vec<PermitCall> {
        let mut quotas = self.quotas();
        self.any.store(quotas.has_limits(now), Ordering::Relaxed);
        quotas.calls(now)
    }
}
