//! What runs at the moment, under a bound.

use std::sync::atomic::{AtomicU64, Ordering};

/// A count of requests or tokens that are in use, under a bound of the moment.
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
    used: AtomicU64,
}

impl InFlight {
    /// Takes units if the sum stays within a bound; one request larger than the bound may run alone.
    pub fn try_acquire(&self, units: u64, bound: u64) -> bool {
        let next = |used: u64| {
            let sum = used.saturating_add(units);
            (sum <= bound || used == 0 && bound > 0).then_some(sum)
        };
        self.used
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, next)
            .is_ok()
    }

    /// Gives units back.
    pub fn release(&self, units: u64) {
        let before = self.used.fetch_sub(units, Ordering::AcqRel);
        debug_assert!(before >= units, "gave back {units} of {before}");
    }

    /// Units in use.
    pub fn count(&self) -> u64 {
        self.used.load(Ordering::Relaxed)
    }
}
