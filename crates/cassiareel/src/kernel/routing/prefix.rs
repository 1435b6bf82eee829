/*!
An index of the prefixes that the caches of backend servers probably hold.

The index is a single table of fixed size, so that its memory is bounded whatever the engines
publish. An entry consists of the chained hash of a block, as the engine interface defines it, and
one bit for each backend server. One pass over the hashes of a prompt, which keeps the servers whose
bit is set, yields the number of leading blocks for every server, however many servers there are.

Readers and writers share atomics without a lock. A reader that visits an entry while it is replaced
by another block may get a wrong result. This costs a prefill but never yields a wrong answer, so
stronger synchronization is not needed.
*/

use std::{
    collections::HashSet,
    sync::atomic::{AtomicU32, AtomicU64, Ordering},
};

/// The index of a backend server in a [`PrefixIndex`].
pub type Slot = usize;

/// Entries per bucket, in any of which a hash may be stored.
const WAYS: usize = 8;
/// Bits per word.
const WORD_BITS: usize = u64::BITS as usize;
/// The hash value that marks an empty entry.
const EMPTY_HASH: u64 = 0;

/// A set-associative table of which server probably holds which block.
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
    /// Creates an index of about `blocks` blocks for `slots` backend servers.
    pub fn new(blocks: usize, slots: usize) -> PrefixIndex {
        let buckets = blocks.div_ceil(WAYS).next_power_of_two();
        let words = slots.div_ceil(WORD_BITS).max(1);
        let entries = buckets * WAYS;
        PrefixIndex {
            slots,
            words,
            buckets,
            hashes: (0..entries).map(|_| AtomicU64::new(EMPTY_HASH)).collect(),
            bits: (0..entries * words).map(|_| AtomicU64::new(0)).collect(),
            stamps: (0..entries).map(|_| AtomicU32::new(0)).collect(),
            clock: AtomicU32::new(1),
        }
    }

    /// Returns the number of backend servers that the index has room for.
    pub fn slots(&self) -> usize {
        self.slots
    }

    /// Returns the size of the index in bytes, which does not depend on its contents.
    pub fn bytes(&self) -> usize {
        self.hashes.len() * (size_of::<u64>() * (1 + self.words) + size_of::<u32>())
    }

    /// Records that a server holds the blocks. A slot past the end is ignored.
    pub fn insert(&self, slot: Slot, blocks: &[u64]) {
        if slot >= self.slots {
            return;
        }
        let stamp = self.clock.fetch_add(1, Ordering::Relaxed);
        for &block in blocks {
            let entry = self
                .find(block)
                .unwrap_or_else(|| self.replace_oldest(block));
            self.stamps[entry].store(stamp, Ordering::Relaxed);
            self.word(entry, slot)
                .fetch_or(mask(slot), Ordering::Relaxed);
        }
    }

    /// Records that a server no longer holds a block. A slot past the end is ignored.
    pub fn remove(&self, slot: Slot, block: u64) {
        if slot >= self.slots {
            return;
        }
        if let Some(entry) = self.find(block) {
            self.word(entry, slot)
                .fetch_and(!mask(slot), Ordering::Relaxed);
        }
    }

    /// Replaces all blocks of a server. A slot past the end is ignored.
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

    /// Counts the leading blocks of a prompt that each server probably holds, and stores them in
    /// `depths` by slot.
    ///
    /// # Panics
    ///
    /// Panics if `depths` is shorter than the number of slots.
    pub fn depths(&self, prefix: &[u64], depths: &mut [u32]) {
        depths[..self.slots].fill(0);
        let mut live = vec![u64::MAX; self.words];
        for (depth, &block) in prefix.iter().enumerate() {
            let Some(entry) = self.find(block) else {
                return set_final_depths(&live, depth as u32, depths);
            };
            let mut any = 0;
            for (w, live) in live.iter_mut().enumerate() {
                let held = self.bits[entry * self.words + w].load(Ordering::Relaxed);
                // The depth of a server is set once, where its run of blocks ends.
                set_depths(*live & !held, w * WORD_BITS, depth as u32, depths);
                *live &= held;
                any |= *live;
            }
            if any == 0 {
                return;
            }
        }
        set_final_depths(&live, prefix.len() as u32, depths);
    }

    /// Finds the entry of a block.
    fn find(&self, block: u64) -> Option<usize> {
        let hash = stored_hash(block);
        self.bucket(hash)
            .find(|&entry| self.hashes[entry].load(Ordering::Relaxed) == hash)
    }

    /// Replaces an empty or the least recently used entry of the bucket with an entry for the
    /// block.
    fn replace_oldest(&self, block: u64) -> usize {
        let hash = stored_hash(block);
        let now = self.clock.load(Ordering::Relaxed);
        let age = |entry: usize| now.wrapping_sub(self.stamps[entry].load(Ordering::Relaxed));
        let entry = self
            .bucket(hash)
            .max_by_key(|&entry| {
                let empty = self.hashes[entry].load(Ordering::Relaxed) == EMPTY_HASH;
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
        &self.bits[entry * self.words + slot / WORD_BITS]
    }
}

/// Returns the bit of a slot within its word.
fn mask(slot: Slot) -> u64 {
    1 << (slot % WORD_BITS)
}

/// Returns the hash of a block as stored. The value reserved for empty entries is mapped to 1.
fn stored_hash(block: u64) -> u64 {
    if block == EMPTY_HASH {
        1
    } else {
        block
    }
}

/// Sets the depth of the servers that hold every block so far.
fn set_final_depths(live: &[u64], depth: u32, depths: &mut [u32]) {
    for (w, &word) in live.iter().enumerate() {
        set_depths(word, w * WORD_BITS, depth, depths);
    }
}

/// Sets the depth of each server whose bit in `word` is set.
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
