//! The actions that a generation requests from its driver.

use crate::kernel::{generation::FinishReason, Attempt, BackendId, Position, Time, TokenId};

/// How a generation ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Ending {
    /// The answer is complete.
    Complete(FinishReason),
    /// Nothing ran, since no backend server was available in time.
    NotRun,
    /// An engine has started, but the answer can't be continued. It is intact up to the position
    /// reached.
    Partial,
    /// The caller has disconnected or given up the request.
    Abandoned,
}

/// An action for the driver to carry out.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Choose a backend server for the attempt, other than the excluded ones.
    Choose {
        /// The attempt.
        attempt: Attempt,
        /// Backend servers that this generation has lost.
        exclude: Vec<BackendId>,
    },
    /// Start the attempt at a backend server, after the tokens emitted so far.
    Open {
        /// The attempt.
        attempt: Attempt,
        /// The backend server.
        backend: BackendId,
    },
    /// Reattach to the attempt's live stream, after the tokens emitted so far.
    Attach {
        /// The attempt.
        attempt: Attempt,
        /// The backend server.
        backend: BackendId,
        /// The time until which the engine may answer.
        until: Time,
    },
    /// Cancel the attempt at a backend server, so that the server does no useless work.
    Cancel {
        /// The attempt.
        attempt: Attempt,
        /// The backend server.
        backend: BackendId,
    },
    /// Send tokens to the caller.
    Emit {
        /// The position of the first token.
        position: Position,
        /// The tokens.
        ids: Vec<TokenId>,
        /// The text that they complete.
        text: String,
    },
    /// Send [`Event::Tick`](super::Event::Tick) at the given time, unless another event occurs
    /// first.
    Wake {
        /// The time.
        at: Time,
    },
    /// End the answer.
    End(Ending),
}
