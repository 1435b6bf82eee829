//! A prefix cache of limited size, and its events.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use cassiareel::backend::{CacheEvent, CacheEventKind, CacheEvents};
use xxhash_rust::xxh3::xxh3_64;

use super::CacheOptions;

/// The number of bytes of a prompt's text in a block.
const BLOCK_BYTES: usize = 64;
/// The number of tokens in a block.
pub(super) const BLOCK_TOKENS: u32 = 16;

/// Returns the chained hashes of a prompt's complete blocks.
pub(super) fn block_hashes(prompt: &str) -> Vec<u64> {
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .scan(0, |hash: &mut u64, block| {
            *hash = xxh3_64(&[&hash.to_le_bytes(), block].concat());
            Some(*hash)
        })
        .collect()
}

/// A least-recently-used cache of prefix blocks.
#[derive(Debug)]
pub(super) struct Cache {
    options: CacheOptions,
    last_used: HashMap<u64, u64>,
    // INVARIANT: the inverse of `last_used`.
    by_last_use: BTreeMap<u64, u64>,
    use_count: u64,
    event_log: VecDeque<(Duration, CacheEvent)>,
    next_sequence: u64,
    random: fastrand::Rng,
}

impl Cache {
    pub(super) fn new(options: CacheOptions, seed: u64) -> Cache {
        Cache {
            options,
            last_used: HashMap::new(),
            by_last_use: BTreeMap::new(),
            use_count: 0,
            event_log: VecDeque::new(),
            next_sequence: 0,
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Counts the leading blocks that are cached.
    pub(super) fn cached_prefix_len(&self, blocks: &[u64]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.last_used.contains_key(block))
            .count()
    }

    /// Stores a prompt's blocks, and evicts the least recently used ones above the limit.
    pub(super) fn store(&mut self, blocks: &[u64], now: Duration) {
        // Blocks are marked as used from last to first, so that a block is evicted before its prefix.
        for &block in blocks.iter().rev() {
            self.use_count += 1;
            self.by_last_use.insert(self.use_count, block);
            match self.last_used.insert(block, self.use_count) {
                Some(previous) => drop(self.by_last_use.remove(&previous)),
                None => self.record_event(CacheEventKind::Stored, block, now),
            }
        }
        while self.last_used.len() > self.options.max_blocks {
            let Some((_, block)) = self.by_last_use.pop_first() else {
                return;
            };
            self.last_used.remove(&block);
            self.record_event(CacheEventKind::Removed, block, now);
        }
    }

    /// Returns the events since a sequence number that are visible after the event lag.
    pub(super) fn events(&self, since: u64, now: Duration) -> CacheEvents {
        let is_visible = |(at, _): &&(Duration, CacheEvent)| *at + self.options.event_lag <= now;
        let events: Vec<_> = self
            .event_log
            .iter()
            .take_while(is_visible)
            .map(|(_, event)| *event)
            .filter(|event| event.sequence >= since)
            .collect();
        let next = events.last().map_or(since, |event| event.sequence + 1);
        CacheEvents {
            events,
            snapshot: None,
            next,
        }
    }

    /// Returns a snapshot of all cached blocks.
    pub(super) fn snapshot(&self) -> CacheEvents {
        CacheEvents {
            events: Vec::new(),
            snapshot: Some(self.last_used.keys().copied().collect()),
            next: self.next_sequence,
        }
    }

    fn record_event(&mut self, kind: CacheEventKind, block: u64, now: Duration) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        // A lost event leaves a gap in the sequence.
        if self.random.f64() < self.options.event_loss {
            return;
        }
        let event = CacheEvent {
            sequence,
            kind,
            block,
        };
        self.event_log.push_back((now, event));
        if self.event_log.len() > self.options.max_events {
            self.event_log.pop_front();
        }
    }
}
