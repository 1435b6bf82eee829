//! What an order asks for.

use std::sync::Arc;

use super::{Outcome, Record};
use crate::{kernel::Time, store::StoreVersion};

/// What is known of earlier calls with the same key.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum EarlierCalls {
    /// None of them ran.
    NotRun,
    /// The record could not be read: one may have run.
    MayHaveRun,
}

/// The answer to the caller.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Reply {
    /// The service's answer.
    Outcome {
        /// The answer.
        outcome: Outcome,
        /// Whether an earlier call with the key got it.
        repeat: bool,
    },
    /// This call sent nothing and never will.
    NotRun {
        /// What is known of earlier calls.
        earlier: EarlierCalls,
    },
    /// An operator settled that it was not run; a new key is needed.
    SettledNotRun,
    /// It ran, and its outcome is not kept.
    RanBefore,
    /// Another call with the key is under way.
    InProgress,
    /// The service may have run it.
    Unknown,
    /// The key stands for another body.
    KeyReused,
}

/// An action that the driver carries out.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Create the record; answered by [`Event::Written`](super::Event::Written).
    Create(Record),
    /// Replace the record of a version; answered by [`Event::Written`](super::Event::Written).
    Replace {
        /// The record.
        record: Record,
        /// The version that it replaces.
        version: StoreVersion,
    },
    /// Read the record; answered by [`Event::Read`](super::Event::Read).
    Read,
    /// Send the order to a backend server, unless the time has passed by then.
    Send {
        /// The attempt, which goes with the order.
        attempt: Arc<str>,
        /// No byte may go out after this.
        by: Time,
    },
    /// Ask the service what became of an attempt.
    Query {
        /// The attempt.
        attempt: Arc<str>,
    },
    /// Answer the caller.
    Reply(Reply),
    /// Send [`Event::Tick`](super::Event::Tick) at a time, unless another event comes first.
    Wake {
        /// When.
        at: Time,
    },
}
