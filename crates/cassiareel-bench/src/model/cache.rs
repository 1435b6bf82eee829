//! An engine's prefix cache, with the events that it publishes.

use std::collections::{BTreeMap, HashMap, VecDeque};

use cassiareel::{
    backend::{CacheEvent, CacheEventKind, CacheEvents},
    kernel::Time,
};

/// Events that an engine still has.
const KEPT: usize = 50_000;

/// Blocks by their last use, bounded, the oldest evicted first.
#[derive(Debug, Default)]
pub(super) struct Cache {
    bound: usize,
    used: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    clock: u64,
    events: VecDeque<(Time, CacheEvent)>,
    sequence: u64,
}

impl Cache {
    /// An empty cache of a bound in blocks; its events go on after `sequence`.
    pub(super) fn new(bound: usize, sequence: u64) -> Cache {
        Cache {
            bound,
            sequence,
            ..Cache::default()
        }
    }

    /// The number of the next event.
    pub(super) fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Counts the leading blocks that are held, and uses them.
    pub(super) fn lead(&mut self, blocks: &[u64]) -> u32 {
        let held = blocks
            .iter()
            .take_while(|block| self.used.contains_key(block))
            .count();
        for &block in &blocks[..held] {
            self.touch(block);
        }
        held as u32
    }

    /// Holds blocks.
    pub(super) fn store(&mut self, now: Time, blocks: &[u64]) {
        for &block in blocks {
            if !self.used.contains_key(&block) {
                self.note(now, CacheEventKind::Stored, block);
            }
            self.touch(block);
        }
        while self.used.len() > self.bound {
            let Some((_, block)) = self.order.pop_first() else {
                return;
            };
            self.used.remove(&block);
            self.note(now, CacheEventKind::Removed, block);
        }
    }

    /// The events since a number and before a time, each lost with a chance.
    pub(super) fn since(
        &self,
        since: u64,
        before: Time,
        loss: f64,
        rng: &mut fastrand::Rng,
    ) -> CacheEvents {
        let seen: Vec<_> = self
            .events
            .iter()
            .filter(|(at, event)| event.sequence >= since && *at <= before)
            .map(|(_, event)| *event)
            .collect();
        let next = seen.last().map_or(since, |event| event.sequence + 1);
        let events = seen.into_iter().filter(|_| rng.f64() >= loss).collect();
        CacheEvents {
            events,
            snapshot: None,
            next,
        }
    }

    /// All that is held.
    pub(super) fn snapshot(&self) -> CacheEvents {
        CacheEvents {
            events: Vec::new(),
            snapshot: Some(self.used.keys().copied().collect()),
            next: self.sequence,
        }
    }

    fn touch(&mut self, block: u64) {
        self.clock += 1;
        if let Some(old) = self.used.insert(block, self.clock) {
            self.order.remove(&old);
        }
        self.order.insert(self.clock, block);
    }

    fn note(&mut self, now: Time, kind: CacheEventKind, block: u64) {
        let event = CacheEvent {
            sequence: self.sequence,
            kind,
            block,
        };
        self.sequence += 1;
        self.events.push_back((now, event));
        if self.events.len() > KEPT {
            self.events.pop_front();
        }
    }
}
