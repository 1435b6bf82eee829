//! The health record of one backend server in a group.

use crate::kernel::Time;

/// How a call ended, as far as the server is responsible.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// The server answered.
    Success,
    /// The server answered with an error of its own.
    Fault,
    /// The server was not reached, or its connection was lost or silent.
    Lost,
}

/// The stage of a server between ejection and full weight.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Stage {
    /// The server gets its full weight.
    Healthy,
    /// The server gets no calls until a given time.
    Ejected {
        /// The time at which a trial may start.
        until: Time,
    },
    /// The server may get one idempotent call at a time.
    Trial {
        /// Whether a trial call is running.
        running: bool,
        /// Successful trials so far.
        passed: u32,
    },
    /// The weight of the server is rising.
    Returning {
        /// The time at which the return began.
        since: Time,
    },
}

/// Weight of the newest outcome in the failure rate.
const FAILURE_RATE_GAIN: f64 = 0.1;

/// The health record of a server.
#[derive(Clone, Debug)]
pub(super) struct ServerRecord {
    pub(super) stage: Stage,
    pub(super) failure_rate: f64,
    pub(super) samples: u32,
    pub(super) consecutive_failures: u32,
    pub(super) ejections: u32,
}

impl Default for ServerRecord {
    fn default() -> ServerRecord {
        ServerRecord {
            stage: Stage::Healthy,
            failure_rate: 0.0,
            samples: 0,
            consecutive_failures: 0,
            ejections: 0,
        }
    }
}

impl ServerRecord {
    /// Updates the failure rate and the number of consecutive failures with an outcome.
    pub(super) fn record_outcome(&mut self, outcome: Outcome) {
        let failed = outcome != Outcome::Success;
        self.samples = self.samples.saturating_add(1);
        self.failure_rate += FAILURE_RATE_GAIN * (f64::from(u8::from(failed)) - self.failure_rate);
        self.consecutive_failures = if failed {
            self.consecutive_failures + 1
        } else {
            0
        };
    }

    /// Clears the failures that led to an ejection, so that a return starts with a clean record.
    pub(super) fn clear(&mut self) {
        self.failure_rate = 0.0;
        self.samples = 0;
        self.consecutive_failures = 0;
    }
}
