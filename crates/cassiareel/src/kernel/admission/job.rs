//! Queued requests and the reasons for refusing them.

use std::time::Duration;

use crate::kernel::{AccountId, CallerId, Time};

/// The client account and caller of a request, with their weights from the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Requester {
    /// The client account.
    pub account: AccountId,
    /// The caller within the account.
    pub caller: CallerId,
    /// The account's weight among accounts.
    pub account_weight: f64,
    /// The caller's weight among the account's callers.
    pub caller_weight: f64,
}

/// A queued request.
#[derive(Clone, Debug, PartialEq)]
pub struct Job<T> {
    /// Who sent the request.
    pub requester: Requester,
    /// Priority among the jobs of one caller; lower runs earlier.
    pub priority: i32,
    /// The expected cost, in tokens.
    pub cost: u64,
    /// The time at which the caller stops waiting.
    pub deadline: Time,
    /// Data that the owner of the queue attaches to the job.
    pub item: T,
}

/// The reason for refusing a request that has not run, with the time after which a retry can
/// succeed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The request would be served after its deadline.
    Late(Duration),
    /// The deadline passed while the request was queued.
    Expired(Duration),
    /// The queue is full, and the account or caller of the request uses the largest part of it.
    Full(Duration),
}

impl Refusal {
    /// Returns the time after which a retry can succeed.
    pub fn retry_after(&self) -> Duration {
        match *self {
            Refusal::Late(retry) | Refusal::Expired(retry) | Refusal::Full(retry) => retry,
        }
    }
}

/// A refused request.
#[derive(Clone, Debug, PartialEq)]
pub struct Refused<T> {
    /// The request.
    pub job: Job<T>,
    /// The reason.
    pub reason: Refusal,
}
