//! Records of orders, stored as objects.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use async_channel::Sender;
use sha2::{Digest, Sha256};
use slog::{info, warn, Logger};

use super::recent::RecentRecords;
use crate::{
    kernel::order::{Event, Record, State, StoredRecord, WriteError},
    observe::{Counter, Metrics},
    store::{Object, Objects, StoreError, StoreVersion},
};

/// The object kind of order records.
pub const KIND: &str = "orders";

/// Returns the name of an order's object, which is also the order's name at its service.
///
/// The name is the SHA-256 digest of account, caller, service and key, in hexadecimal.
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

/// Reads and writes records of orders in the object API.
#[derive(Clone)]
pub(super) struct Records {
    pub(super) objects: Arc<dyn Objects>,
    pub(super) metrics: Arc<Metrics>,
    pub(super) recent: Arc<RecentRecords>,
    /// Wakes the task that writes lost records again.
    pub(super) wake: Sender<()>,
    pub(super) log: Logger,
}

impl Records {
    /// Writes a record that replaces `version`, or creates it if there is none.
    pub(super) async fn write(self, record: Record, version: StoreVersion) -> Event {
        let record = Record {
            since_ms: now_ms(),
            ..record
        };
        let mut object = new_object(&record);
        object.version = version;
        let written = if version.is_none() {
            self.objects.create(&object).await
        } else {
            self.objects.update(&object).await
        };
        self.observe_era();
        let stored_in = written.as_ref().ok().map(|version| version.era());
        // A claim whose write failed holds no permission; any other state is final for its attempt.
        if stored_in.is_some() || record.state != State::Claimed {
            self.recent.remember(&object.name, &record, stored_in);
        }
        Event::Written(written.map_err(|err| self.write_error(&err)))
    }

    /// Reads the record of a name; its claim counts as lapsed once it is older than `lapse_after`.
    pub(super) async fn read(self, name: String, lapse_after: Duration) -> Event {
        let found = self.objects.get(KIND, &name).await;
        self.observe_era();
        match found {
            Ok(None) => Event::Read(Some(None)),
            Ok(Some(object)) => Event::Read(self.parse(object, lapse_after).map(Some)),
            Err(err) => {
                self.write_error(&err);
                Event::Read(None)
            }
        }
    }

    /// Notes the era that the store's answers name, and starts to write lost records again if it is
    /// new.
    pub(super) fn observe_era(&self) {
        let era = self.objects.era();
        let Some(before) = self.recent.observe_era(era) else {
            return;
        };
        warn!(self.log, "store of order records has a new era"; "before" => before, "era" => era);
        // A full channel has woken the task already.
        let _ = self.wake.try_send(());
    }

    /// Parses an object as a record; logs and returns `None` if it is malformed.
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
        info!(self.log, "order record could not be written or read"; "cause" => %err);
        error
    }
}

/// Returns the object of a record that was not written yet.
pub(super) fn new_object(record: &Record) -> Object {
    let name = record_name(
        &record.account,
        &record.caller,
        &record.service,
        &record.key,
    );
    // INVARIANT: a record consists of strings and numbers, which can always be serialised as JSON.
    let spec = serde_json::to_value(record).expect("a record can be serialised as JSON");
    Object::new(KIND, &name, spec)
}

/// Returns the wall clock time in milliseconds since the Unix epoch.
pub(crate) fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
