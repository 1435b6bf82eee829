//! The events that a generation receives.

use serde::{Deserialize, Serialize};

use crate::kernel::{Attempt, BackendId, Position, TokenId};

/// Why an engine finished an answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended the answer, or a stop sequence was produced.
    Stop,
    /// The maximum number of tokens was reached.
    Length,
}

/// How an attempt was lost.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Loss {
    /// The engine refused the request before running it.
    Refused,
    /// The connection failed or was reset.
    Reset,
    /// No token arrived in time.
    Silent,
    /// The answer did not match its request, attempt or position.
    Mismatch,
}

/// Why no backend server was chosen.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum NoBackend {
    /// No server is available now, but one may become available soon.
    Busy,
    /// The settings assign no server to the version.
    Unplaced,
}

/// An event of a generation.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    /// A backend server was chosen for the attempt.
    Chosen {
        /// The attempt.
        attempt: Attempt,
        /// The backend server.
        backend: BackendId,
    },
    /// No backend server could be chosen for the attempt.
    NotChosen {
        /// The attempt.
        attempt: Attempt,
        /// The reason.
        reason: NoBackend,
    },
    /// Tokens arrived.
    Tokens {
        /// The attempt that sent them.
        attempt: Attempt,
        /// The position of the first token.
        position: Position,
        /// The tokens.
        ids: Vec<TokenId>,
        /// The text that they complete.
        text: String,
    },
    /// The engine finished the answer.
    Finished {
        /// The attempt that finished.
        attempt: Attempt,
        /// The number of tokens of the whole answer.
        position: Position,
        /// The reason.
        reason: FinishReason,
    },
    /// The attempt was lost.
    Lost {
        /// The attempt.
        attempt: Attempt,
        /// How it was lost.
        loss: Loss,
    },
    /// The driver has reattached to the attempt's live stream.
    Attached {
        /// The attempt.
        attempt: Attempt,
    },
    /// The caller has not read for so long that the engine should not wait any longer.
    CallerStalled,
    /// The caller has resumed reading.
    CallerResumed,
    /// The live stream differs from the tokens that the caller has.
    WrongStream,
    /// Another node has attached to the attempt's stream for the caller.
    Replaced {
        /// The attempt.
        attempt: Attempt,
    },
    /// The caller's connection was lost, and the caller may reconnect to any node.
    CallerDisconnected,
    /// The caller has given up the request.
    Abandoned,
    /// The requested wake-up time has been reached.
    Tick,
}
