//! Answers of the relay's own: refusals and failures, each with its reason in the log.

use std::time::Duration;

use bytes::Bytes;
use http::{
    header::{CONTENT_TYPE, RETRY_AFTER},
    HeaderValue, Response, StatusCode,
};

use super::body::{whole, Reply};

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
    NotInformed {
        /// When it may know enough.
        after: Duration,
    },
    /// No backend server can take the request, and nothing has run.
    NoPlace {
        /// When one may.
        after: Duration,
    },
    /// The request may have run, and its answer is lost.
    Unknown,
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
            Refusal::NotInformed { .. } | Refusal::NoPlace { .. } => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Refusal::Unknown => StatusCode::BAD_GATEWAY,
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
            Refusal::NotInformed { .. } => "not_informed",
            Refusal::NoPlace { .. } => "no_place",
            Refusal::Unknown => "unknown_outcome",
            Refusal::Timeout => "timeout",
        }
    }

    /// The answer.
    pub(super) fn reply(self) -> Reply {
        let text = format!("{{\"error\":\"{}\"}}\n", self.name());
        let mut reply = Response::new(whole(Bytes::from(text)));
        *reply.status_mut() = self.status();
        let headers = reply.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Refusal::NotInformed { after } | Refusal::NoPlace { after } = self {
            let seconds = format!("{:.3}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        reply
    }
}
