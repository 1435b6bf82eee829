//! A rate limit whose state is one atomic number.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use crate::kernel::Time;

/// A rate with its burst, in units such as requests or tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Units per second.
    pub per_second: f64,
    /// Units that may be taken at once.
    pub burst: f64,
}

impl Rate {
    /// Returns the time in which this rate provides the given units.
    fn duration_of(&self, units: f64) -> Duration {
        Duration::try_from_secs_f64(units / self.per_second).unwrap_or(Duration::MAX / 4)
    }

    /// Returns the rate and its burst multiplied by `part`.
    pub fn scaled(&self, part: f64) -> Rate {
        Rate {
            per_second: self.per_second * part,
            burst: self.burst * part,
        }
    }
}

/// A token bucket, stored as the time at which it will be full again.
///
/// This is the generic cell rate algorithm (ITU-T I.371, virtual scheduling). A single number holds
/// the whole state, so taking units is one compare-and-swap, an idle bucket needs no background
/// refill, and the retry time is exact.
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
    // The time at which the bucket is full, in nanoseconds.
    full_at: AtomicU64,
}

impl Bucket {
    /// Takes units if they are available.
    ///
    /// A full bucket also gives out more units than its burst and is in debt afterwards, since a
    /// request larger than the burst could never run otherwise.
    ///
    /// # Errors
    ///
    /// Returns the time after which the same units will be available if no other call takes any.
    pub fn try_take(&self, now: Time, rate: &Rate, units: f64) -> Result<(), Duration> {
        let cost = nanos(rate.duration_of(units));
        let burst = nanos(rate.duration_of(rate.burst)).max(cost);
        let now = nanos(now);
        let next = |full_at: u64| {
            let full_at = full_at.max(now).saturating_add(cost);
            (full_at <= now.saturating_add(burst)).then_some(full_at)
        };
        self.full_at
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, next)
            .map(|_| ())
            .map_err(|full_at| {
                let wait = full_at.saturating_add(cost).saturating_sub(now + burst);
                Duration::from_nanos(wait)
            })
    }

    /// Returns units that were taken for work that did not run.
    pub fn refund(&self, rate: &Rate, units: f64) {
        let cost = nanos(rate.duration_of(units));
        self.full_at
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, |full_at| {
                Some(full_at.saturating_sub(cost))
            })
            .ok();
    }

    /// Takes units for work that has already run, even if the bucket goes into debt.
    pub fn charge(&self, now: Time, rate: &Rate, units: f64) {
        let cost = nanos(rate.duration_of(units));
        let now = nanos(now);
        self.full_at
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, |full_at| {
                Some(full_at.max(now).saturating_add(cost))
            })
            .ok();
    }

    /// Reports whether the bucket is full, so that it can be dropped without losing state.
    pub fn is_full(&self, now: Time) -> bool {
        self.full_at.load(Ordering::Relaxed) <= nanos(now)
    }
}

fn nanos(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX / 4)
}
