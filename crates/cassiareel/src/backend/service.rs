//! The trait of a plain service, and the messages of its calls.

use async_trait::async_trait;
use bytes::Bytes;
use snafu::Snafu;

/// A call to a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// The HTTP method.
    pub method: http_types::Method,
    /// The path at the service, with its query.
    pub path: String,
    /// The media type of the body, if the caller gave one.
    pub media_type: Option<String>,
    /// The body.
    pub body: Bytes,
    /// The call's id at the service, sent as `Idempotency-Key` and `X-Request-Id`. The service
    /// returns the latter in its answer.
    pub id: String,
}

/// A service's complete answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The requests a second that the service takes from all nodes together; `None` for no limit, and
    /// no number where it can't be read.
    pub request_limit: Option<f64>,
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body, if the service gave one.
    pub media_type: Option<String>,
    /// The complete body.
    pub body: Bytes,
}

/// A service's answer to a query for the outcome of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallStatus {
    /// The call ran.
    Ran {
        /// The media type of the body.
        media_type: Option<String>,
        /// The body, which describes the outcome.
        body: Bytes,
    },
    /// The service does not know; the call may still arrive there.
    Inconclusive,
}

/// Why a call returned no complete answer.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum CallError {
    /// Nothing was sent to the service, or it reported that it did not run the call.
    #[snafu(display("the service did not run the call: {cause}"))]
    NotRun {
        /// What failed.
        cause: String,
    },
    /// The call may have run.
    #[snafu(display("the service's answer was lost: {cause}"))]
    Unknown {
        /// What failed.
        cause: String,
    },
}

/// A plain service's backend server.
#[async_trait]
pub trait Service: Send + Sync {
    /// Calls the service once.
    ///
    /// # Errors
    ///
    /// Only [`CallError::NotRun`] guarantees that the call did not run.
    async fn call(&self, call: &Call) -> Result<Answer, CallError>;

    /// Queries the outcome of a call by its id.
    ///
    /// # Errors
    ///
    /// Returns an error if the service does not answer the query; the call may or may not have run.
    async fn query(&self, id: &str) -> Result<CallStatus, CallError>;
}
