//! Answers of the relay's own: refusals and failures, each with its reason in the log.

use std::time::Duration;

use bytes::Bytes;
use http::{
    header::{CONTENT_TYPE, RETRY_AFTER},
    HeaderValue, Response, StatusCode,
};

use super::body::{full_body, Reply};

/// Why the relay answers a request itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Refusal {
    /// The request can't be understood.
    BadRequest,
    /// The head is larger than allowed.
    HeadTooLarge,
    /// The body is larger than allowed.
    TooLarge,
    /// The body did not arrive in time.
    SlowBody,
    /// No route serves the path.
    NoRoute,
    /// The key is not known.
    UnknownKey,
    /// The node knows too little to serve, and nothing has run.
    NotReady {
        /// When it may know enough.
        after: Duration,
    },
    /// No backend server can take the request, and nothing has run.
    NoBackend {
        /// When one may.
        after: Duration,
    },
    /// All backend servers are busy beyond what serves the request in time, and nothing has run.
    NoCapacity {
        /// When there may be room.
        after: Duration,
    },
    /// The client account asks for more than its share of what can be served, and nothing has run.
    OverShare {
        /// When there may be room.
        after: Duration,
    },
    /// Backend servers ended under attempts at the same work, and this one has not run.
    Held {
        /// When it is tried again.
        after: Duration,
    },
    /// The request may have run, and its answer is lost.
    UnknownOutcome,
    /// No answer came in time.
    Timeout,
}

impl Refusal {
    /// The status that says so.
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
            Refusal::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The name in logs and metrics.
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
        }
    }

    /// When the caller may come back, where nothing has run.
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

    /// The answer.
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
