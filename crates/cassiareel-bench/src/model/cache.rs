//! The prefix cache of an engine and the events that it publishes.

use std::collections::{BTreeMap, HashMap, VecDeque};

use cassiareel::{
    backend::{CacheEvent, CacheEventKind, CacheEvents},
    kernel::Time,
};

/// Largest number of events that an engine keeps.
const MAX_EVENTS: usize = 50_000;

/// A bounded set of blocks that evicts the least recently used ones.
#[derive(Debug, Default)]
pub(super) struct Cache {
    max_blocks: usize,
    last_use: HashMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
    clock: u64,
    events: VecDeque<(Time, CacheEvent)>,
    sequence: u64,
}

impl Cache {
    /// Creates an empty cache of `max_blocks` blocks, whose first event has the number `sequence`.
    pub(super) fn new(max_blocks: usize, sequence: u64) -> Cache {
        Cache {
            max_blocks,
            sequence,
            ..Cache::default()
        }
    }

    /// Returns the number of the next event.
    pub(super) fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Counts the leading blocks that are cached, and marks them as used.
    pub(super) fn touch_prefix(&mut self, blocks: &[u64]) -> u32 {
        let cached = blocks
            .iter()
            .take_while(|block| self.last_use.contains_key(block))
            .count();
        for &block in &blocks[..cached] {
            self.touch(block);
        }
        cached as u32
    }

    /// Adds blocks, and evicts others where there is no room.
    pub(super) fn store(&mut self, now: Time, blocks: &[u64]) {
        for &block in blocks {
            if !self.last_use.contains_key(&block) {
                self.record(now, CacheEventKind::Stored, block);
            }
            self.touch(block);
        }
        while self.last_use.len() > self.max_blocks {
            let Some((_, block)) = self.by_last_use.pop_first() else {
                return;
            };
            self.last_use.remove(&block);
            self.record(now, CacheEventKind::Removed, block);
        }
    }

    /// Returns the events from number `since` on that occurred until `before`. Each is dropped with
    /// the probability `loss`.
    pub(super) fn events_since(
        &self,
        since: u64,
        before: Time,
        loss: f64,
        rng: &mut fastrand::Rng,
    ) -> CacheEvents {
        let visible: Vec<_> = self
            .events
            .iter()
            .filter(|(at, event)| event.sequence >= since && *at <= before)
            .map(|(_, event)| *event)
            .collect();
        let next = visible.last().map_or(since, |event| event.sequence + 1);
        let events = visible.into_iter().filter(|_| rng.f64() >= loss).collect();
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
            snapshot: Some(self.last_use.keys().copied().collect()),
            next: self.sequence,
        }
    }

    fn touch(&mut self, block: u64) {
        self.clock += 1;
        if let Some(previous) = self.last_use.insert(block, self.clock) {
            self.by_last_use.remove(&previous);
        }
        self.by_last_use.insert(self.clock, block);
    }

    fn record(&mut self, now: Time, kind: CacheEventKind, block: u64) {
        let event = CacheEvent {
            sequence: self.sequence,
            kind,
            block,
        };
        self.sequence += 1;
        self.events.push_back((now, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
