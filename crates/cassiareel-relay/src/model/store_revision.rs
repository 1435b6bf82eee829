//! A revision of the store, with the era in which the store gave it out.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::Revision;

/// The number of times that the store was restored from a copy of its contents.
pub type StoreEra = u64;

/// A revision of the store within an era.
///
/// A store that is restored from a copy loses the changes after it and gives their revisions out
/// again, to other changes. Revisions of two eras say nothing about each other, so that any revision
/// of a later era counts as newer than all those of earlier ones.
///
/// # Examples
///
/// ```
/// use cassiareel_relay::model::StoreRevision;
///
/// let before = StoreRevision::new(0, 70);
/// let after = StoreRevision::new(1, 30);
/// assert!(before < after);
/// assert!(after < StoreRevision::new(1, 31));
/// ```
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct StoreRevision {
    // The derived order compares the fields in this order.
    era: StoreEra,
    revision: Revision,
}

impl StoreRevision {
    /// Creates a revision of an era.
    pub fn new(era: StoreEra, revision: Revision) -> StoreRevision {
        StoreRevision { era, revision }
    }

    /// Returns the era.
    pub fn era(self) -> StoreEra {
        self.era
    }
}

impl fmt::Display for StoreRevision {
    /// Formats the era and the revision, separated by a dot.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}
