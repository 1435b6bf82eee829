//! Reading of load reports, of which each value is read by itself.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use super::{LoadReport, StreamError};

/// The fields of a report, whose values are not read yet.
struct Fields {
    values: BTreeMap<String, Box<RawValue>>,
    /// Names of the fields whose values can't be read.
    unreadable: Vec<String>,
}

impl Fields {
    fn parse(body: &[u8]) -> Result<Fields, StreamError> {
        let values = serde_json::from_slice(body).map_err(|err| malformed(err.to_string()))?;
        Ok(Fields {
            values,
            unreadable: Vec::new(),
        })
    }

    /// Returns a field's value, or `None` if it can't be read.
    fn read<T>(&mut self, name: &str) -> Result<Option<T>, StreamError>
    where
        T: DeserializeOwned,
    {
        let value = self
            .values
            .get(name)
            .ok_or_else(|| malformed(format!("a load report without {name:?}")))?;
        let read = serde_json::from_str(value.get());
        if read.is_err() {
            self.unreadable.push(name.to_owned());
        }
        Ok(read.ok())
    }
}

/// Parses a load report. A value that can't be read is unknown and named in
/// [`LoadReport::unreadable`].
///
/// # Errors
///
/// Fails if the body is not a JSON object or lacks a field.
pub(super) fn parse_load_report(body: &[u8]) -> Result<LoadReport, StreamError> {
    let mut fields = Fields::parse(body)?;
    let running = fields.read("running")?;
    let waiting = fields.read("waiting")?;
    let age_ms = fields.read("age_ms")?;
    let has_counts = running.is_some() && waiting.is_some();
    let request_limit = match fields.values.contains_key("request_limit") {
        true => fields.read("request_limit")?.unwrap_or(Some(f64::NAN)),
        false => None,
    };
    Ok(LoadReport {
        sequence: fields.read("sequence")?.unwrap_or_default(),
        running: running.unwrap_or_default(),
        waiting: waiting.unwrap_or_default(),
        used_tokens: fields.read("used_tokens")?.unwrap_or_default(),
        total_tokens: fields.read("total_tokens")?.unwrap_or_default(),
        token_ms: fields.read("token_ms")?.unwrap_or_default(),
        // Counts that are not known, or from an unknown time, must not be used: they are stale.
        age_ms: age_ms.filter(|_| has_counts).unwrap_or(u64::MAX),
        versions: fields.read("versions")?.unwrap_or_default(),
        leaving: fields.read("leaving")?.unwrap_or_default(),
        request_limit,
        unreadable: fields.unreadable,
    })
}

fn malformed(cause: String) -> StreamError {
    StreamError::Malformed { cause }
}
