//! Verdicts: facts that only spread.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Evidence;
use crate::kernel::{ServiceId, VersionId};

/// A move's number; it rises by one with each move of a service.
pub type MoveId = u64;

/// "This version is bad", found within a move.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Verdict {
    /// The move.
    pub id: MoveId,
    /// The service.
    pub service: ServiceId,
    /// The bad version.
    pub version: VersionId,
    /// Why.
    pub evidence: Evidence,
}

/// The verdicts that a node knows.
///
/// One a service and version is kept, that of the latest move. Merging is idempotent and its order
/// does not matter, but for the words of the evidence: of two verdicts of one move the first stays.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdicts {
    known: BTreeMap<(ServiceId, VersionId), Verdict>,
    /// The deliberately broken variant that a model check must catch.
    #[cfg(test)]
    pub(crate) forgets: bool,
}

impl Verdicts {
    /// Takes a verdict; true if it is news, to be passed on.
    pub fn add(&mut self, verdict: Verdict) -> bool {
        #[cfg(test)]
        if self.forgets {
            self.known.clear();
        }
        let key = (verdict.service.clone(), verdict.version.clone());
        let older = self.known.get(&key).is_none_or(|kept| kept.id < verdict.id);
        if older {
            self.known.insert(key, verdict);
        }
        older
    }

    /// Reports whether a version must get no new traffic within a move.
    ///
    /// A verdict holds for its move and for every earlier one; only a move that was started later
    /// goes past it.
    pub fn is_bad(&self, service: &str, version: &str, id: MoveId) -> bool {
        self.get(service, version).is_some_and(|kept| kept.id >= id)
    }

    /// The verdict on a version.
    pub fn get(&self, service: &str, version: &str) -> Option<&Verdict> {
        self.known.get(&(service.into(), version.into()))
    }

    /// Every verdict.
    pub fn iter(&self) -> impl Iterator<Item = &Verdict> {
        self.known.values()
    }
}
