//! Records of orders as objects.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use sha2::{Digest, Sha256};
use slog::{info, Logger};

use crate::{
    kernel::order::{Event, Record, StoredRecord, WriteError},
    observe::{Counter, Metrics},
    store::{Object, Objects, StoreError, StoreVersion},
};

/// The kind of the objects.
pub const KIND: &str = "orders";

/// The name of an order's object, and of the order at its service: SHA-256 of account, caller,
/// service and key, in hexadecimal.
///
/// # Examples
///
/// ```
/// use cassiareel::orders::record_name;
///
/// assert_eq!(record_name("a", "b", "c", "d").len(), 64);
/// assert_ne!(record_name("a", "b", "c", "d"), record_name("ab", "", "c", "d"));
/// ```
pub fn record_name(account: &str, caller: &str, service: &str, key: &str) -> String {
    let mut hash = Sha256::new();
    for part in [account, caller, service, key] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part.as_bytes());
    }
    hex::encode(hash.finalize())
}

/// The records in the object API.
#[derive(Clone)]
pub(super) struct Records {
    pub(super) objects: Arc<dyn Objects>,
    pub(super) metrics: Arc<Metrics>,
    pub(super) log: Logger,
}

impl Records {
    /// Writes a record in the place of a version; 0 creates it.
    pub(super) async fn write(self, record: Record, version: StoreVersion) -> Event {
        let record = Record {
            since_ms: now_ms(),
            ..record
        };
        let mut object = new_object(&record);
        object.version = version;
        let written = match version {
            0 => self.objects.create(&object).await,
            _ => self.objects.update(&object).await,
        };
        Event::Written(written.map_err(|err| self.write_error(&err)))
    }

    /// Reads the record of a name.
    pub(super) async fn read(self, name: String, lapse_after: Duration) -> Event {
        match self.objects.get(KIND, &name).await {
            Ok(None) => Event::Read(Some(None)),
            Ok(Some(object)) => Event::Read(self.parse(object, lapse_after).map(Some)),
            Err(err) => {
                self.write_error(&err);
                Event::Read(None)
            }
        }
    }

    /// Takes an object for a record; none where it is not one.
    pub(super) fn parse(&self, object: Object, lapse_after: Duration) -> Option<StoredRecord> {
        let name = object.name;
        match serde_json::from_value::<Record>(object.spec) {
            Ok(record) => {
                let age = Duration::from_millis(now_ms().saturating_sub(record.since_ms));
                Some(StoredRecord {
                    version: object.version,
                    lapsed: age > lapse_after,
                    record,
                })
            }
            Err(err) => {
                info!(self.log, "order record is malformed"; "order" => name, "cause" => %err);
                None
            }
        }
    }

    fn write_error(&self, err: &StoreError) -> WriteError {
        let error = match err {
            StoreError::Conflict { .. } => return WriteError::Conflict,
            StoreError::Ambiguous { .. } => WriteError::Ambiguous,
            _ => WriteError::NotApplied,
        };
        self.metrics
            .count(Counter::StoreErrors, 1, &[("kind", KIND)]);
        info!(self.log, "order record not written or read"; "cause" => %err);
        error
    }
}

/// The object of a record, not yet written.
pub(super) fn new_object(record: &Record) -> Object {
    let name = record_name(
        &record.account,
        &record.caller,
        &record.service,
        &record.key,
    );
    // INVARIANT: a record is strings and numbers, which always have a JSON form.
    let spec = serde_json::to_value(record).expect("a record is JSON");
    Object::new(KIND, &name, spec)
}

/// Milliseconds since the Unix epoch.
pub(crate) fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
