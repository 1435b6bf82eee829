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
    links: VecDeque<Link>,
    entries: usize,
    /// Changes to the newest list, by the revision from which they lead to it.
    computed: HashMap<StoreRevision, Arc<Change>>,
}

/// A change, and the digest of the list to which it applies.
#[derive(Debug)]
struct Link {
    change: Arc<Change>,
    digest: u64,
}

impl ChangeChain {
    /// Adds the change that led to the newest list; `digest` is that of the list before. Earlier
    /// changes are dropped where they do not lead to that list.
    pub(super) fn push(&mut self, change: Arc<Change>, digest: u64) {
        self.computed.clear();
        let last = self.links.back().map(|link| link.change.to());
        if last.is_some_and(|last| last != change.from()) {
            self.clear();
        }
        self.entries += change.len();
        self.links.push_back(Link { change, digest });
        while self.links.len() > 1 && self.is_too_long() {
            let dropped = self.links.pop_front();
            self.entries -= dropped.map_or(0, |link| link.change.len());
        }
    }

    /// Forgets all changes.
    pub(super) fn clear(&mut self) {
        self.links.clear();
        self.computed.clear();
        self.entries = 0;
    }

    /// Returns the change to the list of revision `to`, which is the newest, from the list that has
    /// the revision `from` or the digest `digest`; `None` where that list is not known. Lists that
    /// nodes have read themselves have revisions of their own, but mostly the same entries.
    pub(super) fn change(
        &mut self,
        from: StoreRevision,
        digest: Option<u64>,
        to: StoreRevision,
    ) -> Option<Arc<Change>> {
        if self.links.back()?.change.to() != to {
            return None;
        }
        let is_base = |link: &Link| match digest {
            Some(digest) => link.digest == digest,
            None => link.change.from() == from,
        };
        let first = self.links.iter().rposition(is_base)?;
        let base = self.links[first].change.from();
        if let Some(change) = self.computed.get(&base) {
            return Some(change.clone());
        }
        let mut rest = self.links.iter().skip(first);
        let mut change = rest.next()?.change.clone();
        for next in rest {
            change = Arc::new(change.followed_by(&next.change));
        }
        self.computed.insert(base, change.clone());
        Some(change)
    }

    fn is_too_long(&self) -> bool {
        self.links.len() > MAX_CHANGES || self.entries > MAX_ENTRIES
    }
}
