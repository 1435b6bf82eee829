/*!
Beliefs about which backend server holds which prefix in its cache.

The index is one table of fixed size, so that its memory is bounded whatever the engines publish.
An entry is the chained hash of a block, as the engine interface defines it, and one bit for each
backend server. Walking a prompt's hashes from the first and keeping the servers whose bit is set
gives each server's leading blocks in one pass, whatever the count of servers.

Readers and writers meet on atomics without a lock. A reader that meets an entry while it is taken
over for another block may believe something false; a false belief costs a prefill, and never a
wrong answer, so that nothing stronger is needed.
*/

use std::{
    collections::HashSet,
    sync::atomic::{AtomicU32, AtomicU64, Ordering},
};

/// A backend server's place in a [`PrefixIndex`].
pub type Slot = usize;

/// Entries that a hash may lie in.
const WAYS: usize = 8;
/// Bits of a word.
const WORD: usize = u64::BITS as usize;
/// The hash that marks an empty entry.
const EMPTY: u64 = 0;

/// Which server is believed to hold which block.
///
/// # Examples
///
/// ```
/// use cassiareel::kernel::routing::PrefixIndex;
///
/// let index = PrefixIndex::new(1024, 36);
/// index.insert(3, &[11, 12, 13]);
/// index.insert(7, &[11]);
/// let mut depths = vec![0; 36];
/// index.depths(&[11, 12, 99], &mut depths);
/// assert_eq!((depths[3], depths[7], depths[0]), (2, 1, 0));
/// ```
#[derive(Debug)]
pub struct PrefixIndex {
    slots: usize,
    words: usize,
    buckets: usize,
    hashes: Box<[AtomicU64]>,
    bits: Box<[AtomicU64]>,
    stamps: Box<[AtomicU32]>,
    clock: AtomicU32,
}

impl PrefixIndex {
    /// Makes an index of about `blocks` blocks over `slots` backend servers.
    pub fn new(blocks: usize, slots: usize) -> PrefixIndex {
        let buckets = blocks.div_ceil(WAYS).next_power_of_two();
        let words = slots.div_ceil(WORD).max(1);
        let entries = buckets * WAYS;
        PrefixIndex {
            slots,
            words,
            buckets,
            hashes: (0..entries).map(|_| AtomicU64::new(EMPTY)).collect(),
            bits: (0..entries * words).map(|_| AtomicU64::new(0)).collect(),
            stamps: (0..entries).map(|_| AtomicU32::new(0)).collect(),
            clock: AtomicU32::new(1),
        }
    }

    /// The count of backend servers that there is room for.
    pub fn slots(&self) -> usize {
        self.slots
    }

    /// Bytes that the index takes, whatever it holds.
    pub fn bytes(&self) -> usize {
        self.hashes.len() * (size_of::<u64>() * (1 + self.words) + size_of::<u32>())
    }

    /// Notes that a server holds blocks; a slot past the end is ignored.
    pub fn insert(&self, slot: Slot, blocks: &[u64]) {
        if slot >= self.slots {
            return;
        }
        let stamp = self.clock.fetch_add(1, Ordering::Relaxed);
        for &block in blocks {
            let entry = self.find(block).unwrap_or_else(|| self.take(block));
            self.stamps[entry].store(stamp, Ordering::Relaxed);
            self.word(entry, slot)
                .fetch_or(mask(slot), Ordering::Relaxed);
        }
    }

    /// Notes that a server holds a block no more.
    pub fn remove(&self, slot: Slot, block: u64) {
        if slot >= self.slots {
            return;
        }
        if let Some(entry) = self.find(block) {
            self.word(entry, slot)
                .fetch_and(!mask(slot), Ordering::Relaxed);
        }
    }

    /// Replaces all that is believed of a server.
    pub fn replace(&self, slot: Slot, blocks: &[u64]) {
        if slot >= self.slots {
            return;
        }
        let held: HashSet<u64> = blocks.iter().copied().collect();
        for (entry, hash) in self.hashes.iter().enumerate() {
            if !held.contains(&hash.load(Ordering::Relaxed)) {
                self.word(entry, slot)
                    .fetch_and(!mask(slot), Ordering::Relaxed);
            }
        }
        self.insert(slot, blocks);
    }

    /// Counts, for each slot, the leading blocks of a prompt that its server is believed to hold.
    ///
    /// # Panics
    ///
    /// Panics when `depths` is shorter than the count of slots.
    pub fn depths(&self, prefix: &[u64], depths: &mut [u32]) {
        depths[..self.slots].fill(0);
        let mut live = vec![u64::MAX; self.words];
        for (depth, &block) in prefix.iter().enumerate() {
            let Some(entry) = self.find(block) else {
                return settle_depths(&live, depth as u32, depths);
            };
            let mut any = 0;
            for (w, live) in live.iter_mut().enumerate() {
                let held = self.bits[entry * self.words + w].load(Ordering::Relaxed);
                // Depths are set where a server's row of blocks ends, not at each block.
                set_depths(*live & !held, w * WORD, depth as u32, depths);
                *live &= held;
                any |= *live;
            }
            if any == 0 {
                return;
            }
        }
        settle_depths(&live, prefix.len() as u32, depths);
    }

    /// Finds a block's entry.
    fn find(&self, block: u64) -> Option<usize> {
        let hash = stored(block);
        self.bucket(hash)
            .find(|&entry| self.hashes[entry].load(Ordering::Relaxed) == hash)
    }

    /// Takes the entry of its bucket that was used longest ago for a block.
    fn take(&self, block: u64) -> usize {
        let hash = stored(block);
        let now = self.clock.load(Ordering::Relaxed);
        let age = |entry: usize| now.wrapping_sub(self.stamps[entry].load(Ordering::Relaxed));
        let entry = self
            .bucket(hash)
            .max_by_key(|&entry| {
                let empty = self.hashes[entry].load(Ordering::Relaxed) == EMPTY;
                (empty, age(entry))
            })
            .unwrap_or(0);
        for w in 0..self.words {
            self.bits[entry * self.words + w].store(0, Ordering::Relaxed);
        }
        self.hashes[entry].store(hash, Ordering::Relaxed);
        entry
    }

    fn bucket(&self, hash: u64) -> std::ops::Range<usize> {
        let bucket = (hash as usize) & (self.buckets - 1);
        bucket * WAYS..(bucket + 1) * WAYS
    }

    fn word(&self, entry: usize, slot: Slot) -> &AtomicU64 {
        &self.bits[entry * self.words + slot / WORD]
    }
}

/// The bit of a slot within its word.
fn mask(slot: Slot) -> u64 {
    1 << (slot % WORD)
}

/// A block's hash as it is kept; the mark of an empty entry is moved aside.
fn stored(block: u64) -> u64 {
    if block == EMPTY {
        1
    } else {
        block
    }
}

/// Sets the depth of the servers that hold every block so far.
fn settle_depths(live: &[u64], depth: u32, depths: &mut [u32]) {
    for (w, &word) in live.iter().enumerate() {
        set_depths(word, w * WORD, depth, depths);
    }
}

/// Sets the depth of each server whose bit is set.
fn set_depths(mut word: u64, base: usize, depth: u32, depths: &mut [u32]) {
    if depth == 0 {
        return;
    }
    while word != 0 {
        let slot = base + word.trailing_zeros() as usize;
        if slot < depths.len() {
            depths[slot] = depth;
        }
        word &= word - 1;
    }
}
