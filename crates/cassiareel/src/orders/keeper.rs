//! The task that writes records again that a restored store has lost.

use async_channel::Receiver;
use futures_lite::FutureExt;
use slog::{info, warn};
use smol::Timer;

use super::records::{new_object, Records, KIND};
use crate::{
    kernel::order::{Record, State},
    store::{Object, StoreError},
};

/// Writes lost records again until the channel is closed. A message starts a check at once.
pub(super) async fn run(records: Records, wake: Receiver<()>) {
    loop {
        let timer = async {
            Timer::after(records.recent.check_interval()).await;
            true
        };
        let woken = async { wake.recv().await.is_ok() };
        if !woken.or(timer).await {
            return;
        }
        check(&records).await;
    }
}

/// Looks for a new era, and writes the records again that the store has not confirmed in it.
async fn check(records: &Records) {
    let Some(name) = records.recent.any_name() else {
        return;
    };
    // A node that makes no other call learns of a new era from this answer.
    let answer = records.objects.get(KIND, &name).await;
    records.observe_era();
    if let Err(err) = answer {
        info!(records.log, "era of the store not read"; "cause" => %err);
        return;
    }
    for (name, record) in records.recent.unconfirmed() {
        if let Err(err) = write_again(records, &name, &record).await {
            warn!(records.log, "order record not written again";
                "order" => name, "attempt" => &*record.attempt, "cause" => %err);
        }
    }
}

/// Writes a record again, unless the store has it or one that replaces it.
async fn write_again(records: &Records, name: &str, record: &Record) -> Result<(), StoreError> {
    let mut object = new_object(record);
    let written = match records.objects.get(KIND, name).await? {
        None => records.objects.create(&object).await?,
        Some(found) => {
            let Some(stored) = stored_record(&found) else {
                return Err(StoreError::Invalid {
                    cause: "the stored record is malformed".to_owned(),
                });
            };
            if !record.supersedes(&stored) {
                settle_found(records, name, record, &found, &stored);
                return Ok(());
            }
            object.version = found.version;
            records.objects.update(&object).await?
        }
    };
    info!(records.log, "order record written again";
        "order" => name, "attempt" => &*record.attempt, "era" => written.era());
    records.recent.confirm(name, written.era());
    Ok(())
}

fn stored_record(object: &Object) -> Option<Record> {
    serde_json::from_value(object.spec.clone()).ok()
}

/// Handles a stored record that this node's record does not replace.
fn settle_found(records: &Records, name: &str, record: &Record, found: &Object, stored: &Record) {
    if record.attempt != stored.attempt {
        warn!(records.log, "order has a record of another attempt"; "order" => name,
            "attempt" => &*record.attempt, "found" => &*stored.attempt);
        // A claim that may not send yet is about to be given up.
        if stored.state == State::Claimed {
            return;
        }
    }
    records.recent.confirm(name, found.version.era());
}
