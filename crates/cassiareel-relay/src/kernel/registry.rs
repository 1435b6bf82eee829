/*!
The backend servers that a node uses, from the store's registry.

Entries expire while the store is unavailable, since their owners can't renew them. Entries that are
missing right after its return are therefore kept for a short time, until running owners have had
time to register again. An entry that is removed at any other time is dropped at once.
*/

use std::{collections::HashMap, time::Duration};

use crate::{
    clock::Moment,
    model::{BackendId, Entry, Phase, StoreRevision},
    source::Listing,
};

/// The shortest time without an answer of the store in which entries may have expired.
const MIN_OUTAGE: Duration = Duration::from_millis(2500);

/// How long missing entries are kept after an outage.
const RETURN_GRACE: Duration = Duration::from_secs(2);

/// The entries in use.
#[derive(Debug, Default)]
pub struct Registry {
    entries: HashMap<BackendId, KnownEntry>,
    revision: Option<StoreRevision>,
    last_answer: Option<Moment>,
    returned_at: Option<Moment>,
}

#[derive(Debug)]
struct KnownEntry {
    entry: Entry,
    missing: bool,
}

/// The changes that a new listing made to the registry.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RegistryChanges {
    /// The ids of new and changed entries.
    pub changed: Vec<BackendId>,
    /// The ids of removed entries.
    pub removed: Vec<BackendId>,
}

impl RegistryChanges {
    /// Reports whether there are no changes.
    pub fn is_empty(&self) -> bool {
        self.changed.is_empty() && self.removed.is_empty()
    }
}

impl Registry {
    /// Applies a complete listing whose read began at `now`. A listing of a revision older than the
    /// known one changes nothing.
    pub fn apply(&mut self, listing: &Listing, now: Moment) -> RegistryChanges {
        self.record_answer(now);
        let mut changes = RegistryChanges::default();
        if !self.advance(listing.revision) {
            return changes;
        }
        for known in self.entries.values_mut() {
            known.missing = true;
        }
        for entry in &listing.entries {
            self.insert(entry, &mut changes);
        }
        self.sweep(now, &mut changes);
        changes
    }

    /// Returns the entries in use.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().map(|known| &known.entry)
    }

    /// Returns the known revision; `None` before the first listing.
    pub fn revision(&self) -> Option<StoreRevision> {
        self.revision
    }

    /// Advances to a revision; returns `false` if a later one is known.
    fn advance(&mut self, revision: StoreRevision) -> bool {
        if self.revision.is_some_and(|known| revision < known) {
            return false;
        }
        self.revision = Some(revision);
        true
    }

    /// Records an answer of the store, and its return if the last answer is long ago.
    fn record_answer(&mut self, now: Moment) {
        let outage = self
            .last_answer
            .is_some_and(|last| now.saturating_sub(last) > MIN_OUTAGE);
        if outage {
            self.returned_at = Some(now);
        }
        self.last_answer = Some(now);
    }

    fn insert(&mut self, entry: &Entry, changes: &mut RegistryChanges) {
        if let Some(known) = self.entries.get_mut(&entry.id) {
            if known.entry == *entry {
                known.missing = false;
                return;
            }
        }
        changes.changed.push(entry.id.clone());
        let known = KnownEntry {
            entry: entry.clone(),
            missing: false,
        };
        self.entries.insert(entry.id.clone(), known);
    }

    /// Drops missing entries, unless the store has just returned from an outage. A missing entry
    /// that was draining is dropped in any case, since its backend server had announced to leave.
    fn sweep(&mut self, now: Moment, changes: &mut RegistryChanges) {
        let returning = self
            .returned_at
            .is_some_and(|returned| now.saturating_sub(returned) < RETURN_GRACE);
        self.entries.retain(|id, known| {
            if !known.missing {
                return true;
            }
            if returning && known.entry.phase == Phase::Ready {
                return true;
            }
            changes.removed.push(id.clone());
            false
        });
    }
}
