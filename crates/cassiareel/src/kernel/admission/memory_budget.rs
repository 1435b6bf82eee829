//! The tokens of an engine's memory that a node's own requests hold and may still hold.

use std::sync::atomic::{AtomicU64, Ordering};

/// Part of an engine's memory that is given to nobody, so that a node which joins before the others
/// know of it does not overflow the engine.
const RESERVE: f64 = 0.15;

/// The part of an engine's memory that a node may fill.
///
/// The parts of all nodes that agree on the list of nodes add up to 1 less the reserve. Each node
/// counts the sharers of the platform's list of VMs, not those that it reaches, so that a partition
/// makes no part larger.
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
    (1.0 - RESERVE) / f64::from(sharers.max(1))
}

/// A sum of held tokens under a bound.
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
    // INVARIANT: hold never takes this above the bound of its moment.
    held: AtomicU64,
    bound: AtomicU64,
}

impl MemoryBudget {
    /// Sets the bound. What is held above a lower bound stays until it is released.
    pub fn set_limit(&self, tokens: u64) {
        self.bound.store(tokens, Ordering::Relaxed);
    }

    /// Holds tokens if they fit.
    pub fn try_reserve(&self, tokens: u64) -> bool {
        let bound = self.bound.load(Ordering::Relaxed);
        let fits = |held: u64| held.checked_add(tokens).filter(|&sum| sum <= bound);
        self.held
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, fits)
            .is_ok()
    }

    /// Releases tokens.
    pub fn release(&self, tokens: u64) {
        let before = self.held.fetch_sub(tokens, Ordering::AcqRel);
        debug_assert!(
            before >= tokens,
            "released {tokens} of {before} held tokens"
        );
    }

    /// Tokens held.
    pub fn reserved(&self) -> u64 {
        self.held.load(Ordering::Relaxed)
    }

    /// Tokens that can still be held.
    pub fn available(&self) -> u64 {
        self.bound
            .load(Ordering::Relaxed)
            .saturating_sub(self.reserved())
    }
}
