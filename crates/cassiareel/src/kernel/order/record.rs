//! The store's record of an order.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as};

use crate::kernel::{AccountId, CallerId, ServiceId};

/// An answer of the service.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Outcome {
    /// The HTTP status.
    pub status: u16,
    /// The body's media type.
    #[serde(rename = "type")]
    pub mime: String,
    /// The body.
    #[serde_as(as = "Base64")]
    pub body: Vec<u8>,
}

/// An operator's finding about an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The service ran the order.
    Ran,
    /// The service did not run the order.
    NotRun,
}

/// The state of an order.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum State {
    /// The attempt named in the record may send.
    Claimed,
    /// The attempt named in the record sent nothing and never will.
    NotRun,
    /// The service answered.
    Done {
        /// The answer.
        outcome: Outcome,
    },
    /// The service may have run the order.
    Unknown,
    /// An operator settled the order.
    Settled {
        /// The operator's finding.
        verdict: Verdict,
    },
    /// The outcome was dropped because of its age.
    Expired {
        /// Whether the service ran the order, if that was ever known.
        ran: Option<bool>,
    },
}

/// The record of an order.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Record {
    /// The client account.
    pub account: AccountId,
    /// The caller within the account.
    pub caller: CallerId,
    /// The caller's `Idempotency-Key`.
    pub key: Arc<str>,
    /// The service.
    pub service: ServiceId,
    /// SHA-256 of method, path and body, in hexadecimal.
    pub digest: Arc<str>,
    /// The attempt that may send, unique within the fleet.
    pub attempt: Arc<str>,
    /// The time of the last write, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// The state of the order.
    #[serde(flatten)]
    pub state: State,
}

/// The effect of the expiry rule on a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Expiry {
    /// The record stays unchanged.
    Keep,
    /// The outcome is dropped; the record stays, so that its key never runs again.
    Shrink(Record),
    /// The record is deleted: its key contains its time of creation and is rejected from now on.
    Delete,
}

/// Margin for the difference between clocks, and for calls in flight.
const CLOCK_MARGIN: Duration = Duration::from_secs(60 * 60);

impl Record {
    /// Reports whether this record's state replaces a stored record of the same key.
    pub fn supersedes(&self, stored: &Record) -> bool {
        if self.attempt != stored.attempt {
            // In a restored store, another attempt may have a record and not the permission to send.
            return stored.state == State::NotRun && self.state != State::NotRun;
        }
        match stored.state {
            State::Claimed => self.state != State::Claimed,
            State::Unknown => !matches!(self.state, State::Claimed | State::Unknown),
            _ => false,
        }
    }

    /// Applies the expiry rule for outcomes that are kept for `keep`.
    ///
    /// Unknown orders and claims that were never finished need an operator and are kept.
    pub fn expire(&self, now_ms: u64, keep: Duration) -> Expiry {
        let age = now_ms.saturating_sub(self.since_ms);
        if u128::from(age) < keep.as_millis() {
            return Expiry::Keep;
        }
        let ran = match &self.state {
            State::Claimed | State::Unknown => return Expiry::Keep,
            State::Expired { ran } => *ran,
            State::Done { .. } => Some(true),
            State::NotRun => Some(false),
            State::Settled { verdict } => Some(*verdict == Verdict::Ran),
        };
        if self.is_rejected(now_ms, keep) {
            return Expiry::Delete;
        }
        if matches!(self.state, State::Expired { .. }) {
            return Expiry::Keep;
        }
        Expiry::Shrink(Record {
            state: State::Expired { ran },
            ..self.clone()
        })
    }

    /// Reports whether the record's key is too old to be accepted, with a margin for other clocks.
    fn is_rejected(&self, now_ms: u64, keep: Duration) -> bool {
        let margin = CLOCK_MARGIN.as_millis() as u64;
        Record::is_key_expired(&self.key, now_ms.saturating_sub(margin), keep)
    }

    /// Reports whether a key contains a time of creation that is more than `keep` ago. The record
    /// of such a key may be deleted, so that calls with it are rejected.
    pub fn is_key_expired(key: &str, now_ms: u64, keep: Duration) -> bool {
        key_timestamp_ms(key).is_some_and(|created_ms| {
            u128::from(now_ms.saturating_sub(created_ms)) > keep.as_millis()
        })
    }
}

/// Returns the timestamp of a key that is a UUID of version 7 (RFC 9562, section 5.7), in
/// milliseconds since the Unix epoch; `None` for any other key.
///
/// # Examples
///
/// ```
/// use cassiareel::kernel::order::key_timestamp_ms;
///
/// assert_eq!(key_timestamp_ms("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"), Some(1_645_557_742_000));
/// assert_eq!(key_timestamp_ms("gift-set-81"), None);
/// ```
pub fn key_timestamp_ms(key: &str) -> Option<u64> {
    let groups: Vec<&str> = key.split('-').collect();
    let lengths: Vec<usize> = groups.iter().map(|group| group.len()).collect();
    if lengths != [8, 4, 4, 4, 12] || !groups[2].starts_with('7') {
        return None;
    }
    let digits = groups.concat();
    if !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    u64::from_str_radix(&digits[..12], 16).ok()
}
