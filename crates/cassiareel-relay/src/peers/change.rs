/*!
The difference between two lists of backend servers.

A forwarder sends each change to tens of nodes at the same moment. If it sent whole lists, a change
of a few entries in hundreds would saturate the link of a small VM for seconds.
*/

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt};

use super::{
    list_error::{check_digest, BaseSnafu, ListError, PackedSnafu},
    packed_entries::PackedEntries,
};
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
    /// The revision that no entry of the resulting list is newer than.
    #[serde(skip)]
    latest: StoreRevision,
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
            latest: new.newest(),
        }
    }

    /// Returns the change that has the effect of this one and of `next` after it.
    pub(crate) fn followed_by(&self, next: &Change) -> Change {
        let changed = next.changed.iter().map(|entry| &entry.id);
        let replaced: HashSet<&BackendId> = changed.clone().chain(&next.removed).collect();
        let added: HashSet<&BackendId> = changed.collect();
        let kept = self.changed.iter();
        let kept = kept.filter(|entry| !replaced.contains(&entry.id));
        let gone = self.removed.iter().filter(|id| !added.contains(id));
        let gone: HashSet<&BackendId> = gone.chain(&next.removed).collect();
        Change {
            from: self.from,
            to: next.to,
            changed: kept.chain(&next.changed).cloned().collect(),
            removed: gone.into_iter().cloned().collect(),
            unreadable: next.unreadable.clone(),
            latest: next.latest,
        }
    }

    /// Returns the revision of the list to which the change applies.
    pub(super) fn from(&self) -> StoreRevision {
        self.from
    }

    /// Returns the revision of the resulting list.
    pub(super) fn to(&self) -> StoreRevision {
        self.to
    }

    /// Returns the number of entries that are new, changed or removed.
    pub(super) fn len(&self) -> usize {
        self.changed.len() + self.removed.len()
    }

    /// Returns the change of a list that has the entries of `new`, but an earlier revision.
    pub(super) fn of_revision(from: StoreRevision, new: &Listing) -> Change {
        Change {
            from,
            to: new.revision,
            changed: Vec::new(),
            removed: Vec::new(),
            unreadable: new.unreadable.clone(),
            latest: new.newest(),
        }
    }

    /// Encodes the change for a node whose list has the entries to which it applies, at the revision
    /// `from`; `digest` is that of the resulting list.
    pub(super) fn pack(&self, from: StoreRevision, digest: u64) -> PackedChange {
        PackedChange {
            from,
            to: self.to,
            latest: self.latest,
            changed: PackedEntries::pack(&self.changed),
            removed: self.removed.clone(),
            unreadable: self.unreadable.clone(),
            digest,
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
            latest: self.latest,
        })
    }
}

/// An encoded change.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct PackedChange {
    from: StoreRevision,
    to: StoreRevision,
    latest: StoreRevision,
    changed: PackedEntries,
    removed: Vec<BackendId>,
    unreadable: Vec<String>,
    /// The digest of the resulting list.
    digest: u64,
}

impl PackedChange {
    /// Returns the digest of the resulting list.
    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    /// Applies the change to `old`; returns the resulting list and the decoded change.
    ///
    /// # Errors
    ///
    /// Fails where the change can't be decoded, or does not lead from `old` to the sender's list.
    pub(super) fn apply(&self, old: &Listing) -> Result<(Listing, Change), ListError> {
        let change = Change {
            from: self.from,
            to: self.to,
            latest: self.latest,
            changed: self.changed.unpack().context(PackedSnafu)?,
            removed: self.removed.clone(),
            unreadable: self.unreadable.clone(),
        };
        let new = change.apply(old).context(BaseSnafu {
            from: self.from,
            held: old.revision,
        })?;
        check_digest(&new, self.digest)?;
        Ok((new, change))
    }
}
