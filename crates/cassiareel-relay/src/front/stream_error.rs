//! Errors that end a stream before it is complete.

use std::time::Duration;

use super::refusal::Refusal;

/// Why a stream ended before it was complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StreamError {
    /// No engine accepted the stream; nothing has run.
    NoBackend {
        /// How long the caller should wait before it retries.
        after: Duration,
    },
    /// No engine has capacity for the stream; nothing has run.
    NoCapacity {
        /// How long the caller should wait before it retries.
        after: Duration,
    },
    /// The request is quarantined because backend servers crashed while they ran it; nothing has
    /// run.
    Held {
        /// How long the quarantine still lasts.
        after: Duration,
    },
    /// The stream can't continue at another backend server.
    Broken,
    /// The deadline of the caller or the timeout of the route has passed.
    Timeout,
    /// The node is stopping, and another node can continue the stream.
    HandedOver,
}

impl StreamError {
    /// Returns the response for a stream of which no event was passed on.
    pub(super) fn refusal(self) -> Refusal {
        match self {
            StreamError::NoBackend { after } => Refusal::NoBackend { after },
            StreamError::NoCapacity { after } => Refusal::NoCapacity { after },
            StreamError::Held { after } => Refusal::Held { after },
            StreamError::Broken | StreamError::HandedOver => Refusal::UnknownOutcome,
            StreamError::Timeout => Refusal::Timeout,
        }
    }

    /// Returns the name in logs and metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            StreamError::NoBackend { .. } => "no_place",
            StreamError::NoCapacity { .. } => "no_room",
            StreamError::Held { .. } => "held",
            StreamError::Broken => "broken",
            StreamError::Timeout => "timeout",
            StreamError::HandedOver => "handed_over",
        }
    }
}
