/*!
The counts of all nodes, as a candidate merges them.

Counts are cumulative for a sender, its incarnation, a window and an account, so that the larger of two
is the later one: a message that is repeated, late or overtaken by another one changes nothing. A
sender that restarted begins a new incarnation, and its earlier counts stay.
*/

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    ops::RangeInclusive,
};

use super::{WindowCounts, WindowNumber};
use crate::model::AccountId;

/// One run of a node's process.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct SenderKey {
    /// The name of the node.
    pub name: String,
    /// The incarnation of its process.
    pub incarnation: u64,
}

/// The counts of all nodes by window.
#[derive(Clone, Debug, Default)]
pub struct FleetCounts {
    windows: BTreeMap<WindowNumber, WindowTally>,
    /// The accounts that are known, so that counts share their names.
    accounts: HashSet<AccountId>,
}

/// The counts of one window.
#[derive(Clone, Debug, Default)]
struct WindowTally {
    senders: HashMap<SenderKey, BTreeMap<AccountId, u64>>,
    /// The sums over all senders, where the counts of the single ones were dropped.
    folded: Option<Folded>,
}

/// The sums of a window that no sender sends again.
#[derive(Clone, Debug)]
struct Folded {
    counts: BTreeMap<AccountId, u64>,
    nodes: usize,
}

impl FleetCounts {
    /// Merges the counts of a sender; those of windows outside of `accepted` and of folded windows are
    /// ignored. Returns the windows that changed, with the number of requests that are new.
    pub fn merge(
        &mut self,
        sender: &SenderKey,
        windows: &[WindowCounts],
        accepted: &RangeInclusive<WindowNumber>,
    ) -> Vec<(WindowNumber, u64)> {
        let mut changes = Vec::new();
        for counts in windows.iter().filter(|w| accepted.contains(&w.window)) {
            let new = self.merge_window(sender, counts);
            if new > 0 {
                changes.push((counts.window, new));
            }
        }
        changes
    }

    fn merge_window(&mut self, sender: &SenderKey, new: &WindowCounts) -> u64 {
        let tally = self.windows.entry(new.window).or_default();
        if tally.folded.is_some() {
            return 0;
        }
        let known = tally.senders.entry(sender.clone()).or_default();
        let mut added = 0;
        for (account, requests) in &new.counts {
            if !self.accounts.contains(account) {
                self.accounts.insert(account.clone());
            }
            let account = self.accounts.get(account).unwrap_or(account);
            let count = known.entry(account.clone()).or_default();
            added += requests.saturating_sub(*count);
            *count = (*count).max(*requests);
        }
        added
    }

    /// Returns the requests of each account in a window.
    pub fn totals(&self, window: WindowNumber) -> BTreeMap<AccountId, u64> {
        self.windows
            .get(&window)
            .map_or_else(BTreeMap::new, WindowTally::totals)
    }

    /// Returns the number of nodes that counted a request in a window.
    pub fn nodes(&self, window: WindowNumber) -> usize {
        self.windows.get(&window).map_or(0, WindowTally::nodes)
    }

    /// Returns the first window with counts.
    pub fn first(&self) -> Option<WindowNumber> {
        self.windows.keys().next().copied()
    }

    /// Keeps only the sums of windows before one, which no node sends again.
    pub fn fold_before(&mut self, window: WindowNumber) {
        for tally in self.windows.range_mut(..window).map(|(_, tally)| tally) {
            if tally.folded.is_none() {
                tally.folded = Some(Folded {
                    counts: tally.totals(),
                    nodes: tally.nodes(),
                });
                tally.senders = HashMap::new();
            }
        }
    }

    /// Forgets windows before one.
    pub fn forget_before(&mut self, window: WindowNumber) {
        let kept = self.windows.split_off(&window);
        let is_smaller = !self.windows.is_empty();
        self.windows = kept;
        if is_smaller {
            self.accounts
                .retain(|account| std::sync::Arc::strong_count(account) > 1);
        }
    }
}

impl WindowTally {
    fn totals(&self) -> BTreeMap<AccountId, u64> {
        if let Some(folded) = &self.folded {
            return folded.counts.clone();
        }
        let mut totals = BTreeMap::new();
        for (account, requests) in self.senders.values().flatten() {
            *totals.entry(account.clone()).or_default() += requests;
        }
        totals
    }

    fn nodes(&self) -> usize {
        if let Some(folded) = &self.folded {
            return folded.nodes;
        }
        let names: HashSet<&str> = self.senders.keys().map(|key| &*key.name).collect();
        names.len()
    }
}
