//! A buffer for one body.

use std::sync::Arc;

use bytes::Bytes;

use super::{BodyBudget, BodyCharge};

/// The least size of a buffer that has to grow, in bytes.
const MIN_BUFFER_BYTES: usize = 4 << 10;

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
