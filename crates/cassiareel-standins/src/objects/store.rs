//! The stored objects, their versions and the history of changes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The maximum number of changes that are kept for watches.
pub(super) const MAX_HISTORY: usize = 4_096;

/// The API version that objects carry.
pub(super) const API_VERSION: &str = "cassiareel.dev/v1";

/// An object in the form in which the API returns it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct StoredObject {
    #[serde(default)]
    pub(super) api_version: String,
    #[serde(default)]
    pub(super) kind: String,
    pub(super) metadata: Metadata,
    #[serde(default)]
    pub(super) spec: Value,
}

/// The metadata of an object that the API reads.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Metadata {
    pub(super) name: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) resource_version: Option<String>,
}

/// How a write changed an object.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub(super) enum Change {
    Added,
    Modified,
    Deleted,
}

/// A change in the form in which a watch sends it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(super) struct WatchEvent {
    #[serde(rename = "type")]
    pub(super) change: Change,
    pub(super) object: StoredObject,
}

/// The reason why a call was refused. A refused write has no effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Refusal {
    Exists,
    Missing,
    Stale,
}

/// An object's kind and name.
type Key = (String, String);

/// All objects, and the recent changes.
#[derive(Clone, Debug, Default)]
pub(super) struct Store {
    /// The number of restores from a copy.
    era: u64,
    version: u64,
    objects: BTreeMap<Key, StoredObject>,
    /// For each change in the history, the object that it replaced, or `None` if there was none.
    replaced: VecDeque<(u64, Key, Option<StoredObject>)>,
    history: VecDeque<(u64, String, WatchEvent)>,
    dropped_version: u64,
}

impl Store {
    /// Returns the number of restores from a copy.
    pub(super) fn era(&self) -> u64 {
        self.era
    }

    /// Returns to the state of a copy, in a new era. Versions of lost writes are given out again, and
    /// the history does not reach back before the copy.
    pub(super) fn restore(&mut self, copy: &Store) {
        let era = self.era + 1;
        *self = Store {
            era,
            replaced: VecDeque::new(),
            history: VecDeque::new(),
            dropped_version: copy.version,
            ..copy.clone()
        };
    }

    /// Returns the version of the last write.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    pub(super) fn get(&self, kind: &str, name: &str) -> Option<&StoredObject> {
        self.objects.get(&(kind.to_owned(), name.to_owned()))
    }

    /// Returns an object as it was after the write with this version, as far as the history reaches
    /// back.
    pub(super) fn get_at(&self, kind: &str, name: &str, version: u64) -> Option<&StoredObject> {
        let later = self
            .replaced
            .iter()
            .find(|(v, key, _)| *v > version && key.0 == kind && key.1 == name);
        match later {
            Some((_, _, before)) => before.as_ref(),
            None => self.get(kind, name),
        }
    }

    /// Returns the objects of a kind as they were after the write with this version.
    pub(super) fn list_at(&self, kind: &str, version: u64) -> Vec<&StoredObject> {
        let names: BTreeSet<&String> = self
            .objects
            .keys()
            .chain(self.replaced.iter().map(|(_, key, _)| key))
            .filter(|(k, _)| k == kind)
            .map(|(_, name)| name)
            .collect();
        names
            .into_iter()
            .filter_map(|name| self.get_at(kind, name, version))
            .collect()
    }

    pub(super) fn create(
        &mut self,
        kind: &str,
        object: StoredObject,
    ) -> Result<StoredObject, Refusal> {
        if self.get(kind, &object.metadata.name).is_some() {
            return Err(Refusal::Exists);
        }
        Ok(self.write(kind, object, Change::Added))
    }

    pub(super) fn update(
        &mut self,
        kind: &str,
        object: StoredObject,
    ) -> Result<StoredObject, Refusal> {
        let current = self
            .get(kind, &object.metadata.name)
            .ok_or(Refusal::Missing)?;
        // As in Kubernetes, an update without a version is unconditional.
        let expected_version = &object.metadata.resource_version;
        if expected_version.is_some() && *expected_version != current.metadata.resource_version {
            return Err(Refusal::Stale);
        }
        Ok(self.write(kind, object, Change::Modified))
    }

    pub(super) fn delete(
        &mut self,
        kind: &str,
        name: &str,
        version: Option<&str>,
    ) -> Result<StoredObject, Refusal> {
        let current = self.get(kind, name).ok_or(Refusal::Missing)?.clone();
        if version.is_some() && version != current.metadata.resource_version.as_deref() {
            return Err(Refusal::Stale);
        }
        let last = self.write(kind, current, Change::Deleted);
        self.objects.remove(&(kind.to_owned(), name.to_owned()));
        Ok(last)
    }

    /// Returns the changes of a kind after a version, or `None` when some of them may no longer be
    /// in the history, or the version was never given.
    pub(super) fn changes_since(&self, kind: &str, version: u64) -> Option<Vec<WatchEvent>> {
        if version < self.dropped_version || version > self.version {
            return None;
        }
        let events = self
            .history
            .iter()
            .filter(|(v, k, _)| *v > version && k == kind)
            .map(|(_, _, event)| event.clone())
            .collect();
        Some(events)
    }

    fn write(&mut self, kind: &str, mut object: StoredObject, change: Change) -> StoredObject {
        self.version += 1;
        object.api_version = API_VERSION.to_owned();
        object.metadata.resource_version = Some(self.version.to_string());
        let key = (kind.to_owned(), object.metadata.name.clone());
        let before = self.objects.insert(key.clone(), object.clone());
        self.replaced.push_back((self.version, key, before));
        let event = WatchEvent {
            change,
            object: object.clone(),
        };
        self.history
            .push_back((self.version, kind.to_owned(), event));
        if self.history.len() > MAX_HISTORY {
            self.replaced.pop_front();
            if let Some((version, ..)) = self.history.pop_front() {
                self.dropped_version = version;
            }
        }
        object
    }
}
