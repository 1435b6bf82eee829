//! What a generation is told.

use serde::{Deserialize, Serialize};

use crate::kernel::{Attempt, BackendId, Position, TokenId};

/// Why an engine stopped by itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended, or a stop sequence was met.
    Stop,
    /// The allowed count of tokens was reached.
    Length,
}

/// How an attempt was lost.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Loss {
    /// The engine refused before it ran anything.
    Refused,
    /// The connection failed or was reset.
    Reset,
    /// No token came in time.
    Silent,
    /// The answer did not fit its request, attempt or position.
    Mismatch,
}

/// Why no backend server was chosen.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum NoBackend {
    /// None is fit now; one may be soon.
    Busy,
    /// The settings name none for the version.
    Unplaced,
}

/// An event in a generation's life.
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
        /// Why.
        reason: NoBackend,
    },
    /// Tokens arrived.
    Tokens {
        /// The attempt that they came from.
        attempt: Attempt,
        /// The place of the first one.
        position: Position,
        /// The tokens.
        ids: Vec<TokenId>,
        /// The text that they complete.
        text: String,
    },
    /// The engine ended the answer.
    Finished {
        /// The attempt that ended.
        attempt: Attempt,
        /// The count of tokens of the whole answer.
        position: Position,
        /// Why.
        reason: FinishReason,
    },
    /// The attempt was lost.
    Lost {
        /// The attempt.
        attempt: Attempt,
        /// How.
        loss: Loss,
    },
    /// The live stream of the attempt was taken up again.
    Attached {
        /// The attempt.
        attempt: Attempt,
    },
    /// The caller has not read for so long that the engine should not wait for it.
    CallerStalled,
    /// The caller reads again.
    CallerResumed,
    /// The live stream is not the one whose tokens the caller has.
    WrongStream,
    /// Another node has taken up the attempt's stream for the caller.
    Replaced {
        /// The attempt.
        attempt: Attempt,
    },
    /// The caller's connection is lost, and it may come back at any node.
    CallerDisconnected,
    /// The caller is gone for good.
    Abandoned,
    /// Time passed.
    Tick,
}
