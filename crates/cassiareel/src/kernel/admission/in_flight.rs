//! A concurrency limit.

use std::sync::atomic::{AtomicU64, Ordering};

/// A count of requests or tokens in use. The limit is passed with each call, since it can change.
///
/// # Examples
///
/// ```
/// use cassiareel::kernel::admission::InFlight;
///
/// let in_flight = InFlight::default();
/// assert!(in_flight.try_acquire(2, 3));
/// assert!(!in_flight.try_acquire(2, 3));
/// in_flight.release(2);
/// assert!(in_flight.try_acquire(2, 3));
/// ```
#[derive(Debug, Default)]
pub struct InFlight {
    count: AtomicU64,
}

impl InFlight {
    /// Adds units if the sum stays within `bound`, and reports whether they were added.
    ///
    /// A request larger than a nonzero bound is admitted if nothing else is in use.
    pub fn try_acquire(&self, units: u64, bound: u64) -> bool {
        let next = |count: u64| {
            let sum = count.saturating_add(units);
            (sum <= bound || count == 0 && bound > 0).then_some(sum)
        };
        self.count
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, next)
            .is_ok()
    }

    /// Subtracts units.
    pub fn release(&self, units: u64) {
        let before = self.count.fetch_sub(units, Ordering::AcqRel);
        debug_assert!(before >= units, "released {units} of {before} units in use");
    }

    /// Returns the units in use.
    pub fn count(&self) -> u64 {
        self.count.load(Ordering::Relaxed)
    }
}
