//! Conditional updates of one object, which resolve lost answers by reading the object back.

use serde::{de::DeserializeOwned, Serialize};
use snafu::Snafu;

use crate::store::{Object, Objects, StoreEra, StoreError, StoreVersion};

/// Number of attempts before a change fails because of other writers.
const MAX_ATTEMPTS: usize = 8;

/// The reason why a change was not made.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum ChangeError {
    /// The object API failed or rejected the call.
    #[snafu(display("{source}"))]
    Store {
        /// The error of the object API.
        source: StoreError,
    },
    /// The current state of the object does not allow the change.
    #[snafu(display("{reason}"))]
    Refused {
        /// Why the change is not allowed, and what would help.
        reason: String,
    },
    /// Another writer changed the object at each attempt.
    #[snafu(display("{name} changes all the time; try again"))]
    Contended {
        /// The object.
        name: String,
    },
    /// The object's contents don't have the format of this version of the program.
    #[snafu(display("{name} can't be read: {cause}"))]
    Malformed {
        /// The object.
        name: String,
        /// The parse error.
        cause: String,
    },
}

/// Reads an object's contents; returns the default if there is no such object.
pub(super) async fn read<T>(objects: &dyn Objects, kind: &str, name: &str) -> Result<T, ChangeError>
where
    T: Default + DeserializeOwned,
{
    Ok(load(objects, kind, name).await?.1)
}

/// Changes an object by conditional update, and returns the contents that were written.
///
/// If another writer was first, the change is repeated on the newer contents. If an answer was lost,
/// the object is read back: if its contents equal what was sent, either this write or another one
/// with the same change has succeeded, and both count as success. `change` is given the store's era,
/// which numbers that must not be given twice depend on.
pub(super) async fn update<T, F>(
    objects: &dyn Objects,
    kind: &str,
    name: &str,
    change: F,
) -> Result<T, ChangeError>
where
    T: Default + DeserializeOwned + PartialEq + Serialize,
    F: Fn(&mut T, StoreEra) -> Result<(), String>,
{
    let mut sent: Option<T> = None;
    for _ in 0..MAX_ATTEMPTS {
        let (object, contents) = load::<T>(objects, kind, name).await?;
        if sent.as_ref() == Some(&contents) {
            return Ok(contents);
        }
        let mut next: T = decode(&object, kind, name)?;
        let era = object
            .as_ref()
            .map_or_else(|| objects.era(), |object| object.version.era());
        change(&mut next, era).map_err(|reason| ChangeError::Refused { reason })?;
        let spec = serde_json::to_value(&next).map_err(|err| malformed(name, &err))?;
        let version = object
            .as_ref()
            .map_or(StoreVersion::NONE, |object| object.version);
        let object = Object {
            version,
            ..Object::new(kind, name, spec)
        };
        let written = if version.is_none() {
            objects.create(&object).await
        } else {
            objects.update(&object).await
        };
        match written {
            Ok(_) => return Ok(next),
            Err(StoreError::Conflict { .. }) => {}
            Err(StoreError::Ambiguous { .. }) => sent = Some(next),
            Err(source) => return Err(ChangeError::Store { source }),
        }
    }
    Err(ChangeError::Contended {
        name: name.to_owned(),
    })
}

async fn load<T>(
    objects: &dyn Objects,
    kind: &str,
    name: &str,
) -> Result<(Option<Object>, T), ChangeError>
where
    T: Default + DeserializeOwned,
{
    let object = objects
        .get(kind, name)
        .await
        .map_err(|source| ChangeError::Store { source })?;
    let contents = decode(&object, kind, name)?;
    Ok((object, contents))
}

fn decode<T>(object: &Option<Object>, _kind: &str, name: &str) -> Result<T, ChangeError>
where
    T: Default + DeserializeOwned,
{
    match object {
        Some(object) => {
            serde_json::from_value(object.spec.clone()).map_err(|err| malformed(name, &err))
        }
        None => Ok(T::default()),
    }
}

fn malformed(name: &str, err: &serde_json::Error) -> ChangeError {
    ChangeError::Malformed {
        name: name.to_owned(),
        cause: err.to_string(),
    }
}
