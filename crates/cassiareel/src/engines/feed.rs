//! Processing of one backend server's cache events in the order of their sequence numbers.

use crate::backend::{CacheEventKind, CacheEvents};
use crate::kernel::routing::{PrefixIndex, Slot};

/// What to request from an engine next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fetch {
    /// The events from a sequence number on.
    Since(u64),
    /// A snapshot of the whole cache, since events were lost.
    Full,
}

/// Applies an engine's cache events and detects gaps in them.
///
/// Events may be late, duplicated or missing. Duplicates are recognised by their sequence number
/// and skipped. After a gap the index is kept, since most of it is still correct, and a snapshot is
/// requested.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CacheFeed {
    next: u64,
    fetch: Fetch,
    gaps: u64,
}

impl Default for CacheFeed {
    fn default() -> CacheFeed {
        CacheFeed {
            next: 0,
            fetch: Fetch::Full,
            gaps: 0,
        }
    }
}

impl CacheFeed {
    /// Returns what to request next.
    pub fn fetch(&self) -> Fetch {
        self.fetch
    }

    /// Returns the number of gaps detected so far.
    pub fn gaps(&self) -> u64 {
        self.gaps
    }

    /// Applies an answer to the index.
    pub fn apply(&mut self, slot: Slot, answer: &CacheEvents, index: &PrefixIndex) {
        if let Some(blocks) = &answer.snapshot {
            index.replace(slot, blocks);
            self.next = answer.next;
            self.fetch = Fetch::Since(self.next);
            return;
        }
        // A lower sequence number means that the engine has restarted.
        let mut gap = answer.next < self.next;
        for event in &answer.events {
            if event.sequence < self.next {
                continue;
            }
            gap |= event.sequence > self.next;
            self.next = event.sequence.saturating_add(1);
            match event.kind {
                CacheEventKind::Stored => index.insert(slot, &[event.block]),
                CacheEventKind::Removed => index.remove(slot, event.block),
            }
        }
        gap |= answer.next > self.next;
        self.next = answer.next;
        self.gaps += u64::from(gap);
        self.fetch = if gap {
            Fetch::Full
        } else {
            Fetch::Since(self.next)
        };
    }
}
