//! What a generation asks for.

use crate::kernel::{generation::FinishReason, Attempt, BackendId, Position, Time, TokenId};

/// How a generation ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Ending {
    /// The answer is whole.
    Complete(FinishReason),
    /// Nothing ran: no backend server could take it in time.
    NotRun,
    /// An engine began, and the answer, whole up to the position reached, can't go on.
    Partial,
    /// The caller went away.
    Abandoned,
}

/// An action that the driver carries out.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Choose a backend server for the attempt, other than those excluded.
    Choose {
        /// The attempt.
        attempt: Attempt,
        /// Backend servers that this generation lost.
        exclude: Vec<BackendId>,
    },
    /// Open the attempt at a backend server, after the tokens passed on so far.
    Open {
        /// The attempt.
        attempt: Attempt,
        /// The backend server.
        backend: BackendId,
    },
    /// Take up the attempt's live stream again, after the tokens passed on so far.
    Attach {
        /// The attempt.
        attempt: Attempt,
        /// The backend server.
        backend: BackendId,
    },
    /// Cancel the attempt at a backend server, so that it works for nobody.
    Cancel {
        /// The attempt.
        attempt: Attempt,
        /// The backend server.
        backend: BackendId,
    },
    /// Pass tokens on to the caller.
    Emit {
        /// The place of the first one.
        position: Position,
        /// The tokens.
        ids: Vec<TokenId>,
        /// The text that they complete.
        text: String,
    },
    /// Send [`Event::Tick`](super::Event::Tick) at a time, unless another event comes first.
    Wake {
        /// When.
        at: Time,
    },
    /// End the answer.
    End(Ending),
}
