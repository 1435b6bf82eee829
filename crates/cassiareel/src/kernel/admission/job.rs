//! What waits, and how it is refused.

use std::time::Duration;

use crate::kernel::{AccountId, CallerId, Time};

/// Whose work it is, with the weights of the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Requester {
    /// The client account.
    pub account: AccountId,
    /// The caller beneath it.
    pub caller: CallerId,
    /// The account's weight among accounts.
    pub account_weight: f64,
    /// The caller's weight among the account's callers.
    pub caller_weight: f64,
}

/// A request that waits.
#[derive(Clone, Debug, PartialEq)]
pub struct Job<T> {
    /// Whose it is.
    pub requester: Requester,
    /// Lower goes earlier among one caller's jobs.
    pub priority: i32,
    /// What it is expected to cost, in tokens.
    pub cost: u64,
    /// When its caller stops waiting.
    pub deadline: Time,
    /// What the owner of the queue keeps with it.
    pub item: T,
}

/// Why a request was refused without having run, with the time after which a retry can succeed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// Its turn would come after its deadline.
    Late(Duration),
    /// Its deadline passed while it waited.
    Expired(Duration),
    /// The queue is full, and this account or caller has the largest part of it.
    Full(Duration),
}

impl Refusal {
    /// The time after which a retry can succeed.
    pub fn retry_after(&self) -> Duration {
        match *self {
            Refusal::Late(retry) | Refusal::Expired(retry) | Refusal::Full(retry) => retry,
        }
    }
}

/// A request that is refused.
#[derive(Clone, Debug, PartialEq)]
pub struct Refused<T> {
    /// The request.
    pub job: Job<T>,
    /// Why.
    pub reason: Refusal,
}
