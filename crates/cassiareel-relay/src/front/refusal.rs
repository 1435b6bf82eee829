//! Responses that the relay itself generates: rejections and failures, each with its reason in the
//! log.

use std::time::Duration;

use bytes::Bytes;
use http::{
    header::{CONTENT_TYPE, RETRY_AFTER},
    HeaderValue, Response, StatusCode,
};

use super::body::{full_body, Reply};

/// How long a caller that a stopping node refuses should wait before it retries at another node.
pub(super) const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Why the relay itself answers a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Refusal {
    /// The request is malformed.
    BadRequest,
    /// The head is larger than allowed.
    HeadTooLarge,
    /// The body is larger than allowed.
    TooLarge,
    /// The body did not arrive in time.
    SlowBody,
    /// No route serves the path.
    NoRoute,
    /// The key is unknown.
    UnknownKey,
    /// The node does not have the configuration or the fresh keys that it needs, and nothing has
    /// run.
    NotReady {
        /// How long the caller should wait before it retries.
        after: Duration,
    },
    /// No backend server can take the request, and nothing has run.
    NoBackend {
        /// How long the caller should wait before it retries.
        after: Duration,
    },
    /// All backend servers are too busy to serve the request in time, and nothing has run.
    NoCapacity {
        /// How long the caller should wait before it retries.
        after: Duration,
    },
    /// The client account requests more than its share of the capacity, and nothing has run.
    OverShare {
        /// How long the caller should wait before it retries.
        after: Duration,
    },
    /// The request is quarantined because backend servers crashed while they ran attempts at the
    /// same work; this attempt has not run.
    Held {
        /// How long the quarantine still lasts.
        after: Duration,
    },
    /// The request may have run, and its response is lost.
    UnknownOutcome,
    /// No response arrived in time.
    Timeout,
    /// The node exits before the response has arrived; the request may have run.
    Stopped,
}

impl Refusal {
    /// Returns the HTTP status.
    pub(super) fn status(self) -> StatusCode {
        match self {
            Refusal::BadRequest => StatusCode::BAD_REQUEST,
            Refusal::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Refusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Refusal::NoRoute => StatusCode::NOT_FOUND,
            Refusal::UnknownKey => StatusCode::UNAUTHORIZED,
            Refusal::NotReady { .. }
            | Refusal::NoBackend { .. }
            | Refusal::NoCapacity { .. }
            | Refusal::Held { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::OverShare { .. } => StatusCode::TOO_MANY_REQUESTS,
            Refusal::UnknownOutcome => StatusCode::BAD_GATEWAY,
            Refusal::Timeout | Refusal::Stopped => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the name in logs, metrics and the response body.
    pub(super) fn name(self) -> &'static str {
        match self {
            Refusal::BadRequest => "bad_request",
            Refusal::HeadTooLarge => "head_too_large",
            Refusal::TooLarge => "too_large",
            Refusal::SlowBody => "slow_body",
            Refusal::NoRoute => "no_route",
            Refusal::UnknownKey => "unknown_key",
            Refusal::NotReady { .. } => "not_informed",
            Refusal::NoBackend { .. } => "no_place",
            Refusal::NoCapacity { .. } => "no_room",
            Refusal::OverShare { .. } => "over_share",
            Refusal::Held { .. } => "held",
            Refusal::UnknownOutcome => "unknown_outcome",
            Refusal::Timeout => "timeout",
            Refusal::Stopped => "stopped",
        }
    }

    /// Returns how long the caller should wait before it retries, if nothing has run.
    fn after(self) -> Option<Duration> {
        match self {
            Refusal::NotReady { after }
            | Refusal::NoBackend { after }
            | Refusal::NoCapacity { after }
            | Refusal::OverShare { after }
            | Refusal::Held { after } => Some(after),
            _ => None,
        }
    }

    /// Returns the response.
    pub(super) fn reply(self) -> Reply {
        let text = format!("{{\"error\":\"{}\"}}\n", self.name());
        let mut reply = Response::new(full_body(Bytes::from(text)));
        *reply.status_mut() = self.status();
        let headers = reply.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(after) = self.after() {
            let seconds = format!("{:.3}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        reply
    }
}
