//! Counts each call of the object API, applies the rate limits and selects injected faults.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::faults::{CallClass, CallFault, Faults, RateLimits};
use crate::token_bucket::TokenBucket;

/// Counts of the calls of the object API since its start.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallCounts {
    /// Reads and lists.
    pub reads: u64,
    /// Writes, including refused ones.
    pub writes: u64,
    /// Watches that were started.
    pub watches: u64,
    /// Watches that are currently open.
    #[serde(rename = "watching")]
    pub open_watches: u64,
    /// Calls that were refused because they exceeded the rate limit.
    pub throttled: u64,
    /// Counts of calls by method and kind, such as `PUT leases`.
    pub by_kind: BTreeMap<String, u64>,
}

/// Checks each call before it is dispatched.
#[derive(Debug)]
pub(super) struct Interceptor {
    started: Instant,
    reads: TokenBucket,
    writes: TokenBucket,
    random: fastrand::Rng,
    pub(super) faults: Faults,
    pub(super) counts: CallCounts,
}

/// A call that exceeds the rate limit, with the time after which it may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Throttled {
    pub(super) retry_after: Duration,
}

impl Interceptor {
    pub(super) fn new(rates: RateLimits, seed: u64) -> Interceptor {
        Interceptor {
            started: Instant::now(),
            reads: TokenBucket::new(rates.reads_per_second, rates.reads_per_second.max(1.0)),
            writes: TokenBucket::new(rates.writes_per_second, rates.writes_per_second.max(1.0)),
            random: fastrand::Rng::with_seed(seed),
            faults: Faults::default(),
            counts: CallCounts::default(),
        }
    }

    /// Counts a call, applies its rate limit, and draws its injected fault.
    pub(super) fn check(
        &mut self,
        class: CallClass,
        call: String,
    ) -> Result<Option<CallFault>, Throttled> {
        let now = self.started.elapsed();
        *self.counts.by_kind.entry(call).or_default() += 1;
        let bucket = match class {
            CallClass::Read => {
                self.counts.reads += 1;
                &mut self.reads
            }
            CallClass::Watch => {
                self.counts.watches += 1;
                &mut self.reads
            }
            CallClass::Write => {
                self.counts.writes += 1;
                &mut self.writes
            }
        };
        if let Err(retry_after) = bucket.take(now) {
            self.counts.throttled += 1;
            return Err(Throttled { retry_after });
        }
        Ok(self.faults.draw(class, self.random.f64()))
    }

    /// Draws the number of writes by which the answer to a read is behind.
    pub(super) fn draw_staleness(&mut self) -> u64 {
        if self.random.f64() < self.faults.stale {
            self.faults.stale_writes
        } else {
            0
        }
    }

    /// Draws whether an event resets the connection of its watch.
    pub(super) fn draw_watch_drop(&mut self) -> bool {
        self.random.f64() < self.faults.drop_watch
    }
}
