/*!
The difference between two lists of backend servers.

A forwarder sends each change to tens of nodes at the same moment. If it sent whole lists, a change
of a few entries in hundreds would saturate the link of a small VM for seconds.
*/

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::{
    model::{BackendId, Entry, StoreRevision},
    source::Listing,
};

/// The difference between two lists.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Change {
    /// The revision of the list to which the change applies.
    from: StoreRevision,
    /// The revision of the resulting list.
    to: StoreRevision,
    /// Entries that are new or changed.
    #[serde(rename = "put")]
    changed: Vec<Entry>,
    /// Entries that are no longer in the list.
    #[serde(rename = "gone")]
    removed: Vec<BackendId>,
    /// The names of entries of the resulting list that could not be read.
    unreadable: Vec<String>,
}

impl Change {
    /// Returns the change that turns `old` into `new`.
    pub(crate) fn between(old: &Listing, new: &Listing) -> Change {
        let known: HashMap<&BackendId, &Entry> = old.entries.iter().map(|e| (&e.id, e)).collect();
        let kept: HashSet<&BackendId> = new.entries.iter().map(|entry| &entry.id).collect();
        let differs = |entry: &&Entry| known.get(&entry.id) != Some(entry);
        Change {
            from: old.revision,
            to: new.revision,
            changed: new.entries.iter().filter(differs).cloned().collect(),
            removed: known
                .into_keys()
                .filter(|id| !kept.contains(id))
                .cloned()
                .collect(),
            unreadable: new.unreadable.clone(),
        }
    }

    /// Returns the list that results from applying the change to `old`; `None` where `old` is not
    /// the list to which the change applies.
    pub(crate) fn apply(&self, old: &Listing) -> Option<Listing> {
        if old.revision != self.from {
            return None;
        }
        let changed = self.changed.iter().map(|entry| &entry.id);
        let replaced: HashSet<&BackendId> = changed.chain(&self.removed).collect();
        let is_kept = |entry: &&Entry| !replaced.contains(&entry.id);
        let kept = old.entries.iter().filter(is_kept).cloned();
        Some(Listing {
            entries: kept.chain(self.changed.iter().cloned()).collect(),
            unreadable: self.unreadable.clone(),
            revision: self.to,
        })
    }
}
