/*!
The backend servers that a node believes in, from the store's registry.

Entries lapse while the store is away, since their owners can't renew them. What is missing right
after its return is therefore kept for a moment, until the owners that live had time to come back.
An entry that is removed at any other time is gone at once.
*/

use std::{collections::HashMap, time::Duration};

use crate::{
    clock::Moment,
    model::{BackendId, Entry, Phase, Revision},
    source::Listing,
};

/// A silence of the store longer than this may have let entries lapse.
const OUTAGE: Duration = Duration::from_millis(2500);

/// How long entries that are missing after an outage are kept.
const RETURN: Duration = Duration::from_secs(2);

/// The entries in force.
#[derive(Debug, Default)]
pub struct Registry {
    entries: HashMap<BackendId, Held>,
    revision: Option<Revision>,
    last_answer: Option<Moment>,
    returned_at: Option<Moment>,
}

#[derive(Debug)]
struct Held {
    entry: Entry,
    missing: bool,
}

/// What an update of the registry changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RegistryChanges {
    /// Ids that are new or changed.
    pub changed: Vec<BackendId>,
    /// Ids that are gone.
    pub removed: Vec<BackendId>,
}

impl RegistryChanges {
    /// Reports whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.changed.is_empty() && self.removed.is_empty()
    }
}

impl Registry {
    /// Takes in a whole list whose read began at `now`. One that is older than what is known changes nothing.
    pub fn apply(&mut self, listing: &Listing, now: Moment) -> RegistryChanges {
        self.record_answer(now);
        let mut update = RegistryChanges::default();
        if !self.advance(listing.revision) {
            return update;
        }
        for held in self.entries.values_mut() {
            held.missing = true;
        }
        for entry in &listing.entries {
            self.insert(entry, &mut update);
        }
        self.sweep(now, &mut update);
        update
    }

    /// The entries that hold.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().map(|held| &held.entry)
    }

    /// The revision of what is known; `None` before the first list.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Moves to a revision; `false` where a later one is known.
    fn advance(&mut self, revision: Revision) -> bool {
        if self.revision.is_some_and(|known| revision < known) {
            return false;
        }
        self.revision = Some(revision);
        true
    }

    /// Notes an answer of the store; after a long silence, its return.
    fn record_answer(&mut self, now: Moment) {
        let silent = self
            .last_answer
            .is_some_and(|heard| now.saturating_sub(heard) > OUTAGE);
        if silent {
            self.returned_at = Some(now);
        }
        self.last_answer = Some(now);
    }

    fn insert(&mut self, entry: &Entry, update: &mut RegistryChanges) {
        if let Some(held) = self.entries.get_mut(&entry.id) {
            if held.entry == *entry {
                held.missing = false;
                return;
            }
        }
        update.changed.push(entry.id.clone());
        let held = Held {
            entry: entry.clone(),
            missing: false,
        };
        self.entries.insert(entry.id.clone(), held);
    }

    /// Drops what is missing, unless the store has just come back. A draining entry that is missing
    /// left as it said.
    fn sweep(&mut self, now: Moment, update: &mut RegistryChanges) {
        let returning = self
            .returned_at
            .is_some_and(|back| now.saturating_sub(back) < RETURN);
        self.entries.retain(|id, held| {
            if !held.missing {
                return true;
            }
            if returning && held.entry.phase == Phase::Ready {
                return true;
            }
            update.removed.push(id.clone());
            false
        });
    }
}
