//! A prefix cache of limited memory, and its events.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use cassiareel::backend::{CacheEvent, CacheEventKind, CacheEvents};
use xxhash_rust::xxh3::xxh3_64;

use super::CacheOptions;

/// Bytes of a prompt's text in a block.
const BLOCK_BYTES: usize = 64;
/// Tokens in a block.
pub(super) const BLOCK_TOKENS: u32 = 16;

/// The chained hashes of a prompt's whole blocks.
pub(super) fn blocks(prompt: &str) -> Vec<u64> {
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
    used: HashMap<u64, u64>,
    // INVARIANT: the inverse of `used`.
    oldest: BTreeMap<u64, u64>,
    tick: u64,
    log: VecDeque<(Duration, CacheEvent)>,
    next: u64,
    random: fastrand::Rng,
}

impl Cache {
    pub(super) fn new(options: CacheOptions, seed: u64) -> Cache {
        Cache {
            options,
            used: HashMap::new(),
            oldest: BTreeMap::new(),
            tick: 0,
            log: VecDeque::new(),
            next: 0,
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Counts the leading blocks that are held.
    pub(super) fn hits(&self, blocks: &[u64]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.used.contains_key(block))
            .count()
    }

    /// Holds a prompt's blocks, and evicts others where there is no room.
    pub(super) fn store(&mut self, blocks: &[u64], now: Duration) {
        // The first block is used last, so that a prefix outlives what follows it.
        for &block in blocks.iter().rev() {
            self.tick += 1;
            self.oldest.insert(self.tick, block);
            match self.used.insert(block, self.tick) {
                Some(before) => drop(self.oldest.remove(&before)),
                None => self.tell(CacheEventKind::Stored, block, now),
            }
        }
        while self.used.len() > self.options.max_blocks {
            let Some((_, block)) = self.oldest.pop_first() else {
                return;
            };
            self.used.remove(&block);
            self.tell(CacheEventKind::Removed, block, now);
        }
    }

    /// The events since a sequence number, as far as they are told by now.
    pub(super) fn events(&self, since: u64, now: Duration) -> CacheEvents {
        let told = |(at, _): &&(Duration, CacheEvent)| *at + self.options.event_lag <= now;
        let events: Vec<_> = self
            .log
            .iter()
            .take_while(told)
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

    /// All blocks that are held.
    pub(super) fn snapshot(&self) -> CacheEvents {
        CacheEvents {
            events: Vec::new(),
            snapshot: Some(self.used.keys().copied().collect()),
            next: self.next,
        }
    }

    fn tell(&mut self, kind: CacheEventKind, block: u64, now: Duration) {
        let sequence = self.next;
        self.next += 1;
        // A lost event leaves a hole in the sequence.
        if self.random.f64() < self.options.event_loss {
            return;
        }
        let event = CacheEvent {
            sequence,
            kind,
            block,
        };
        self.log.push_back((now, event));
        if self.log.len() > self.options.max_events {
            self.log.pop_front();
        }
    }
}
