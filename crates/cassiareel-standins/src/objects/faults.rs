//! Injected faults of the object API, as its control interface reads and writes them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The injected faults of the object API. Probabilities are from 0 to 1.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The outage of the API, if any.
    pub outage: Option<Outage>,
    /// The delay before each answer, in milliseconds.
    pub delay_ms: u64,
    /// The probability that a write takes effect and its answer is lost.
    pub lose_after: f64,
    /// The probability that a write is lost before it takes effect.
    pub lose_before: f64,
    /// The probability that a read is answered from a stale replica.
    pub stale: f64,
    /// The number of writes by which the stale replica is behind.
    pub stale_writes: u64,
    /// The probability that an event resets the connection of its watch instead of being sent.
    pub drop_watch: f64,
}

/// How the API answers during an outage.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// Each call is answered with status 503 and `Retry-After`, and has no effect.
    Refuse,
    /// Each call is answered with status 500 and has no effect, which the caller cannot know.
    Fail,
    /// Calls are never answered.
    Hang,
}

/// The rate limits of the API.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimits {
    /// Reads per second; starting a watch counts as a read.
    pub reads_per_second: f64,
    /// Writes per second.
    pub writes_per_second: f64,
}

impl Default for RateLimits {
    /// Returns limits of 2,000 reads and 500 writes per second.
    fn default() -> RateLimits {
        RateLimits {
            reads_per_second: 2_000.0,
            writes_per_second: 500.0,
        }
    }
}

/// The class of a call, which determines its rate limit and its faults.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallClass {
    Read,
    Write,
    Watch,
}

/// The injected fault of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallFault {
    /// The call is answered with status 503 and `Retry-After`, and has no effect.
    Refused,
    /// The call is answered with status 500, and has no effect.
    Failed,
    /// The call is never answered, and has no effect.
    Hung,
    /// The connection is reset, and the call has no effect.
    ResetBefore,
    /// The call takes effect, and then the connection is reset.
    ResetAfter,
}

impl Faults {
    /// Returns the fault of a call for a random number `draw` from 0 to 1, if any.
    pub(super) fn draw(&self, class: CallClass, draw: f64) -> Option<CallFault> {
        match self.outage {
            Some(Outage::Refuse) => return Some(CallFault::Refused),
            Some(Outage::Fail) => return Some(CallFault::Failed),
            Some(Outage::Hang) => return Some(CallFault::Hung),
            None => {}
        }
        if class != CallClass::Write {
            return None;
        }
        if draw < self.lose_before {
            return Some(CallFault::ResetBefore);
        }
        (draw < self.lose_before + self.lose_after).then_some(CallFault::ResetAfter)
    }

    /// Returns the delay before each answer.
    pub(super) fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms)
    }
}
