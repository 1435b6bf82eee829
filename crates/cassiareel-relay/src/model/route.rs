//! A route from a host and a path to services.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::ServiceId;

/// A rule that sends the requests for a host and a path to services.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Route {
    /// The name, for logs.
    pub name: String,
    /// The host that it serves.
    pub host: String,
    /// The start of the paths that it serves; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a request may be kept waiting.
    pub timeout: Duration,
    /// The time within which an answer is of full use.
    pub objective: Duration,
    /// The rank, 0 first.
    pub priority: u8,
    /// The services and their weights.
    pub targets: Vec<Target>,
    /// The most backend servers that may run one attempt of a caller.
    pub attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
}

/// A service and the share of a route's requests that it gets.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Its weight among the targets of the route.
    pub weight: u32,
}

/// What of a request may be repeated.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RouteKind {
    /// It may run more than once.
    Idempotent,
    /// It runs at most once.
    NonIdempotent,
    /// An event stream that can go on at another backend server after its last event.
    ResumableStream,
    /// An event stream that runs at most once.
    Stream,
}

impl RouteKind {
    /// Reports whether the answer is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::ResumableStream | RouteKind::Stream)
    }

    /// Reports whether another backend server may run the request after one may have run it.
    pub fn may_repeat(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::ResumableStream)
    }
}
