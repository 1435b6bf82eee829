//! Conditional changes of one object, with lost answers resolved by reading back.

use serde::{de::DeserializeOwned, Serialize};
use snafu::Snafu;

use crate::store::{Object, Objects, StoreError};

/// Tries before a change gives way to the other writers.
const TRIES: usize = 8;

/// Why a change was not made.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum ChangeError {
    /// The object API did not take it.
    #[snafu(display("{source}"))]
    Store {
        /// The error.
        source: StoreError,
    },
    /// The change does not fit the object as it is.
    #[snafu(display("{reason}"))]
    Refused {
        /// What is in the way and what would help.
        reason: String,
    },
    /// Other writers were first each time.
    #[snafu(display("{name} changes all the time; try again"))]
    Contended {
        /// The object.
        name: String,
    },
    /// The object is not as this version of the program writes it.
    #[snafu(display("{name} can't be read: {cause}"))]
    Malformed {
        /// The object.
        name: String,
        /// What is wrong.
        cause: String,
    },
}

/// Reads an object's contents; the default where there is none.
pub(super) async fn read<T>(objects: &dyn Objects, kind: &str, name: &str) -> Result<T, ChangeError>
where
    T: Default + DeserializeOwned,
{
    Ok(load(objects, kind, name).await?.1)
}

/// Changes an object by conditional update, and returns what was written.
///
/// The change is made again on the newer contents where another writer was first. Where an answer
/// was lost, the object is read back: contents that are just what was written are this write, or
/// one that made the same change, which comes to the same.
pub(super) async fn change<T, F>(
    objects: &dyn Objects,
    kind: &str,
    name: &str,
    change: F,
) -> Result<T, ChangeError>
where
    T: Default + DeserializeOwned + PartialEq + Serialize,
    F: Fn(&mut T) -> Result<(), String>,
{
    let mut sent: Option<T> = None;
    for _ in 0..TRIES {
        let (object, contents) = load::<T>(objects, kind, name).await?;
        if sent.as_ref() == Some(&contents) {
            return Ok(contents);
        }
        let mut next: T = decode(&object, kind, name)?;
        change(&mut next).map_err(|reason| ChangeError::Refused { reason })?;
        let spec = serde_json::to_value(&next).map_err(|err| malformed(name, &err))?;
        let version = object.as_ref().map_or(0, |object| object.version);
        let object = Object {
            version,
            ..Object::new(kind, name, spec)
        };
        let written = match version {
            0 => objects.create(&object).await,
            _ => objects.update(&object).await,
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
