//! Reading of a list's entries, each by itself.
//!
//! Others write to the same lists. An entry that can't be read must not hide the others.

use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use slog::{warn, Logger};

use super::StoreError;

/// An entry of a list, whose contents are not read yet.
pub(super) type Entry = Box<RawValue>;

/// Parses an entry.
///
/// # Errors
///
/// Fails if the entry is not of the type.
pub(super) fn parse_entry<T>(entry: &RawValue) -> Result<T, StoreError>
where
    T: DeserializeOwned,
{
    serde_json::from_str(entry.get()).map_err(|err| StoreError::Invalid {
        cause: err.to_string(),
    })
}

/// Returns what was read from an entry; logs an error and returns `None` if it can't be read.
pub(super) fn skip_unreadable<T>(
    log: &Logger,
    kind: &str,
    entry: Result<T, StoreError>,
) -> Option<T> {
    entry
        .inspect_err(|err| warn!(log, "unreadable entry skipped"; "kind" => kind, "cause" => %err))
        .ok()
}
