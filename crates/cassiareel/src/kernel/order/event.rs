//! What an order is told.

use super::{Outcome, Record};
use crate::store::StoreVersion;

/// How a write to the store failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum WriteError {
    /// Another writer was first.
    Conflict,
    /// The write certainly had no effect.
    NotApplied,
    /// The write may have taken effect, or may yet.
    Ambiguous,
}

/// A record as the store returned it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct StoredRecord {
    /// The record.
    pub record: Record,
    /// Its version.
    pub version: StoreVersion,
    /// Whether its claim is older than any holder needs; it says when to ask the service, and
    /// never gives a permission.
    pub lapsed: bool,
}

/// What the service says of an order when it is asked.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum QueryResult {
    /// It ran, with this outcome.
    Ran(Outcome),
    /// It did not run, and the service refuses it from now on.
    Blocked,
    /// The service does not know it, or can't be asked; it may still arrive there.
    Inconclusive,
}

/// An event in an order's life.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    /// The store answered a write.
    Written(Result<StoreVersion, WriteError>),
    /// The store answered a read; none where it could not be read.
    Read(Option<Option<StoredRecord>>),
    /// The service answered under the order's name and attempt.
    Answered(Outcome),
    /// No byte went to the service, or the service said that it ran nothing.
    NotSent,
    /// The service's answer was lost, crossed or late.
    Lost,
    /// The service was asked what became of the order.
    Queried(QueryResult),
    /// Time passed.
    Tick,
}
