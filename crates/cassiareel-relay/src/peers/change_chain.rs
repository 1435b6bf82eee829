/*!
The recent changes of the list of backend servers, from which the difference to an earlier list is
computed.

A node that was suspended or cut off for a while holds a list that is many reads old. Only changes are
kept of those reads, since whole lists would take too much of a small node's memory. What is computed
for one querying node is kept for the others, most of which hold the same list.
*/

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use super::change::Change;
use crate::model::StoreRevision;

/// The largest number of changes that are kept: about two minutes of reads, where each differs.
const MAX_CHANGES: usize = 128;

/// The largest number of entries in all changes that are kept.
const MAX_ENTRIES: usize = 4096;

/// Successive changes, the newest last.
#[derive(Debug, Default)]
pub(super) struct ChangeChain {
    changes: VecDeque<Arc<Change>>,
    entries: usize,
    /// Changes to the newest list, by the revision from which they lead to it.
    computed: HashMap<StoreRevision, Arc<Change>>,
}

impl ChangeChain {
    /// Adds the change that led to the newest list. Earlier ones are dropped where they do not lead
    /// to the list to which it applies.
    pub(super) fn push(&mut self, change: Arc<Change>) {
        self.computed.clear();
        if self
            .changes
            .back()
            .is_some_and(|last| last.to() != change.from())
        {
            self.clear();
        }
        self.entries += change.len();
        self.changes.push_back(change);
        while self.changes.len() > 1 && self.is_too_long() {
            let dropped = self.changes.pop_front();
            self.entries -= dropped.map_or(0, |change| change.len());
        }
    }

    /// Forgets all changes.
    pub(super) fn clear(&mut self) {
        self.changes.clear();
        self.computed.clear();
        self.entries = 0;
    }

    /// Returns the change that turns the list of revision `from` into that of revision `to`, which is
    /// the newest; `None` where it is not known.
    pub(super) fn change(&mut self, from: StoreRevision, to: StoreRevision) -> Option<Arc<Change>> {
        if self.changes.back()?.to() != to {
            return None;
        }
        if let Some(change) = self.computed.get(&from) {
            return Some(change.clone());
        }
        let first = self
            .changes
            .iter()
            .position(|change| change.from() == from)?;
        let mut rest = self.changes.iter().skip(first);
        let mut change = rest.next()?.clone();
        for next in rest {
            change = Arc::new(change.followed_by(next));
        }
        self.computed.insert(from, change.clone());
        Some(change)
    }

    fn is_too_long(&self) -> bool {
        self.changes.len() > MAX_CHANGES || self.entries > MAX_ENTRIES
    }
}
