//! A rate limit that is one atomic number.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use crate::kernel::Time;

/// A rate with its burst, in units such as requests or tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Units a second.
    pub per_second: f64,
    /// Units that may come at once.
    pub burst: f64,
}

impl Rate {
    /// Time that units take at this rate.
    fn time_of(&self, units: f64) -> Duration {
        Duration::try_from_secs_f64(units / self.per_second).unwrap_or(Duration::MAX / 4)
    }

    /// This rate, less others' parts.
    pub fn scaled(&self, part: f64) -> Rate {
        Rate {
            per_second: self.per_second * part,
            burst: self.burst * part,
        }
    }
}

/// A token bucket, kept as the time at which it would be full again.
///
/// This is the generic cell rate algorithm (ITU-T I.371, virtual scheduling). One number holds all
/// its state, so that taking is one compare-and-swap, a bucket that is not used needs no upkeep, and
/// the time to come back is exact.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cassiareel::kernel::admission::{Bucket, Rate};
///
/// let rate = Rate { per_second: 10.0, burst: 2.0 };
/// let bucket = Bucket::default();
/// let now = Duration::from_secs(1);
/// assert_eq!(bucket.try_take(now, &rate, 1.0), Ok(()));
/// assert_eq!(bucket.try_take(now, &rate, 1.0), Ok(()));
/// assert_eq!(bucket.try_take(now, &rate, 1.0), Err(Duration::from_millis(100)));
/// ```
#[derive(Debug, Default)]
pub struct Bucket {
    // Nanoseconds at which the bucket is full.
    full: AtomicU64,
}

impl Bucket {
    /// Takes units.
    ///
    /// More units than the burst can be taken from a full bucket, which then stays in debt: a large
    /// request must be able to run at all.
    ///
    /// # Errors
    ///
    /// Returns the time after which the same units can be taken, if nobody else takes any.
    pub fn try_take(&self, now: Time, rate: &Rate, units: f64) -> Result<(), Duration> {
        let cost = nanos(rate.time_of(units));
        let burst = nanos(rate.time_of(rate.burst)).max(cost);
        let now = nanos(now);
        let next = |full: u64| {
            let full = full.max(now).saturating_add(cost);
            (full <= now.saturating_add(burst)).then_some(full)
        };
        self.full
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, next)
            .map(|_| ())
            .map_err(|full| {
                let wait = full.saturating_add(cost).saturating_sub(now + burst);
                Duration::from_nanos(wait)
            })
    }

    /// Gives units back that were taken for work that did not run.
    pub fn refund(&self, rate: &Rate, units: f64) {
        let cost = nanos(rate.time_of(units));
        self.full
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, |full| {
                Some(full.saturating_sub(cost))
            })
            .ok();
    }

    /// Takes units for work that has run already, whatever that leaves.
    pub fn charge(&self, now: Time, rate: &Rate, units: f64) {
        let cost = nanos(rate.time_of(units));
        let now = nanos(now);
        self.full
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, |full| {
                Some(full.max(now).saturating_add(cost))
            })
            .ok();
    }

    /// Reports whether the bucket is full, so that forgetting it changes nothing.
    pub fn is_full(&self, now: Time) -> bool {
        self.full.load(Ordering::Relaxed) <= nanos(now)
    }
}

fn nanos(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX / 4)
}
