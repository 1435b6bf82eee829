//! The events of an order's state machine.

use super::{Outcome, Record};
use crate::{kernel::Time, store::StoreVersion};

/// How a write to the store failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum WriteError {
    /// Another write changed the record first.
    Conflict,
    /// The write certainly had no effect.
    NotApplied,
    /// The write may have taken effect, or may take effect later.
    Ambiguous,
}

/// A record as the store returned it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct StoredRecord {
    /// The record.
    pub record: Record,
    /// Its version.
    pub version: StoreVersion,
    /// Whether its claim is older than the longest time that an attempt takes. A lapsed claim is a
    /// reason to query the service, and never permits another attempt to send.
    pub lapsed: bool,
}

/// The result of querying the service about an attempt.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum QueryResult {
    /// The attempt ran, with this outcome.
    Ran(Outcome),
    /// The attempt did not run, and the service rejects it from now on.
    Blocked,
    /// The service does not know the attempt, or can't be queried; the attempt may still arrive
    /// there.
    Inconclusive,
}

/// An event of an order.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    /// The store answered a write.
    Written(Result<StoreVersion, WriteError>),
    /// The store answered a read; the outer `None` stands for a failed read, the inner one for a
    /// record that does not exist.
    Read(Option<Option<StoredRecord>>),
    /// The service answered this order's attempt.
    Answered(Outcome),
    /// No byte was sent to the service, or the service reported that it ran nothing.
    NotSent,
    /// The service's answer was lost, belongs to another request or came too late.
    Lost,
    /// The store was restored from a copy, and may lack records of earlier calls until the nodes have
    /// written them again.
    EraBegan {
        /// The time at which the nodes have written them.
        settled_at: Time,
    },
    /// The query of the service ended.
    Queried(QueryResult),
    /// Time passed.
    Tick,
}
