/*!
The windows that are fixed.

A window is in the ledger only once the store has shown it: in a read, or by its answer to the write.
What is in the ledger is never replaced, so that one window is never reported with two different
counts.
*/

use std::collections::BTreeMap;

use super::{FixedWindow, WindowNumber};

/// The number of last windows that are kept.
const MAX_WINDOWS: usize = 24;

/// The number of windows that may wait for the platform to accept them. While there are so many, no more
/// are fixed, so that the object in the store stays small; their counts stay with the candidates.
const MAX_UNANSWERED: usize = 24;

/// The number of counts of accepted windows that are kept in the store, which bounds the size of the
/// object at about 200 kB.
const MAX_STORED_COUNTS: usize = 8192;

/// The windows that are fixed, as far as this node knows.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    windows: BTreeMap<WindowNumber, FixedWindow>,
}

/// What a read of the store showed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LedgerChanges {
    /// The windows that were not known.
    pub added: Vec<WindowNumber>,
    /// The windows that the store has with other counts; they are reported no more.
    pub differing: Vec<WindowNumber>,
}

impl Ledger {
    /// Adds windows that the store has.
    pub fn merge(&mut self, stored: Vec<FixedWindow>) -> LedgerChanges {
        let mut changes = LedgerChanges::default();
        for window in stored {
            let number = window.window;
            match self.windows.get_mut(&number) {
                None => {
                    self.windows.insert(number, window);
                    changes.added.push(number);
                }
                Some(known) => {
                    if known.counts != window.counts {
                        known.is_answered = true;
                        changes.differing.push(number);
                    }
                    known.is_answered |= window.is_answered;
                }
            }
        }
        self.trim();
        changes
    }

    /// Returns the last window that is fixed.
    pub fn last(&self) -> Option<WindowNumber> {
        self.windows.keys().next_back().copied()
    }

    /// Returns a window.
    pub fn get(&self, window: WindowNumber) -> Option<&FixedWindow> {
        self.windows.get(&window)
    }

    /// Returns the windows that the platform has not accepted yet, the oldest first.
    pub fn unanswered(&self) -> impl Iterator<Item = &FixedWindow> {
        self.windows.values().filter(|window| !window.is_answered)
    }

    /// Reports whether more windows may be fixed.
    pub fn may_fix(&self) -> bool {
        self.unanswered().count() < MAX_UNANSWERED
    }

    /// Records that the platform accepted a window's report.
    pub fn mark_answered(&mut self, window: WindowNumber) {
        if let Some(window) = self.windows.get_mut(&window) {
            window.is_answered = true;
        }
    }

    /// Returns what the store is to hold in order to fix the windows in `new`: these, those that are
    /// not accepted yet, and the last accepted ones.
    pub fn with_new(&self, new: &[FixedWindow]) -> Vec<FixedWindow> {
        let all = self.windows.values().chain(new);
        let mut last: Vec<&FixedWindow> = all.collect();
        last.sort_by_key(|window| std::cmp::Reverse(window.window));
        let mut counts = 0;
        let mut kept: Vec<FixedWindow> = Vec::new();
        for window in last {
            counts += window.counts.len();
            let is_small = kept.len() < MAX_WINDOWS && counts <= MAX_STORED_COUNTS;
            if kept.is_empty() || is_small || !window.is_answered {
                kept.push(window.clone());
            }
        }
        kept.reverse();
        kept
    }

    fn trim(&mut self) {
        let excess = self.windows.len().saturating_sub(MAX_WINDOWS);
        let answered = self.windows.values().filter(|window| window.is_answered);
        let old: Vec<WindowNumber> = answered.map(|w| w.window).take(excess).collect();
        let last = self.last();
        for window in old.into_iter().filter(|window| Some(*window) != last) {
            self.windows.remove(&window);
        }
    }
}
