//! The memory that bodies may take together.

use std::sync::{
    atomic::{AtomicU64, Ordering},
    Arc,
};

use super::BodyCharge;

/// The memory that bodies may take together.
#[derive(Debug)]
pub struct BodyBudget {
    pub(super) held: AtomicU64,
    pub(super) limit: AtomicU64,
}

impl BodyBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: u64) -> BodyBudget {
        BodyBudget {
            held: AtomicU64::new(0),
            limit: AtomicU64::new(limit),
        }
    }

    /// Changes the limit, in bytes. Bodies that are held already stay.
    pub fn set_limit(&self, limit: u64) {
        self.limit.store(limit, Ordering::Relaxed);
    }

    /// Returns the number of bytes that are charged.
    pub fn held(&self) -> u64 {
        self.held.load(Ordering::Relaxed)
    }

    /// Creates a charge of no bytes.
    pub fn charge(self: &Arc<BodyBudget>) -> BodyCharge {
        BodyCharge::new(self.clone())
    }
}
