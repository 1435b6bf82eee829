//! A caller's request after admission.

use std::{
    sync::{
        atomic::{AtomicBool, AtomicU32, Ordering},
        Arc,
    },
    time::Duration,
};

use bytes::Bytes;
use cassiareel::kernel::{suspect::PartKey, ticket::ShortDigest};
use http::{HeaderMap, Method, Uri};

use super::refusal::{Refusal, STOPPING_RETRY_AFTER};
use crate::{
    admission::Admitted,
    clock::{self, Moment},
    kernel::Shortage,
    metrics::Metrics,
    model::{AccountId, RequestHead, Route, ServiceId},
    state::State,
};

/// Time reserved before a deadline for the response's way back to the caller.
const RETURN_MARGIN: Duration = Duration::from_millis(8);

/// A request of a caller that was read, checked and routed.
#[derive(Debug)]
pub(super) struct Request {
    /// The facts that the caller sent.
    pub ask: RequestHead,
    /// The HTTP method.
    pub method: Method,
    /// Path and query, as sent.
    pub target: Uri,
    /// The headers that are forwarded to backend servers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The digest of the work, which does not depend on the request id.
    pub content: ShortDigest,
    /// The parts of the prompt that other requests may share.
    pub parts: Arc<[PartKey]>,
    pub route: Arc<Route>,
    /// The service chosen among the targets of the route.
    pub service: ServiceId,
    pub tenant: Option<AccountId>,
    /// The priority, 0 being the highest: that of the client account, else that of the route.
    pub priority: u8,
    /// The client account's claim, and the reserve that the request has to leave to others.
    pub admitted: Admitted,
    /// When the request arrived.
    pub arrived: Moment,
    /// When the caller's deadline or the route's timeout passes.
    pub end: Moment,
    /// The sends that may have led to a run.
    pub sends: SendCount,
    /// Whether the request was counted as usage.
    pub is_counted: AtomicBool,
}

/// The number of sends of a request that may have led to a run.
#[derive(Debug, Default)]
pub(super) struct SendCount(AtomicU32);

impl SendCount {
    /// Counts a send that begins.
    pub(super) fn begin(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Uncounts a send that has certainly not led to a run.
    pub(super) fn undo(&self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }

    /// Reports whether a send may have led to a run.
    pub(super) fn is_any(&self) -> bool {
        self.0.load(Ordering::Relaxed) > 0
    }
}

impl Request {
    /// Returns the time left until the deadline, less the time for the response's way back.
    pub(super) fn left(&self) -> Duration {
        self.end
            .saturating_sub(clock::now())
            .saturating_sub(RETURN_MARGIN)
    }

    /// Returns the answer to a request that the node does not finish before it exits.
    pub(super) fn stop_refusal(&self) -> Refusal {
        if self.sends.is_any() {
            return Refusal::Stopped;
        }
        Refusal::NoBackend {
            after: STOPPING_RETRY_AFTER,
        }
    }

    /// Reports whether a run can still end before the node exits, where it stops.
    pub(super) fn has_time_to_run(&self, state: &State) -> bool {
        state.has_time_to_run(&self.route, &self.service, &self.ask.prompt, 0)
    }

    /// Records how long a run of the request took, or that it did not end in its time.
    pub(super) fn record_run(&self, state: &State, took: Option<Duration>) {
        let mut times = state.run_times();
        times.record(&self.route.name, &self.service, took);
    }

    /// Counts the request as its client account's usage when its first run began at `at`. Requests to
    /// public routes have no account.
    pub(super) fn count_usage(&self, state: &State, at: Moment) {
        let (Some(meter), Some(account)) = (&state.usage, &self.tenant) else {
            return;
        };
        if !account.is_empty() && !self.is_counted.swap(true, Ordering::Relaxed) {
            meter.count(account, at);
        }
    }

    /// Records that the request was rejected for want of `lack`. Returns how long the caller should
    /// wait before it retries.
    pub(super) fn record_rejection(&self, state: &State, lack: Shortage) -> Duration {
        state
            .admission
            .note_unserved(&self.service, &self.admitted.claim);
        Metrics::count(&state.metrics.no_room, lack.name());
        state
            .admission
            .retry_after(&self.service, self.route.objective)
    }

    /// Returns the time since the request arrived.
    pub(super) fn age(&self) -> Duration {
        clock::now().saturating_sub(self.arrived)
    }
}
