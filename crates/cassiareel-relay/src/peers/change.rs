/*!
What changed between two lists of backend servers.

A relay tells tens of nodes of each change at the same moment. Told in whole lists, a change of a few
entries in hundreds would fill the link of a small VM for seconds.
*/

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::{
    model::{BackendId, Entry, Revision},
    source::Listing,
};

/// The difference between two lists.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Change {
    /// The revision of the list to which it applies.
    from: Revision,
    /// The revision of the list that comes of it.
    to: Revision,
    /// Entries that are new or changed.
    #[serde(rename = "put")]
    changed: Vec<Entry>,
    /// Entries that are not in the list any more.
    #[serde(rename = "gone")]
    removed: Vec<BackendId>,
    /// The names of entries that could not be read.
    unreadable: Vec<String>,
}

impl Change {
    /// What makes `new` of `old`.
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

    /// The list that comes of `old`; `None` where it is not the one to which the change applies.
    pub(crate) fn apply(self, old: &Listing) -> Option<Listing> {
        if old.revision != self.from {
            return None;
        }
        let changed = self.changed.iter().map(|entry| &entry.id);
        let replaced: HashSet<&BackendId> = changed.chain(&self.removed).collect();
        let is_kept = |entry: &&Entry| !replaced.contains(&entry.id);
        let kept = old.entries.iter().filter(is_kept).cloned();
        Some(Listing {
            entries: kept.chain(self.changed.iter().cloned()).collect(),
            unreadable: self.unreadable,
            revision: self.to,
        })
    }
}
