//! The head object: the accepted revision and the history before it.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{units::Digest, LoadError, PartRef};
use crate::{kernel::Revision, store::Object};

/// The most revisions that a head lists, including the accepted one.
const MAX_REVISIONS: usize = 50;

/// The most part references of all revisions in a head. The oldest revisions are dropped first.
const MAX_PART_REFERENCES: usize = 4000;

/// An accepted revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcceptedRevision {
    /// The revision number.
    pub revision: Revision,
    /// The digest of the tree's whole text.
    pub digest: Digest,
    /// The parts of the text, in order.
    pub parts: Vec<PartRef>,
    /// Who applied it.
    pub author: String,
    /// When it was applied, in milliseconds since the Unix epoch by the author's clock.
    pub time: u64,
    /// The author's note on the edit.
    pub note: String,
    /// A random number that distinguishes this write from those of other authors.
    pub nonce: u64,
}

/// The contents of the head object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Head {
    /// The accepted revision.
    pub accepted: AcceptedRevision,
    /// Earlier revisions, the newest first.
    pub history: Vec<AcceptedRevision>,
}

impl Head {
    /// Returns the head that makes `accepted` the accepted revision after `current`.
    pub(super) fn next(current: Option<&Head>, accepted: AcceptedRevision) -> Head {
        let mut history = Vec::new();
        let mut parts = accepted.parts.len();
        for old in current.into_iter().flat_map(Head::revisions) {
            parts += old.parts.len();
            if history.len() + 1 >= MAX_REVISIONS || parts > MAX_PART_REFERENCES {
                break;
            }
            history.push(old.clone());
        }
        Head { accepted, history }
    }

    /// Returns the revisions that can be read, the newest first.
    pub fn revisions(&self) -> impl Iterator<Item = &AcceptedRevision> {
        std::iter::once(&self.accepted).chain(&self.history)
    }

    /// Finds a revision in the history, or the accepted one.
    pub fn find(&self, revision: Revision) -> Option<&AcceptedRevision> {
        self.revisions().find(|old| old.revision == revision)
    }

    /// Returns the digests of all parts that a revision of this head references.
    pub(super) fn referenced_parts(&self) -> BTreeSet<Digest> {
        self.revisions()
            .flat_map(|old| &old.parts)
            .map(|part| part.digest)
            .collect()
    }
}

impl Head {
    /// Decodes a head object.
    ///
    /// # Errors
    ///
    /// Fails if the object's contents are not a valid head.
    pub fn decode(object: &Object) -> Result<Head, LoadError> {
        let malformed = |cause: String| LoadError::Malformed {
            cause: format!("head: {cause}"),
        };
        let stored =
            StoredHead::deserialize(&object.spec).map_err(|err| malformed(err.to_string()))?;
        stored.into_head().ok_or_else(|| {
            malformed("no revision, or a reference to a part that is not listed".to_owned())
        })
    }

    /// Encodes the contents of the head object.
    pub(super) fn encode(&self) -> serde_json::Value {
        serde_json::to_value(StoredHead::new(self)).expect("every head can be written as JSON")
    }
}

/// The stored form of a head. It lists each part once, since successive revisions share nearly all
/// their parts.
///
/// Every node reads the head after every change, so it has to stay small.
#[derive(Debug, Deserialize, Serialize)]
struct StoredHead {
    /// The accepted revision number, for readers that need nothing else.
    revision: Revision,
    parts: Vec<PartRef>,
    /// The accepted revision and the history, the newest first.
    revisions: Vec<StoredRevision>,
}

/// The stored form of a revision.
#[derive(Debug, Deserialize, Serialize)]
struct StoredRevision {
    revision: Revision,
    digest: Digest,
    /// Indices into [`StoredHead::parts`], in the order of the text.
    parts: Vec<usize>,
    author: String,
    time: u64,
    note: String,
    nonce: u64,
}

impl StoredHead {
    fn new(head: &Head) -> StoredHead {
        let mut parts: Vec<PartRef> = Vec::new();
        let mut index_by_digest = BTreeMap::new();
        let mut revisions = Vec::new();
        for old in head.revisions() {
            let indices = old.parts.iter().map(|part| {
                *index_by_digest.entry(part.digest).or_insert_with(|| {
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
        StoredHead {
            revision: head.accepted.revision,
            parts,
            revisions,
        }
    }

    /// Returns the head, or `None` if an index is out of range or there is no revision.
    fn into_head(self) -> Option<Head> {
        let parts = self.parts;
        let mut revisions = self.revisions.into_iter().map(|old| {
            let part_refs = old.parts.into_iter().map(|index| parts.get(index).cloned());
            Some(AcceptedRevision {
                revision: old.revision,
                digest: old.digest,
                parts: part_refs.collect::<Option<_>>()?,
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
