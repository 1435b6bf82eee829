//! The objects and their versions.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Changes that a watch may still ask for.
const HISTORY: usize = 4_096;

/// The API version that objects carry.
pub(super) const API_VERSION: &str = "cassiareel.dev/v1";

/// An object as the API shows it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Stored {
    #[serde(default)]
    pub(super) api_version: String,
    #[serde(default)]
    pub(super) kind: String,
    pub(super) metadata: Metadata,
    #[serde(default)]
    pub(super) spec: Value,
}

/// The part of an object that the API itself reads.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Metadata {
    pub(super) name: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) resource_version: Option<String>,
}

/// What became of an object.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub(super) enum Change {
    Added,
    Modified,
    Deleted,
}

/// A change as a watch shows it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(super) struct WatchEvent {
    #[serde(rename = "type")]
    pub(super) change: Change,
    pub(super) object: Stored,
}

/// Why a write was refused; it had no effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Refusal {
    Exists,
    Missing,
    Stale,
}

/// All objects.
#[derive(Debug, Default)]
pub(super) struct Store {
    version: u64,
    objects: BTreeMap<(String, String), Stored>,
    history: VecDeque<(u64, String, WatchEvent)>,
    forgotten: u64,
}

impl Store {
    /// The version of the last write.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    pub(super) fn get(&self, kind: &str, name: &str) -> Option<&Stored> {
        self.objects.get(&(kind.to_owned(), name.to_owned()))
    }

    pub(super) fn list(&self, kind: &str) -> Vec<&Stored> {
        self.objects
            .iter()
            .filter(|((k, _), _)| k == kind)
            .map(|(_, object)| object)
            .collect()
    }

    pub(super) fn create(&mut self, kind: &str, object: Stored) -> Result<Stored, Refusal> {
        if self.get(kind, &object.metadata.name).is_some() {
            return Err(Refusal::Exists);
        }
        Ok(self.write(kind, object, Change::Added))
    }

    pub(super) fn update(&mut self, kind: &str, object: Stored) -> Result<Stored, Refusal> {
        let old = self
            .get(kind, &object.metadata.name)
            .ok_or(Refusal::Missing)?;
        // As in Kubernetes, an update without a version is unconditional.
        let named = &object.metadata.resource_version;
        if named.is_some() && *named != old.metadata.resource_version {
            return Err(Refusal::Stale);
        }
        Ok(self.write(kind, object, Change::Modified))
    }

    pub(super) fn delete(
        &mut self,
        kind: &str,
        name: &str,
        version: Option<&str>,
    ) -> Result<Stored, Refusal> {
        let old = self.get(kind, name).ok_or(Refusal::Missing)?.clone();
        if version.is_some() && version != old.metadata.resource_version.as_deref() {
            return Err(Refusal::Stale);
        }
        let last = self.write(kind, old, Change::Deleted);
        self.objects.remove(&(kind.to_owned(), name.to_owned()));
        Ok(last)
    }

    /// The changes of a kind after a version; none when the store has forgotten some of them.
    pub(super) fn since(&self, kind: &str, version: u64) -> Option<Vec<WatchEvent>> {
        if version < self.forgotten {
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

    fn write(&mut self, kind: &str, mut object: Stored, change: Change) -> Stored {
        self.version += 1;
        object.api_version = API_VERSION.to_owned();
        object.metadata.resource_version = Some(self.version.to_string());
        let name = object.metadata.name.clone();
        self.objects.insert((kind.to_owned(), name), object.clone());
        let event = WatchEvent {
            change,
            object: object.clone(),
        };
        self.history
            .push_back((self.version, kind.to_owned(), event));
        if self.history.len() > HISTORY {
            if let Some((version, ..)) = self.history.pop_front() {
                self.forgotten = version;
            }
        }
        object
    }
}
