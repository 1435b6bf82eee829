//! How a stream ends that is not complete.

use std::time::Duration;

use super::refusal::Refusal;

/// Why a stream ends without being complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StreamError {
    /// No engine took it; nothing has run.
    NoBackend {
        /// When one may.
        after: Duration,
    },
    /// No engine has room for it; nothing has run.
    NoCapacity {
        /// When one may.
        after: Duration,
    },
    /// Servers ended under it, and it is held back; nothing has run.
    Held {
        /// For how long.
        after: Duration,
    },
    /// It can't go on elsewhere.
    Broken,
    /// The caller's or the route's time is over.
    Timeout,
    /// The node ends, and another node can go on with it.
    HandedOver,
}

impl StreamError {
    /// The answer where no event was passed on yet.
    pub(super) fn refusal(self) -> Refusal {
        match self {
            StreamError::NoBackend { after } => Refusal::NoBackend { after },
            StreamError::NoCapacity { after } => Refusal::NoCapacity { after },
            StreamError::Held { after } => Refusal::Held { after },
            StreamError::Broken | StreamError::HandedOver => Refusal::UnknownOutcome,
            StreamError::Timeout => Refusal::Timeout,
        }
    }

    /// The name in logs and metrics.
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
