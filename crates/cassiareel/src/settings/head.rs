//! The head object: which revision is accepted, and what came before it.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{units::Digest, LoadError, PartRef};
use crate::{kernel::Revision, store::Object};

/// Revisions that the head remembers, the accepted one included.
const HISTORY: usize = 50;

/// References to parts in a head, at most; the oldest revisions are forgotten first.
const HISTORY_PARTS: usize = 4000;

/// An accepted revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcceptedRevision {
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
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Head {
    /// The accepted revision.
    pub accepted: AcceptedRevision,
    /// Earlier revisions, the newest first.
    pub history: Vec<AcceptedRevision>,
}

impl Head {
    /// The head after the next revision is accepted.
    pub(super) fn next(current: Option<&Head>, accepted: AcceptedRevision) -> Head {
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
    pub fn revisions(&self) -> impl Iterator<Item = &AcceptedRevision> {
        std::iter::once(&self.accepted).chain(&self.history)
    }

    /// Finds a revision.
    pub fn find(&self, revision: Revision) -> Option<&AcceptedRevision> {
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
        let malformed = |cause: String| LoadError::Malformed {
            cause: format!("head: {cause}"),
        };
        let stored = Stored::deserialize(&object.spec).map_err(|err| malformed(err.to_string()))?;
        stored
            .into_head()
            .ok_or_else(|| malformed("it names a part that it does not list".to_owned()))
    }

    /// Writes the contents of the head object.
    pub(super) fn encode(&self) -> serde_json::Value {
        serde_json::to_value(Stored::new(self)).expect("each head has a form in JSON")
    }
}

/// The head as it is stored: each part once, since neighbouring revisions share nearly all.
///
/// Every node reads the head at every change, so that its size counts.
#[derive(Debug, Deserialize, Serialize)]
struct Stored {
    /// The accepted revision, for readers that want only this.
    revision: Revision,
    parts: Vec<PartRef>,
    /// The accepted revision and those before it, the newest first.
    revisions: Vec<StoredRevision>,
}

/// A revision as it is stored.
#[derive(Debug, Deserialize, Serialize)]
struct StoredRevision {
    revision: Revision,
    digest: Digest,
    /// Indices of its parts, in order.
    parts: Vec<usize>,
    author: String,
    time: u64,
    note: String,
    nonce: u64,
}

impl Stored {
    fn new(head: &Head) -> Stored {
        let mut parts: Vec<PartRef> = Vec::new();
        let mut known = BTreeMap::new();
        let mut revisions = Vec::new();
        for old in head.revisions() {
            let indices = old.parts.iter().map(|part| {
                *known.entry(part.digest).or_insert_with(|| {
                    parts.push(part.clone());
                    parts.len() - 1
                })
            });
            revisions.push(StoredRevision {
                revision: old.revision,
                digest: old.digest,
                parts: indices.collect(),
                author: old.author.clone(),
                time: old.time,
                note: old.note.clone(),
                nonce: old.nonce,
            });
        }
        Stored {
            revision: head.accepted.revision,
            parts,
            revisions,
        }
    }

    /// The head; none where an index has no part, or there is no revision.
    fn into_head(self) -> Option<Head> {
        let parts = self.parts;
        let mut revisions = self.revisions.into_iter().map(|old| {
            let named = old.parts.into_iter().map(|index| parts.get(index).cloned());
            Some(AcceptedRevision {
                revision: old.revision,
                digest: old.digest,
                parts: named.collect::<Option<_>>()?,
                author: old.author,
                time: old.time,
                note: old.note,
                nonce: old.nonce,
            })
        });
        Some(Head {
            accepted: revisions.next()??,
            history: revisions.collect::<Option<_>>()?,
        })
    }
}
