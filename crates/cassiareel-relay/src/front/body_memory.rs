//! Memory for bodies that are held, bounded over all requests of a node.

use std::sync::{
    atomic::{AtomicU64, Ordering},
    Arc,
};

/// Room for one body, given back when it is dropped.
#[derive(Debug)]
pub(super) struct BodyMemory {
    reserved: Arc<AtomicU64>,
    bytes: u64,
}

impl BodyMemory {
    /// Takes room for `bytes`; `None` where more than `most` would be held.
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

    /// Changes the room to what the body turned out to take.
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
