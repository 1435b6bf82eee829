use std::time::Duration;

/// The decision on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The request may be sent.
    Allowed,
    /// The request is held back.
    Held {
        /// Crashes that count against the request or against a part of its prompt.
        crashes: u32,
        /// How long the request is held back if no further crash occurs.
        remaining: Duration,
    },
}
