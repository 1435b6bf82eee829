//! A caller's request that was read, checked and routed.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cassiareel::kernel::ticket::ShortDigest;
use http::{HeaderMap, Method, Uri};

use super::body_memory::BodyMemory;
use crate::{
    admission::Admitted,
    clock::{self, Moment},
    kernel::Shortage,
    metrics::Metrics,
    model::{AccountId, RequestHead, Route, ServiceId},
    state::State,
};

/// Time kept back from a deadline for the answer's way to the caller.
const RETURN_MARGIN: Duration = Duration::from_millis(8);

/// A caller's request with all that is known of it.
#[derive(Debug)]
pub(super) struct Request {
    /// The facts that the caller sent.
    pub ask: RequestHead,
    /// The method.
    pub method: Method,
    /// Path and query, as sent.
    pub target: Uri,
    /// The headers that go to backend servers.
    pub headers: HeaderMap,
    /// The body, whole.
    pub body: Bytes,
    /// The memory that the body takes.
    pub _body_memory: BodyMemory,
    /// What it asks for, whatever its id.
    pub content: ShortDigest,
    /// The route.
    pub route: Arc<Route>,
    /// The service that the route chose.
    pub service: ServiceId,
    /// The client account.
    pub tenant: Option<AccountId>,
    /// The rank among requests, 0 first: the client account's, else the route's.
    pub priority: u8,
    /// On what terms it was let in.
    pub admitted: Admitted,
    /// When the request arrived.
    pub arrived: Moment,
    /// When the caller or the route gives up.
    pub end: Moment,
}

impl Request {
    /// What is left of the time, less the answer's way back.
    pub(super) fn left(&self) -> Duration {
        self.end
            .saturating_sub(clock::now())
            .saturating_sub(RETURN_MARGIN)
    }

    /// Notes that the request finds no room, for want of what `lack` says; tells when its caller may come back.
    pub(super) fn record_rejection(&self, state: &State, lack: Shortage) -> Duration {
        state
            .admission
            .note_unserved(&self.service, &self.admitted.claim);
        Metrics::count(&state.metrics.no_room, lack.name());
        state
            .admission
            .retry_after(&self.service, self.route.objective)
    }

    /// The time since the request arrived.
    pub(super) fn age(&self) -> Duration {
        clock::now().saturating_sub(self.arrived)
    }
}
