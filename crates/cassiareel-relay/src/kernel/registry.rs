/*!
The backend servers that a node uses, from the store's registry.

Entries expire while the store is unavailable, since their owners can't renew them. Entries that are
missing right after its return are therefore kept for a short time, until running owners have had
time to register again. An entry that is removed at any other time is dropped at once.

A store that was restored from a copy lacks what was written after it. Entries that are missing from
its first list are kept as after an outage. An entry that it shows as ready although its server was
leaving or gone is not used, until its server has had time to write again or its entry to expire.
*/

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{
    clock::Moment,
    model::{BackendId, Entry, Phase, StoreRevision},
    source::Listing,
};

/// The shortest time without an answer of the store in which entries may have expired.
const MIN_OUTAGE: Duration = Duration::from_millis(2500);

/// How long missing entries are kept after an outage.
const RETURN_GRACE: Duration = Duration::from_secs(2);

/// How long an entry of a restored store that contradicts what is known is not used.
const HOLD_TIME: Duration = Duration::from_secs(5);

/// How long removed entries are remembered: longer than the age of a copy from which a store is
/// restored.
const REMOVAL_MEMORY: Duration = Duration::from_secs(60);

/// The maximum number of removed entries that are remembered.
const MAX_REMOVALS: usize = 4096;

/// The entries in use.
#[derive(Debug, Default)]
pub struct Registry {
    entries: HashMap<BackendId, KnownEntry>,
    /// The most recently removed entries, the newest last.
    removals: VecDeque<Removal>,
    /// Servers whose entries are not used though they are ready.
    held: HashMap<BackendId, Hold>,
    revision: Option<StoreRevision>,
    last_answer: Option<Moment>,
    returned_at: Option<Moment>,
}

#[derive(Debug)]
struct KnownEntry {
    entry: Entry,
    missing: bool,
}

#[derive(Debug)]
struct Removal {
    entry: Entry,
    at: Moment,
}

/// A server that was leaving or gone before the store was restored.
#[derive(Debug)]
struct Hold {
    entry: Entry,
    until: Moment,
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
        let known_era = self.revision.map(StoreRevision::era);
        if !self.advance(listing.revision) {
            return changes;
        }
        if known_era.is_some_and(|known| known < listing.revision.era()) {
            self.begin_era(now);
        }
        self.held.retain(|_, hold| now < hold.until);
        for known in self.entries.values_mut() {
            known.missing = true;
        }
        for entry in &listing.entries {
            self.insert(self.usable_entry(entry), &mut changes);
        }
        self.sweep(now, &mut changes);
        changes
    }

    /// Returns the entries in use.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().map(|known| &known.entry)
    }

    /// Returns the entry in use that has an id.
    pub fn entry(&self, id: &BackendId) -> Option<&Entry> {
        self.entries.get(id).map(|known| &known.entry)
    }

    /// Returns the known revision; `None` before the first listing.
    pub fn revision(&self) -> Option<StoreRevision> {
        self.revision
    }

    /// Returns the number of entries that the last listing lacked and that are kept for now.
    pub fn missing_count(&self) -> usize {
        self.entries.values().filter(|known| known.missing).count()
    }

    /// Returns the number of servers that were leaving or gone before the store was restored, and
    /// are not used for now.
    pub fn held_count(&self) -> usize {
        self.held.len()
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

    /// Begins an era of the store: keeps missing entries for a time, and holds those of servers that
    /// were leaving or gone.
    fn begin_era(&mut self, now: Moment) {
        self.returned_at = Some(now);
        let until = now + HOLD_TIME;
        let leaving = self
            .entries
            .values()
            .filter(|known| known.entry.phase == Phase::Draining)
            .map(|known| &known.entry);
        let gone = self
            .removals
            .iter()
            .filter(|removal| now.saturating_sub(removal.at) < REMOVAL_MEMORY)
            .map(|removal| &removal.entry)
            .filter(|entry| !self.entries.contains_key(&entry.id));
        self.held = leaving
            .chain(gone)
            .cloned()
            .map(|entry| (entry.id.clone(), Hold { entry, until }))
            .collect();
    }

    /// Returns the entry as it is used: that of a held server is draining.
    fn usable_entry(&self, entry: &Entry) -> Entry {
        let is_held = self
            .held
            .get(&entry.id)
            .is_some_and(|hold| hold.entry.is_same_process(entry));
        let mut entry = entry.clone();
        if is_held {
            entry.phase = Phase::Draining;
        }
        entry
    }

    fn insert(&mut self, entry: Entry, changes: &mut RegistryChanges) {
        if let Some(known) = self.entries.get_mut(&entry.id) {
            if known.entry == entry {
                known.missing = false;
                return;
            }
        }
        changes.changed.push(entry.id.clone());
        let id = entry.id.clone();
        let known = KnownEntry {
            entry,
            missing: false,
        };
        self.entries.insert(id, known);
    }

    /// Drops missing entries, unless the store has just returned from an outage. A missing entry
    /// that was draining is dropped in any case, since its backend server had announced to leave.
    fn sweep(&mut self, now: Moment, changes: &mut RegistryChanges) {
        let returning = self
            .returned_at
            .is_some_and(|returned| now.saturating_sub(returned) < RETURN_GRACE);
        self.entries.retain(|id, known| {
            let is_kept = !known.missing || (returning && known.entry.phase == Phase::Ready);
            if !is_kept {
                changes.removed.push(id.clone());
                self.removals.push_back(Removal {
                    entry: known.entry.clone(),
                    at: now,
                });
            }
            is_kept
        });
        let surplus = self.removals.len().saturating_sub(MAX_REMOVALS);
        self.removals.drain(..surplus);
    }
}
