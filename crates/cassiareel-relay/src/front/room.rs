//! Memory for bodies that are held, bounded over all requests of a node.

use std::sync::{
    atomic::{AtomicU64, Ordering},
    Arc,
};

/// Room for one body, given back when it is dropped.
#[derive(Debug)]
pub(super) struct Room {
    held: Arc<AtomicU64>,
    bytes: u64,
}

impl Room {
    /// Takes room for `bytes`; `None` where more than `most` would be held.
    pub(super) fn take(held: &Arc<AtomicU64>, bytes: u64, most: u64) -> Option<Room> {
        let before = held.fetch_add(bytes, Ordering::Relaxed);
        let room = Room {
            held: held.clone(),
            bytes,
        };
        (before + bytes <= most).then_some(room)
    }

    /// Changes the room to what the body turned out to take.
    pub(super) fn resize(&mut self, bytes: u64) {
        self.held.fetch_add(bytes, Ordering::Relaxed);
        self.held.fetch_sub(self.bytes, Ordering::Relaxed);
        self.bytes = bytes;
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        self.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
