//! The store's record of an order.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as};

use crate::kernel::{AccountId, CallerId, ServiceId};

/// What the service answered.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Outcome {
    /// The HTTP status.
    pub status: u16,
    /// The body's type.
    #[serde(rename = "type")]
    pub mime: String,
    /// The body.
    #[serde_as(as = "Base64")]
    pub body: Vec<u8>,
}

/// What an operator found out about an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The service ran it.
    Ran,
    /// The service did not run it.
    NotRun,
}

/// How far an order has come.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum State {
    /// The named attempt may send.
    Claimed,
    /// The named attempt sent nothing and never will.
    NotRun,
    /// The service answered.
    Done {
        /// Its answer.
        outcome: Outcome,
    },
    /// The service may have run it.
    Unknown,
    /// An operator settled it.
    Settled {
        /// What the operator found.
        verdict: Verdict,
    },
    /// The outcome was dropped by age.
    Expired {
        /// Whether the service ran it; none where that was never known.
        ran: Option<bool>,
    },
}

/// The record of an order.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Record {
    /// The client account.
    pub account: AccountId,
    /// The caller beneath it.
    pub caller: CallerId,
    /// The caller's `Idempotency-Key`.
    pub key: Arc<str>,
    /// The service.
    pub service: ServiceId,
    /// SHA-256 of method, path and body, in hexadecimal.
    pub digest: Arc<str>,
    /// The attempt that may send, unique in the fleet.
    pub attempt: Arc<str>,
    /// The time of the last write, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// How far it has come.
    #[serde(flatten)]
    pub state: State,
}

/// What the expiry rule makes of a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Expiry {
    /// It stays.
    Keep,
    /// Its outcome is dropped, and the record stays so that its key never runs again.
    Shrink(Record),
    /// The record goes: its key states its own age and is refused from now on.
    Delete,
}

/// A margin for clocks that differ, and for calls on their way.
const CLOCK_MARGIN: Duration = Duration::from_secs(60 * 60);

impl Record {
    /// Applies the expiry rule for outcomes kept for `keep`.
    ///
    /// Unknown orders and claims that were never finished wait for an operator and stay.
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
        if self.refused(now_ms, keep) {
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

    /// Reports whether the record's key is too old to be taken, with a margin for other clocks.
    fn refused(&self, now_ms: u64, keep: Duration) -> bool {
        let margin = CLOCK_MARGIN.as_millis() as u64;
        Record::is_key_expired(&self.key, now_ms.saturating_sub(margin), keep)
    }

    /// Reports whether a key states an age of more than `keep`; its record may be gone, so that
    /// a call with it is refused.
    pub fn is_key_expired(key: &str, now_ms: u64, keep: Duration) -> bool {
        key_timestamp_ms(key)
            .is_some_and(|made| u128::from(now_ms.saturating_sub(made)) > keep.as_millis())
    }
}

/// The time in a key that is a UUID of version 7 (RFC 9562, section 5.7), in milliseconds since
/// the Unix epoch; none for any other key.
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
