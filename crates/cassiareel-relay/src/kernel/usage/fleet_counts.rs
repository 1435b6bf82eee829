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

use serde::{Deserialize, Serialize};

use super::{History, NumberedCounts, WindowCounts, WindowNumber};
use crate::model::AccountId;

/// One run of a node's process.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
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

    /// Returns the counts of windows after one.
    pub fn history(&self, fixed: Option<WindowNumber>) -> History {
        let mut accounts = AccountTable::default();
        let (mut counts, mut sums) = (Vec::new(), Vec::new());
        let first = fixed.map_or(0, |fixed| fixed + 1);
        for (window, tally) in self.windows.range(first..) {
            if let Some(folded) = &tally.folded {
                sums.push((*window, accounts.number(&folded.counts)));
            }
            for (sender, requests) in &tally.senders {
                counts.push((*window, sender.clone(), accounts.number(requests)));
            }
        }
        History {
            accounts: accounts.names,
            counts,
            sums,
            fixed,
        }
    }

    /// Merges what another candidate has. Of two sums of one window the larger is closer to the truth,
    /// since both lack counts at most.
    pub fn merge_history(&mut self, history: &History, accepted: &RangeInclusive<WindowNumber>) {
        for (window, sender, counts) in &history.counts {
            let counts = WindowCounts {
                window: *window,
                counts: history.named(counts).collect(),
            };
            self.merge(sender, &[counts], accepted);
        }
        for (window, sums) in history.sums.iter().filter(|(w, _)| accepted.contains(w)) {
            let tally = self.windows.entry(*window).or_default();
            tally.fold();
            let Some(folded) = &mut tally.folded else {
                continue;
            };
            for (account, requests) in history.named(sums) {
                let sum = folded.counts.entry(account).or_default();
                *sum = (*sum).max(requests);
            }
        }
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
            tally.fold();
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

/// Numbers client accounts.
#[derive(Debug, Default)]
struct AccountTable {
    names: Vec<AccountId>,
    places: HashMap<AccountId, u32>,
}

impl AccountTable {
    /// Returns counts with the place of each account in the table.
    fn number(&mut self, counts: &BTreeMap<AccountId, u64>) -> NumberedCounts {
        let number = |(account, requests): (&AccountId, &u64)| (self.place(account), *requests);
        counts.iter().map(number).collect()
    }

    fn place(&mut self, account: &AccountId) -> u32 {
        let next = u32::try_from(self.names.len()).unwrap_or(u32::MAX);
        let names = &mut self.names;
        let place = self.places.entry(account.clone()).or_insert_with(|| {
            names.push(account.clone());
            next
        });
        *place
    }
}

impl WindowTally {
    /// Keeps only the sums.
    fn fold(&mut self) {
        if self.folded.is_some() {
            return;
        }
        self.folded = Some(Folded {
            counts: self.totals(),
            nodes: self.nodes(),
        });
        self.senders = HashMap::new();
    }

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
