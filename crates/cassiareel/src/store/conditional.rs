//! The calls of the object API that change single objects on a condition.

use std::sync::Arc;

use async_trait::async_trait;

use super::{Object, Objects, StoreEra, StoreError, StoreVersion};

/// A store of single objects that are replaced by conditional update, such as the record of a lease.
#[async_trait]
pub trait ConditionalStore: Send + Sync {
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

    /// Replaces an object if its version is still `object.version`. A version of an earlier era is a
    /// conflict.
    ///
    /// # Errors
    ///
    /// After [`StoreError::Ambiguous`] the object may have been replaced.
    async fn update(&self, object: &Object) -> Result<StoreVersion, StoreError>;
}

#[async_trait]
impl ConditionalStore for Arc<dyn Objects> {
    fn era(&self) -> StoreEra {
        (**self).era()
    }

    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        (**self).get(kind, name).await
    }

    async fn create(&self, object: &Object) -> Result<StoreVersion, StoreError> {
        (**self).create(object).await
    }

    async fn update(&self, object: &Object) -> Result<StoreVersion, StoreError> {
        (**self).update(object).await
    }
}
