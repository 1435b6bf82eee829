//! Memory for request bodies, bounded over all requests of a node.

use std::sync::{
    atomic::{AtomicU64, Ordering},
    Arc,
};

/// Memory reserved for one body, released on drop.
#[derive(Debug)]
pub(super) struct BodyMemory {
    reserved: Arc<AtomicU64>,
    bytes: u64,
}

impl BodyMemory {
    /// Reserves `bytes`; returns `None` if more than `limit` bytes would be reserved in total.
    pub(super) fn try_reserve(
        reserved: &Arc<AtomicU64>,
        bytes: u64,
        limit: u64,
    ) -> Option<BodyMemory> {
        let before = reserved.fetch_add(bytes, Ordering::Relaxed);
        let memory = BodyMemory {
            reserved: reserved.clone(),
            bytes,
        };
        (before + bytes <= limit).then_some(memory)
    }

    /// Changes the reservation to the actual size of the body.
    pub(super) fn resize(&mut self, bytes: u64) {
        self.reserved.fetch_add(bytes, Ordering::Relaxed);
        self.reserved.fetch_sub(self.bytes, Ordering::Relaxed);
        self.bytes = bytes;
    }
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        self.reserved.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
