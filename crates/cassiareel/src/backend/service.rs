//! A plain service as a trait.

use async_trait::async_trait;
use snafu::Snafu;

/// A call of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// The HTTP method.
    pub method: http_types::Method,
    /// The path at the service, with its query.
    pub path: String,
    /// The media type of the body, if the caller named one.
    pub media_type: Option<String>,
    /// The body.
    pub body: Vec<u8>,
    /// The call's name at the service, sent as `Idempotency-Key` and `X-Request-Id`; the service
    /// echoes the latter.
    pub id: String,
}

/// A service's whole answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body, if the service named one.
    pub media_type: Option<String>,
    /// The body, whole.
    pub body: Vec<u8>,
}

/// What a service says of a call it is asked about.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallStatus {
    /// It ran.
    Ran {
        /// The media type of the words.
        media_type: Option<String>,
        /// The service's words.
        body: Vec<u8>,
    },
    /// The service can't say; the call may still arrive there.
    Inconclusive,
}

/// Why a call gave no whole answer.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum CallError {
    /// No byte went to the service, or it said itself that it did not run the call.
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
    /// Only [`CallError::NotRun`] promises that the call did not run.
    async fn call(&self, call: &Call) -> Result<Answer, CallError>;

    /// Asks what became of a call.
    ///
    /// # Errors
    ///
    /// A service that can't be asked is an error, and says nothing about the call.
    async fn query(&self, id: &str) -> Result<CallStatus, CallError>;
}
