//! What one answer says of its backend server's limit.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

use super::{
    super::{suspect::ProcessKey, Time},
    Rate,
};

/// Reports whether a limit that was named can hold.
pub fn is_valid_limit(limit: Rate) -> bool {
    limit.is_finite() && limit >= 0.0
}

/// What one answer says of its backend server's limit. The answer was begun at some time between
/// `sent` and `received`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReading {
    /// The limit; `None` if the answer names none.
    pub limit: Option<Rate>,
    /// When the request was sent.
    pub sent: Time,
    /// When the head of the answer was received.
    pub received: Time,
}

impl LimitReading {
    /// Returns the reading that holds where both are known.
    ///
    /// The answer that was begun last decides. An answer over a slow connection may be received
    /// after later ones, so an answer counts as begun after another one only if its request was
    /// sent after that one was received. Where the order is unknown, the lower limit holds.
    pub fn merge(self, other: LimitReading) -> LimitReading {
        if other.sent >= self.received {
            return other;
        }
        if self.sent >= other.received {
            return self;
        }
        if self.limit == other.limit {
            return LimitReading {
                limit: self.limit,
                sent: self.sent.max(other.sent),
                received: self.received.max(other.received),
            };
        }
        if other.allowed() < self.allowed() {
            other
        } else {
            self
        }
    }

    /// Returns the rate that the reading allows.
    fn allowed(&self) -> Rate {
        self.limit.unwrap_or(Rate::INFINITY)
    }
}

/// A reading as nodes send it to each other: with ages, since their clocks differ.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReportedReading {
    /// The process.
    pub process: ProcessKey,
    limit: Option<Rate>,
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    sent_age: Duration,
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    received_age: Duration,
}

impl ReportedReading {
    /// Reports a reading at `now`.
    pub fn new(process: ProcessKey, reading: LimitReading, now: Time) -> ReportedReading {
        ReportedReading {
            process,
            limit: reading.limit,
            sent_age: now.saturating_sub(reading.sent),
            received_age: now.saturating_sub(reading.received),
        }
    }

    /// Returns the reading on the clock of a node where it was `now` when the report was made.
    pub fn reading(&self, now: Time) -> LimitReading {
        LimitReading {
            limit: self.limit,
            sent: now.saturating_sub(self.sent_age),
            received: now.saturating_sub(self.received_age),
        }
    }
}
