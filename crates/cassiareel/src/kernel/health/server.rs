//! One backend server as a group sees it.

use crate::kernel::Time;

/// How a call ended, as far as the server is to blame.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// It answered.
    Success,
    /// It answered that it failed.
    Fault,
    /// It was not reached, or its connection was lost or silent.
    Lost,
}

/// Where a server stands.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Stage {
    /// It gets its full weight.
    Healthy,
    /// It gets nothing until a time.
    Ejected {
        /// When a trial may start.
        until: Time,
    },
    /// It may get one idempotent call at a time.
    Trial {
        /// Whether the call is out.
        running: bool,
        /// Trials that went well.
        passed: u32,
    },
    /// Its weight rises.
    Returning {
        /// Since when.
        since: Time,
    },
}

/// Weight of the newest outcome in the failure rate.
const RATE_GAIN: f64 = 0.1;

/// A server's record.
#[derive(Clone, Debug)]
pub(super) struct Server {
    pub(super) stage: Stage,
    pub(super) rate: f64,
    pub(super) samples: u32,
    pub(super) failures: u32,
    pub(super) ejections: u32,
}

impl Default for Server {
    fn default() -> Server {
        Server {
            stage: Stage::Healthy,
            rate: 0.0,
            samples: 0,
            failures: 0,
            ejections: 0,
        }
    }
}

impl Server {
    /// Takes an outcome into the failure rate and the count of failures in a row.
    pub(super) fn count(&mut self, outcome: Outcome) {
        let failed = outcome != Outcome::Success;
        self.samples = self.samples.saturating_add(1);
        self.rate += RATE_GAIN * (f64::from(u8::from(failed)) - self.rate);
        self.failures = if failed { self.failures + 1 } else { 0 };
    }

    /// Forgets what led to an ejection, so that a return starts with a clean record.
    pub(super) fn clear(&mut self) {
        self.rate = 0.0;
        self.samples = 0;
        self.failures = 0;
    }
}
