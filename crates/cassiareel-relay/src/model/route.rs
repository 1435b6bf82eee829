//! Routes from a host and a path to services.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::ServiceId;

/// A rule that maps requests for a host and a path prefix to services.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Route {
    /// The name, used in logs.
    pub name: String,
    /// The host that it matches.
    pub host: String,
    /// The path prefix that it matches; begins and ends with a slash.
    pub prefix: String,
    /// The kind of its requests, which decides whether they may be repeated.
    pub kind: RouteKind,
    /// The longest time that a request may wait for its answer.
    pub timeout: Duration,
    /// The target time for an answer; a later answer is worth less to the caller.
    pub objective: Duration,
    /// The priority, 0 being the highest.
    pub priority: u8,
    /// The services and the weights by which requests are divided among them.
    pub targets: Vec<Target>,
    /// The largest number of backend servers that may run one attempt of a caller.
    pub attempts: u32,
    /// Whether requests are accepted without a key.
    pub public: bool,
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Its weight among the targets of the route.
    pub weight: u32,
}

/// The kind of a request, which decides whether it may be sent again.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RouteKind {
    /// A plain request that may run more than once.
    Idempotent,
    /// A plain request that must run at most once.
    NonIdempotent,
    /// An event stream that another backend server can continue after its last event.
    ResumableStream,
    /// An event stream that must run at most once.
    Stream,
}

impl RouteKind {
    /// Reports whether the answer is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::ResumableStream | RouteKind::Stream)
    }

    /// Reports whether the request may be sent to another backend server after one may have run it.
    pub fn may_repeat(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::ResumableStream)
    }
}
