//! The requests that one node counted in recent windows.

use std::collections::BTreeMap;

use super::{WindowCounts, WindowNumber};
use crate::model::AccountId;

/// The largest number of counts in one message, which bounds the size of a message at about 100 kB.
const MAX_COUNTS: usize = 4096;

/// The cumulative counts of one node's recent windows.
#[derive(Clone, Debug, Default)]
pub struct NodeCounts {
    sequence: u64,
    windows: BTreeMap<WindowNumber, BTreeMap<AccountId, Count>>,
}

/// The requests of a client account in a window.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    requests: u64,
    /// The sequence number of the last change.
    sequence: u64,
}

impl NodeCounts {
    /// Counts a request.
    pub fn add(&mut self, window: WindowNumber, account: AccountId) {
        self.sequence += 1;
        let counts = self.windows.entry(window).or_default();
        let count = counts.entry(account).or_default();
        count.requests += 1;
        count.sequence = self.sequence;
    }

    /// Forgets windows before one.
    pub fn forget_before(&mut self, window: WindowNumber) {
        self.windows = self.windows.split_off(&window);
    }

    /// Returns the counts that changed after the sequence number `known` and that `is_wanted`, by
    /// their window and sequence number, and the sequence number up to which they go.
    pub fn since<F>(&self, known: u64, is_wanted: F) -> (Vec<WindowCounts>, u64)
    where
        F: Fn(WindowNumber, u64) -> bool,
    {
        let mut changed = Vec::new();
        for (window, counts) in &self.windows {
            let new = counts
                .iter()
                .filter(|(_, count)| count.sequence > known && is_wanted(*window, count.sequence));
            changed.extend(new.map(|(account, count)| (count, *window, account)));
        }
        changed.sort_unstable_by_key(|(count, ..)| count.sequence);
        let sequence = match changed.get(MAX_COUNTS - 1) {
            Some((last, ..)) if changed.len() > MAX_COUNTS => last.sequence,
            _ => self.sequence,
        };
        changed.truncate(MAX_COUNTS);
        let mut windows: BTreeMap<WindowNumber, Vec<(AccountId, u64)>> = BTreeMap::new();
        for (count, window, account) in changed {
            let counts = windows.entry(window).or_default();
            counts.push((account.clone(), count.requests));
        }
        let windows = windows
            .into_iter()
            .map(|(window, counts)| WindowCounts { window, counts });
        (windows.collect(), sequence)
    }
}
