//! What goes wrong with the object API, as its control interface sets it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The faults of the object API. Chances are from 0 to 1.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether the API is away, and how.
    pub outage: Option<Outage>,
    /// Time before each answer, in milliseconds.
    pub delay_ms: u64,
    /// The chance of a write whose answer is lost after it took effect.
    pub lose_after: f64,
    /// The chance of a write that is lost before it takes effect.
    pub lose_before: f64,
    /// The chance of a read that is answered from an old replica.
    pub stale: f64,
    /// How many writes old the old replica is.
    pub stale_writes: u64,
    /// The chance of an event of a watch that cuts it instead of coming.
    pub drop_watch: f64,
}

/// How the API is away.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// Each call is answered with status 503 and a time to wait, before it takes effect.
    Refuse,
    /// Each call is answered with status 500 before it takes effect, which its writer can't know.
    Fail,
    /// No call is answered.
    Hang,
}

/// What the API allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimits {
    /// Reads a second, a waiting watch counted as one.
    pub reads_per_second: f64,
    /// Writes a second.
    pub writes_per_second: f64,
}

impl Default for RateLimits {
    /// Two thousand reads and several hundred writes a second.
    fn default() -> RateLimits {
        RateLimits {
            reads_per_second: 2_000.0,
            writes_per_second: 500.0,
        }
    }
}

/// The class of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallClass {
    Read,
    Write,
    Watch,
}

/// What meets a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallFault {
    /// The call is answered with status 503 and a time to wait.
    Refused,
    /// The call is answered with status 500, and has no effect.
    Failed,
    /// The call is never answered, and has no effect.
    Hung,
    /// The call's connection is reset before it takes effect.
    ResetBefore,
    /// The call's connection is reset after it took effect.
    ResetAfter,
}

impl Faults {
    /// The loss of a call that a random number from 0 to 1 draws.
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

    /// Time before each answer.
    pub(super) fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms)
    }
}
