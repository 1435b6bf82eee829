/*!
Memory for the bodies that a node holds, bounded over all of them.

The peers of a connection decide how long a body is and in which pieces it arrives, so a limit for
each body does not bound what a node holds. A body may therefore grow only while it is no larger
than what it leaves for the others. Large bodies are refused first, and small ones find room beside
any number of endless ones.
*/

use std::sync::{
    atomic::{AtomicU64, Ordering},
    Arc,
};

/// The memory that bodies may take together.
#[derive(Debug)]
pub struct BodyBudget {
    held: AtomicU64,
    limit: AtomicU64,
}

/// Memory that is charged for one body until it is dropped.
#[derive(Debug)]
pub struct BodyCharge {
    budget: Arc<BodyBudget>,
    bytes: u64,
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
        BodyCharge {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

impl BodyCharge {
    /// Changes the charge to `bytes`; returns `false`, and changes nothing, where the body would be
    /// larger than what is left.
    #[must_use]
    pub fn resize(&mut self, bytes: u64) -> bool {
        if bytes > self.bytes {
            let added = bytes - self.bytes;
            let limit = self.budget.limit.load(Ordering::Relaxed);
            let grow = |held: u64| {
                let total = held.checked_add(added)?;
                let left = limit.checked_sub(total)?;
                (bytes <= left).then_some(total)
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
