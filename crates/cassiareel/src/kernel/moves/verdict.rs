//! Verdicts on versions, which are never withdrawn.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Evidence;
use crate::kernel::{ServiceId, VersionId};

/// A move's number; it increases by one with each move of a service.
pub type MoveId = u64;

/// The finding, made during a move, that a version is bad.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Verdict {
    /// The move.
    pub id: MoveId,
    /// The service.
    pub service: ServiceId,
    /// The bad version.
    pub version: VersionId,
    /// The evidence against the version.
    pub evidence: Evidence,
}

/// The verdicts that a node knows.
///
/// For each service and version the verdict of the latest move is kept. Merging is idempotent and
/// independent of the order, except for the evidence: of two verdicts of the same move the first
/// one is kept.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdicts {
    known: BTreeMap<(ServiceId, VersionId), Verdict>,
    /// The deliberate defect that the model check must find.
    #[cfg(test)]
    pub(crate) drops_verdicts: bool,
}

impl Verdicts {
    /// Adds a verdict; returns true if it is new and must be passed on.
    pub fn add(&mut self, verdict: Verdict) -> bool {
        #[cfg(test)]
        if self.drops_verdicts {
            self.known.clear();
        }
        let key = (verdict.service.clone(), verdict.version.clone());
        let is_new = self.known.get(&key).is_none_or(|kept| kept.id < verdict.id);
        if is_new {
            self.known.insert(key, verdict);
        }
        is_new
    }

    /// Reports whether a version must not receive new traffic within a move.
    ///
    /// A verdict applies to its move and to every earlier one; only a move that was started later
    /// overrides it.
    pub fn is_bad(&self, service: &str, version: &str, id: MoveId) -> bool {
        self.get(service, version).is_some_and(|kept| kept.id >= id)
    }

    /// Returns the verdict on a version.
    pub fn get(&self, service: &str, version: &str) -> Option<&Verdict> {
        self.known.get(&(service.into(), version.into()))
    }

    /// Returns all verdicts.
    pub fn iter(&self) -> impl Iterator<Item = &Verdict> {
        self.known.values()
    }
}
