//! The object API as a trait.

use std::time::Duration;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// An object's version in the store; it rises with each write to any object.
pub type StoreVersion = u64;

/// A stored object.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Object {
    /// The kind, in the plural, such as `orders`.
    pub kind: String,
    /// The name, unique in its kind.
    pub name: String,
    /// The version that was read; 0 before the first write.
    pub version: StoreVersion,
    /// The contents.
    pub spec: serde_json::Value,
}

impl Object {
    /// An object that was not written yet.
    pub fn new(kind: &str, name: &str, spec: serde_json::Value) -> Object {
        Object {
            kind: kind.to_owned(),
            name: name.to_owned(),
            version: 0,
            spec,
        }
    }
}

/// The objects of a kind.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// The objects, in no order.
    pub objects: Vec<Object>,
    /// The store's version at the listing, from which a watch goes on.
    pub version: StoreVersion,
}

/// Why a call of the object API did not succeed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum StoreError {
    /// The object's version is not the one that the update named, or it exists already.
    #[snafu(display("{name} was changed by another writer"))]
    Conflict {
        /// The object's name.
        name: String,
    },
    /// The write certainly had no effect.
    #[snafu(display("the object API did not take the call: {cause}"))]
    NotApplied {
        /// What failed.
        cause: String,
    },
    /// The write may have taken effect, and its answer was lost.
    #[snafu(display("the object API's answer was lost: {cause}"))]
    Ambiguous {
        /// What failed.
        cause: String,
    },
    /// The call is over the store's rate.
    #[snafu(display("the object API asks to wait {wait:?}"))]
    Throttled {
        /// How long to wait.
        wait: Duration,
    },
    /// The version that a watch named is older than the store's memory of changes: list again.
    #[snafu(display("the object API no longer knows the changes since that version"))]
    Expired,
    /// The object or the answer is not as the interface says.
    #[snafu(display("the object API refused the object: {cause}"))]
    Invalid {
        /// What is wrong.
        cause: String,
    },
}

/// The platform's object API.
#[async_trait]
pub trait Objects: Send + Sync {
    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] but a conflict.
    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError>;

    /// Creates an object, or fails with a conflict where one of that name exists.
    ///
    /// # Errors
    ///
    /// After [`StoreError::Ambiguous`] the object may exist.
    async fn create(&self, object: &Object) -> Result<StoreVersion, StoreError>;

    /// Replaces an object whose version is still `object.version`.
    ///
    /// # Errors
    ///
    /// After [`StoreError::Ambiguous`] the object may be replaced.
    async fn update(&self, object: &Object) -> Result<StoreVersion, StoreError>;

    /// Deletes an object whose version is still `object.version`.
    ///
    /// # Errors
    ///
    /// After [`StoreError::Ambiguous`] the object may be gone.
    async fn delete(&self, object: &Object) -> Result<(), StoreError>;

    /// Lists a kind.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] but a conflict.
    async fn list(&self, kind: &str) -> Result<Listing, StoreError>;

    /// Waits at most `wait` for objects of a kind newer than `since`; empty when none came.
    ///
    /// A deleted object comes with a null spec and the version of its deletion. After
    /// [`StoreError::Expired`] only a new listing tells what changed.
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
