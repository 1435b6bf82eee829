//! The part of an engine's memory, in tokens, that a node's own requests may reserve.

use std::sync::atomic::{AtomicU64, Ordering};

/// Fraction of an engine's memory that no node may use, so that a node which joins before the
/// others know of it does not overflow the engine.
const RESERVED_FRACTION: f64 = 0.15;

/// Returns the fraction of an engine's memory that a node may use if `sharers` nodes share the
/// engine.
///
/// The fractions of all nodes that agree on the list of nodes add up to 1 minus the reserve. Each
/// node counts the sharers in the platform's list of VMs, not the nodes that it can reach, so that
/// a network partition does not make any fraction larger.
///
/// # Examples
///
/// ```
/// use cassiareel::kernel::admission::memory_share;
///
/// let all: f64 = (0..6).map(|_| memory_share(6)).sum();
/// assert!((all - 0.85).abs() < 1e-9);
/// ```
pub fn memory_share(sharers: u32) -> f64 {
    (1.0 - RESERVED_FRACTION) / f64::from(sharers.max(1))
}

/// A count of reserved tokens with an upper limit.
///
/// # Examples
///
/// ```
/// use cassiareel::kernel::admission::MemoryBudget;
///
/// let budget = MemoryBudget::default();
/// budget.set_limit(100);
/// assert!(budget.try_reserve(60));
/// assert!(!budget.try_reserve(60));
/// budget.release(60);
/// assert!(budget.try_reserve(60));
/// ```
#[derive(Debug, Default)]
pub struct MemoryBudget {
    // INVARIANT: try_reserve never raises this above the limit that it loaded.
    reserved: AtomicU64,
    limit: AtomicU64,
}

impl MemoryBudget {
    /// Sets the limit. Reservations above a lowered limit stay until they are released.
    pub fn set_limit(&self, tokens: u64) {
        self.limit.store(tokens, Ordering::Relaxed);
    }

    /// Reserves tokens if they fit within the limit, and reports whether they did.
    pub fn try_reserve(&self, tokens: u64) -> bool {
        let limit = self.limit.load(Ordering::Relaxed);
        let fits = |reserved: u64| reserved.checked_add(tokens).filter(|&sum| sum <= limit);
        self.reserved
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, fits)
            .is_ok()
    }

    /// Releases reserved tokens.
    pub fn release(&self, tokens: u64) {
        let before = self.reserved.fetch_sub(tokens, Ordering::AcqRel);
        debug_assert!(
            before >= tokens,
            "released {tokens} of {before} reserved tokens"
        );
    }

    /// Returns the number of reserved tokens.
    pub fn reserved(&self) -> u64 {
        self.reserved.load(Ordering::Relaxed)
    }

    /// Returns the number of tokens that can still be reserved.
    pub fn available(&self) -> u64 {
        self.limit
            .load(Ordering::Relaxed)
            .saturating_sub(self.reserved())
    }
}
