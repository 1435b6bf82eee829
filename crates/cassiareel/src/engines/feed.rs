//! One backend server's cache events, in the order of their sequence numbers.

use crate::backend::{CacheEventKind, CacheEvents};
use crate::kernel::routing::{PrefixIndex, Slot};

/// What to ask an engine for next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fetch {
    /// Events from a sequence number on.
    Since(u64),
    /// All that it holds, since events were lost.
    Full,
}

/// Follows an engine's cache events and sees holes in them.
///
/// Events may come late, twice and with holes. One met twice is passed over by its number. A hole
/// leaves the beliefs as they are, since most are still true, and asks for a snapshot.
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
    /// What to ask for next.
    pub fn fetch(&self) -> Fetch {
        self.fetch
    }

    /// Holes seen so far.
    pub fn gaps(&self) -> u64 {
        self.gaps
    }

    /// Takes an answer and brings the index up to date.
    pub fn apply(&mut self, slot: Slot, answer: &CacheEvents, index: &PrefixIndex) {
        if let Some(blocks) = &answer.snapshot {
            index.replace(slot, blocks);
            self.next = answer.next;
            self.fetch = Fetch::Since(self.next);
            return;
        }
        // A number that goes back means that the engine has started anew.
        let mut gap = answer.next < self.next;
        for event in &answer.events {
            if event.sequence < self.next {
                continue;
            }
            gap |= event.sequence > self.next;
            self.next = event.sequence + 1;
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
