/*!
Memory for the bodies that a process holds, bounded over all of them.

The peers of a connection decide how long a body is and in which pieces it arrives, so a limit for
each body does not bound what a process holds. A body may therefore grow only while it is no larger
than what it leaves for the others. Large bodies are refused first, and small ones find room beside
any number of endless ones.
*/

use std::sync::{
    atomic::{AtomicU64, Ordering},
    Arc,
};

use bytes::Bytes;

/// The least size of a buffer that has to grow, in bytes.
const MIN_BUFFER_BYTES: usize = 4 << 10;

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

/// The reason why a buffer takes no more bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BufferError {
    /// The body is larger than the buffer's limit.
    TooLarge {
        /// The limit, in bytes.
        limit: usize,
    },
    /// Bodies take too much memory.
    NoMemory,
}

/// A buffer for one body, whose memory is charged to a budget.
#[derive(Debug)]
pub struct ChargedBuffer {
    bytes: Vec<u8>,
    limit: usize,
    charge: BodyCharge,
}

impl ChargedBuffer {
    /// Creates an empty buffer for a body of at most `limit` bytes.
    pub fn new(budget: &Arc<BodyBudget>, limit: usize) -> ChargedBuffer {
        ChargedBuffer {
            bytes: Vec::new(),
            limit,
            charge: budget.charge(),
        }
    }

    /// Checks the size of a body.
    ///
    /// # Errors
    ///
    /// Fails if it is above the limit.
    pub fn check_size(&self, size: u64) -> Result<(), BufferError> {
        if size > self.limit as u64 {
            return Err(BufferError::TooLarge { limit: self.limit });
        }
        Ok(())
    }

    /// Appends bytes of the body.
    ///
    /// # Errors
    ///
    /// Fails if the body is too large, or finds no memory.
    pub fn append(&mut self, data: &[u8]) -> Result<(), BufferError> {
        let needed = self.bytes.len() + data.len();
        self.check_size(needed as u64)?;
        if needed > self.bytes.capacity() {
            let grown = (2 * self.bytes.capacity()).max(MIN_BUFFER_BYTES);
            self.reserve(needed.max(grown.min(self.limit)))?;
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Makes the buffer as large as `size`.
    ///
    /// # Errors
    ///
    /// Fails if there is no memory.
    pub fn reserve(&mut self, size: usize) -> Result<(), BufferError> {
        if !self.charge.resize(size as u64) {
            return Err(BufferError::NoMemory);
        }
        let added = size.saturating_sub(self.bytes.len());
        let reserved = self.bytes.try_reserve_exact(added);
        reserved.map_err(|_| BufferError::NoMemory)
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Reports whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the bytes. They stay charged until their last clone is dropped.
    pub fn into_bytes(mut self) -> Bytes {
        self.bytes.shrink_to_fit();
        // A smaller charge is always possible.
        let _ = self.charge.resize(self.bytes.capacity() as u64);
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for ChargedBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
