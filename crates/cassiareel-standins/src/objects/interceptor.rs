//! What each call of the object API passes first: the count, the rate and the faults.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::faults::{CallFault, Class, Faults, RateLimits};
use crate::token_bucket::TokenBucket;

/// Calls of the object API so far.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallCounts {
    /// Reads and lists.
    pub reads: u64,
    /// Writes, refused ones included.
    pub writes: u64,
    /// Watches started.
    pub watches: u64,
    /// Watches that wait now.
    #[serde(rename = "watching")]
    pub open_watches: u64,
    /// Calls refused for their rate.
    pub throttled: u64,
    /// Calls by method and kind, such as `PUT leases`.
    pub by_kind: BTreeMap<String, u64>,
}

/// The gate that calls pass.
#[derive(Debug)]
pub(super) struct Interceptor {
    origin: Instant,
    reads: TokenBucket,
    writes: TokenBucket,
    random: fastrand::Rng,
    pub(super) faults: Faults,
    pub(super) counts: CallCounts,
}

/// A call that is over its rate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Throttled {
    pub(super) wait: Duration,
}

impl Interceptor {
    pub(super) fn new(rates: RateLimits, seed: u64) -> Interceptor {
        Interceptor {
            origin: Instant::now(),
            reads: TokenBucket::new(rates.reads_per_second, rates.reads_per_second.max(1.0)),
            writes: TokenBucket::new(rates.writes_per_second, rates.writes_per_second.max(1.0)),
            random: fastrand::Rng::with_seed(seed),
            faults: Faults::default(),
            counts: CallCounts::default(),
        }
    }

    /// Counts a call, and draws what goes wrong with it.
    pub(super) fn pass(
        &mut self,
        class: Class,
        call: String,
    ) -> Result<Option<CallFault>, Throttled> {
        let now = self.origin.elapsed();
        *self.counts.by_kind.entry(call).or_default() += 1;
        let bucket = match class {
            Class::Read => {
                self.counts.reads += 1;
                &mut self.reads
            }
            Class::Watch => {
                self.counts.watches += 1;
                &mut self.reads
            }
            Class::Write => {
                self.counts.writes += 1;
                &mut self.writes
            }
        };
        if let Err(wait) = bucket.take(now) {
            self.counts.throttled += 1;
            return Err(Throttled { wait });
        }
        Ok(self.faults.draw(class, self.random.f64()))
    }

    /// How many writes old a read's answer is.
    pub(super) fn staleness(&mut self) -> u64 {
        if self.random.f64() < self.faults.stale {
            self.faults.stale_writes
        } else {
            0
        }
    }

    /// Draws whether an event cuts its watch.
    pub(super) fn drops_watch(&mut self) -> bool {
        self.random.f64() < self.faults.drop_watch
    }
}
