//! Versions of objects, which carry the store's era.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The number of times that the store was restored from a copy.
pub type StoreEra = u64;

/// An object's version in the store.
///
/// A restored store loses its latest writes, and gives their revisions to other ones. Revisions can
/// therefore be compared only within an era; versions are ordered by era first.
///
/// # Examples
///
/// ```
/// use cassiareel::store::StoreVersion;
///
/// let lost = StoreVersion::new(0, 9);
/// let later = StoreVersion::new(1, 4);
/// assert!(lost < later);
/// assert_ne!(StoreVersion::new(1, 9), lost);
/// ```
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct StoreVersion {
    // The order of the fields is the order of the comparison.
    era: StoreEra,
    revision: u64,
}

impl StoreVersion {
    /// The version of an object before its first write.
    pub const NONE: StoreVersion = StoreVersion::new(0, 0);

    /// Creates the version of a revision that the store gave in an era.
    ///
    /// Revisions are at least 1.
    pub const fn new(era: StoreEra, revision: u64) -> StoreVersion {
        StoreVersion { era, revision }
    }

    /// Returns the store's era.
    pub const fn era(self) -> StoreEra {
        self.era
    }

    /// Returns the revision, which increases with each write to any object in the same era.
    pub const fn revision(self) -> u64 {
        self.revision
    }

    /// Reports whether the object was not written yet.
    pub const fn is_none(self) -> bool {
        self.revision == 0
    }
}

impl fmt::Display for StoreVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}
