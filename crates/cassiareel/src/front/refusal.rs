//! Refusals in the error format of the OpenAI HTTP API.

use std::time::Duration;

use http_types::{headers, Response, StatusCode};
use serde_json::json;

/// Whether the work of a refused request ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The work did not run.
    NotRun,
    /// The work ran.
    Ran,
    /// The work may have run.
    Unknown,
}

impl Outcome {
    /// Returns the name in answers and logs.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::NotRun => "not_run",
            Outcome::Ran => "ran",
            Outcome::Unknown => "unknown",
        }
    }
}

/// A refusal of a request, which becomes an error response or an error event.
///
/// # Examples
///
/// ```
/// use cassiareel::front::Refusal;
/// use http_types::StatusCode;
///
/// let refusal = Refusal::invalid("n", "\"n\" is 3, only 1 is served");
/// assert_eq!(refusal.response().status(), StatusCode::BadRequest);
/// ```
#[derive(Clone, Debug)]
pub struct Refusal {
    status: StatusCode,
    kind: &'static str,
    code: Option<&'static str>,
    param: Option<String>,
    message: String,
    outcome: Outcome,
    retry: Option<Duration>,
}

impl Refusal {
    /// Reports whether the work may have run.
    pub(super) fn is_unknown(&self) -> bool {
        self.outcome == Outcome::Unknown
    }

    /// Creates a refusal of work that did not run.
    pub fn new(status: StatusCode, message: impl Into<String>) -> Refusal {
        let kind = match status {
            StatusCode::Unauthorized => "authentication_error",
            StatusCode::Forbidden => "permission_error",
            StatusCode::TooManyRequests => "rate_limit_error",
            _ if status.is_server_error() => "server_error",
            _ => "invalid_request_error",
        };
        Refusal {
            status,
            kind,
            code: None,
            param: None,
            message: message.into(),
            outcome: Outcome::NotRun,
            retry: None,
        }
    }

    /// Creates a refusal with status 400 for an invalid field or header of the request.
    pub fn invalid(param: &str, message: impl Into<String>) -> Refusal {
        Refusal {
            param: Some(param.to_owned()),
            ..Refusal::new(StatusCode::BadRequest, message)
        }
    }

    /// Creates a refusal with status 503 that asks the caller to retry after a time.
    pub fn busy(message: impl Into<String>, retry: Duration) -> Refusal {
        Refusal {
            retry: Some(retry),
            ..Refusal::new(StatusCode::ServiceUnavailable, message)
        }
    }

    /// Creates a refusal with status 429 that asks the caller to retry after a time.
    pub fn limited(message: impl Into<String>, retry: Duration) -> Refusal {
        Refusal {
            retry: Some(retry),
            ..Refusal::new(StatusCode::TooManyRequests, message)
        }
    }

    /// Sets the machine-readable error code.
    pub fn with_code(mut self, code: &'static str) -> Refusal {
        self.code = Some(code);
        self
    }

    /// Sets whether the work ran.
    pub fn with_outcome(mut self, outcome: Outcome) -> Refusal {
        self.outcome = outcome;
        self
    }

    /// Returns the error object, for the body of a response or the data of an event.
    pub fn body(&self) -> serde_json::Value {
        json!({"error": {
            "message": self.message,
            "type": self.kind,
            "code": self.code,
            "param": self.param,
            "outcome": self.outcome.name(),
        }})
    }

    /// Returns the error response.
    pub fn response(&self) -> Response {
        let mut res = Response::new(self.status);
        res.insert_header("x-outcome", self.outcome.name());
        if let Some(retry) = self.retry {
            // `Retry-After` is in whole seconds.
            let seconds = retry.as_secs_f64().ceil().max(1.0) as u64;
            res.insert_header(headers::RETRY_AFTER, seconds.to_string());
        }
        res.set_body(self.body().to_string());
        res.set_content_type(http_types::mime::JSON);
        res
    }
}
