//! The actions and replies of an order's state machine.

use std::sync::Arc;

use super::{Outcome, Record};
use crate::{kernel::Time, store::StoreVersion};

/// What is known of earlier calls with the same key.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum EarlierCalls {
    /// None of them ran.
    NotRun,
    /// The record could not be read, so that one of them may have run.
    MayHaveRun,
}

/// The reply to the caller.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Reply {
    /// The service's answer.
    Outcome {
        /// The answer.
        outcome: Outcome,
        /// Whether the answer was given to an earlier call with the same key.
        repeat: bool,
    },
    /// This call sent nothing and never will.
    NotRun {
        /// What is known of earlier calls.
        earlier: EarlierCalls,
    },
    /// An operator settled the order as not run; the caller needs a new key.
    SettledNotRun,
    /// The order ran, and its outcome is no longer stored.
    RanBefore,
    /// Another call with the same key is in progress.
    InProgress,
    /// The service may have run the order.
    Unknown,
    /// The key was used before for a call with a different body.
    KeyReused,
}

/// An action that the driver carries out.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Create the record; answered by [`Event::Written`](super::Event::Written).
    Create(Record),
    /// Replace one version of the record; answered by [`Event::Written`](super::Event::Written).
    Replace {
        /// The new record.
        record: Record,
        /// The version that is replaced; the write fails if the stored version differs.
        version: StoreVersion,
    },
    /// Read the record; answered by [`Event::Read`](super::Event::Read).
    Read,
    /// Send the order to a backend server, unless `by` has passed.
    Send {
        /// The attempt, which is sent with the order.
        attempt: Arc<str>,
        /// The deadline: no byte may be sent after it.
        by: Time,
    },
    /// Query the service for the outcome of an attempt; answered by
    /// [`Event::Queried`](super::Event::Queried).
    Query {
        /// The attempt.
        attempt: Arc<str>,
    },
    /// Reply to the caller.
    Reply(Reply),
    /// Send [`Event::Tick`](super::Event::Tick) at a time, unless another event comes first.
    Wake {
        /// The time of the tick.
        at: Time,
    },
}
