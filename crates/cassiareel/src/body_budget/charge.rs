//! The memory that is charged for one body.

use std::sync::{atomic::Ordering, Arc};

use super::BodyBudget;

/// A body may be this many times as large as what it leaves for others.
const SHARE_FACTOR: u64 = 2;

/// Memory that is charged for one body until it is dropped.
#[derive(Debug)]
pub struct BodyCharge {
    budget: Arc<BodyBudget>,
    bytes: u64,
}

impl BodyCharge {
    /// Creates a charge of no bytes.
    pub(super) fn new(budget: Arc<BodyBudget>) -> BodyCharge {
        BodyCharge { budget, bytes: 0 }
    }

    /// Changes the charge to `bytes`; returns `false`, and changes nothing, where the body would be
    /// too large beside what is left.
    #[must_use]
    pub fn resize(&mut self, bytes: u64) -> bool {
        if bytes > self.bytes {
            let added = bytes - self.bytes;
            let limit = self.budget.limit.load(Ordering::Relaxed);
            let grow = |held: u64| {
                let total = held.checked_add(added)?;
                let left = limit.checked_sub(total)?;
                (bytes <= SHARE_FACTOR * left).then_some(total)
            };
            let held = &self.budget.held;
            let grown = held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, grow);
            if grown.is_err() {
                return false;
            }
        } else {
            let released = self.bytes - bytes;
            self.budget.held.fetch_sub(released, Ordering::Relaxed);
        }
        self.bytes = bytes;
        true
    }
}

impl Drop for BodyCharge {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
