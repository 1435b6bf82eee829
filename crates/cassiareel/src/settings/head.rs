//! The head object: which revision is accepted, and what came before it.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::{units::Digest, LoadError, PartRef};
use crate::{kernel::Revision, platform::Object};

/// Revisions that the head remembers, the accepted one included.
const HISTORY: usize = 50;

/// References to parts in a head, at most; the oldest revisions are forgotten first.
const HISTORY_PARTS: usize = 4000;

/// An accepted revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Accepted {
    /// The revision.
    pub revision: Revision,
    /// The digest of the tree's whole text.
    pub digest: Digest,
    /// The parts of the text, in order.
    pub parts: Vec<PartRef>,
    /// Who applied it.
    pub author: String,
    /// When, in milliseconds since 1970 by the author's clock.
    pub time: u64,
    /// What the author said of it.
    pub note: String,
    /// A random number that tells one author's write from another's.
    pub nonce: u64,
}

/// The head object's contents.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// The accepted revision.
    #[serde(flatten)]
    pub accepted: Accepted,
    /// Earlier revisions, the newest first.
    pub history: Vec<Accepted>,
}

impl Head {
    /// The head after the next revision is accepted.
    pub(super) fn next(current: Option<&Head>, accepted: Accepted) -> Head {
        let mut history = Vec::new();
        let mut parts = accepted.parts.len();
        for old in current.into_iter().flat_map(Head::revisions) {
            parts += old.parts.len();
            if history.len() + 1 >= HISTORY || parts > HISTORY_PARTS {
                break;
            }
            history.push(old.clone());
        }
        Head { accepted, history }
    }

    /// The revisions that can be read, the newest first.
    pub fn revisions(&self) -> impl Iterator<Item = &Accepted> {
        std::iter::once(&self.accepted).chain(&self.history)
    }

    /// Finds a revision.
    pub fn find(&self, revision: Revision) -> Option<&Accepted> {
        self.revisions().find(|old| old.revision == revision)
    }

    /// The parts that any revision needs.
    pub(super) fn needed(&self) -> BTreeSet<Digest> {
        self.revisions()
            .flat_map(|old| &old.parts)
            .map(|part| part.digest)
            .collect()
    }
}

impl Head {
    /// Reads a head object.
    ///
    /// # Errors
    ///
    /// Fails where the contents are no head.
    pub fn decode(object: &Object) -> Result<Head, LoadError> {
        Head::deserialize(&object.spec).map_err(|err| LoadError::Malformed {
            cause: format!("head: {err}"),
        })
    }

    /// Writes the contents of the head object.
    pub(super) fn encode(&self) -> serde_json::Value {
        serde_json::to_value(self).expect("each head has a form in JSON")
    }
}
