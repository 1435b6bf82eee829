//! The trait of the platform's object API.

use std::time::Duration;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::{StoreEra, StoreVersion};

/// A stored object.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Object {
    /// The kind, in the plural, such as `orders`.
    pub kind: String,
    /// The name, unique in its kind.
    pub name: String,
    /// The version that was read, or [`StoreVersion::NONE`] before the first write.
    pub version: StoreVersion,
    /// The contents.
    pub spec: serde_json::Value,
}

impl Object {
    /// Creates an object that was not written yet.
    pub fn new(kind: &str, name: &str, spec: serde_json::Value) -> Object {
        Object {
            kind: kind.to_owned(),
            name: name.to_owned(),
            version: StoreVersion::NONE,
            spec,
        }
    }
}

/// The objects of a kind.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// The objects, in no particular order.
    pub objects: Vec<Object>,
    /// The store's version at the time of the listing, from which a watch can continue.
    pub version: StoreVersion,
}

/// An error of a call to the object API.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum StoreError {
    /// The object's version is not the one that the write named, or the object exists already.
    #[snafu(display("{name} was changed by another writer"))]
    Conflict {
        /// The object's name.
        name: String,
    },
    /// The call failed, and a write certainly had no effect.
    #[snafu(display("the object API did not take the call: {cause}"))]
    NotApplied {
        /// The cause of the failure.
        cause: String,
    },
    /// The answer was lost, and the write may have taken effect.
    #[snafu(display("the object API's answer was lost: {cause}"))]
    Ambiguous {
        /// The cause of the failure.
        cause: String,
    },
    /// The call exceeds the store's rate limit.
    #[snafu(display("the object API asks to wait {wait:?}"))]
    Throttled {
        /// How long to wait.
        wait: Duration,
    },
    /// The store does not have the changes since the version that a watch named, or was restored
    /// from a copy; a new listing is needed.
    #[snafu(display("the object API no longer knows the changes since that version"))]
    Expired,
    /// The object or the answer violates the interface's rules.
    #[snafu(display("the object API refused the object: {cause}"))]
    Invalid {
        /// The rule that is violated, or the parse error.
        cause: String,
    },
}

/// The platform's object API.
#[async_trait]
pub trait Objects: Send + Sync {
    /// Returns the highest era that an answer has named so far; 0 if none has named one.
    fn era(&self) -> StoreEra;

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] but a conflict.
    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError>;

    /// Creates an object, or fails with a conflict if one of that name exists.
    ///
    /// # Errors
    ///
    /// After [`StoreError::Ambiguous`] the object may exist.
    async fn create(&self, object: &Object) -> Result<StoreVersion, StoreError>;

    /// Replaces an object if its version is still `object.version`.
    ///
    /// A version of an earlier era is a conflict.
    ///
    /// # Errors
    ///
    /// After [`StoreError::Ambiguous`] the object may have been replaced.
    async fn update(&self, object: &Object) -> Result<StoreVersion, StoreError>;

    /// Deletes an object if its version is still `object.version`.
    ///
    /// # Errors
    ///
    /// After [`StoreError::Ambiguous`] the object may have been deleted.
    async fn delete(&self, object: &Object) -> Result<(), StoreError>;

    /// Lists the objects of a kind.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] but a conflict.
    async fn list(&self, kind: &str) -> Result<Listing, StoreError>;

    /// Waits at most `wait` for changes to objects of a kind after version `since`; returns an empty
    /// list if there were none.
    ///
    /// A deleted object is returned with a null spec and the version of its deletion. After
    /// [`StoreError::Expired`] only a new listing shows what changed; a watch from a version of
    /// another era has always expired.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] but a conflict.
    async fn watch(
        &self,
        kind: &str,
        since: StoreVersion,
        wait: Duration,
    ) -> Result<Vec<Object>, StoreError>;
}
