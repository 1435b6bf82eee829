//! A model engine as a trait.

use std::{pin::Pin, sync::Arc};

use async_trait::async_trait;
use futures_lite::Stream;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::kernel::{
    generation::FinishReason, Attempt, Fence, Position, RequestId, TokenId, VersionId,
};

/// What an attempt at a generation sends to an engine.
#[derive(Clone, Debug)]
pub struct AttemptRequest {
    /// The request's name.
    pub request: RequestId,
    /// The attempt's number; with the name it identifies the engine's stream.
    pub attempt: Attempt,
    /// `/v1/completions` or `/v1/chat/completions`.
    pub path: &'static str,
    /// The caller's body, as it was accepted.
    pub body: Arc<serde_json::Map<String, serde_json::Value>>,
    /// Tokens that the caller has from earlier attempts; the engine goes on after them.
    pub prior_tokens: Arc<Vec<TokenId>>,
    /// Bytes of text that the caller has from earlier attempts.
    pub prior_text_bytes: usize,
    /// Lower runs earlier.
    pub priority: i32,
}

/// A part of an engine's answer, with the name and attempt that it carried.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamChunk {
    /// Tokens in order, without a hole between them.
    Tokens {
        /// The request's name, as the engine said it.
        request: RequestId,
        /// The attempt, as the engine said it.
        attempt: Attempt,
        /// The place of the first token in the whole answer.
        position: Position,
        /// The tokens.
        ids: Vec<TokenId>,
        /// The text that they complete; empty where a character is split over tokens.
        text: String,
    },
    /// The end of the answer.
    Finished {
        /// The request's name, as the engine said it.
        request: RequestId,
        /// The attempt, as the engine said it.
        attempt: Attempt,
        /// The count of tokens of the whole answer, earlier attempts included.
        position: Position,
        /// Why the engine stopped.
        reason: FinishReason,
        /// Tokens of the prompt.
        prompt_tokens: u32,
    },
}

/// Why an engine gave no stream, or its stream ended early.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum StreamError {
    /// The engine refused before it ran anything, and said so.
    #[snafu(display("engine refused with {status}: {message}"))]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The engine's words.
        message: String,
    },
    /// No connection was made, so that nothing ran.
    #[snafu(display("engine was not reached: {cause}"))]
    NotSent {
        /// What failed.
        cause: String,
    },
    /// The connection was lost, and the engine with it or not.
    #[snafu(display("engine was lost: {cause}"))]
    Lost {
        /// What failed.
        cause: String,
    },
    /// Another reader has taken the stream up.
    #[snafu(display("the stream was taken up by another reader"))]
    Replaced,
    /// The engine sent what its interface does not allow.
    #[snafu(display("engine sent a malformed piece: {cause}"))]
    Malformed {
        /// What is wrong.
        cause: String,
    },
}

/// The pieces of one attempt, in the order of their arrival.
pub type ChunkStream = Pin<Box<dyn Stream<Item = Result<StreamChunk, StreamError>> + Send>>;

/// An engine's word on its load, which is late.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// Rises with each report.
    pub sequence: u64,
    /// Requests in the running batch.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Tokens that the running requests hold in memory.
    pub used_tokens: u64,
    /// Tokens that fit in memory.
    pub total_tokens: u64,
    /// The engine's recent time between tokens of one request, in milliseconds.
    pub token_ms: f64,
    /// How old the figures are, in milliseconds.
    pub age_ms: u64,
    /// Versions that are loaded.
    pub versions: Vec<VersionId>,
    /// The engine is about to leave.
    pub leaving: bool,
}

/// Whether a block of a prefix entered or left an engine's cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The block is held.
    Stored,
    /// The block was evicted.
    Removed,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Rises by one with each event; a hole means a lost event.
    pub sequence: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// The chained hash of the prefix up to and including the block.
    pub block: u64,
}

/// Cache events since a sequence number.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvents {
    /// The events that the engine still has.
    pub events: Vec<CacheEvent>,
    /// With `full`, every block that the engine holds; the events before it are void.
    pub snapshot: Option<Vec<u64>>,
    /// The sequence number to ask from next.
    pub next: u64,
}

/// What an engine is told to do.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum EngineCommandKind {
    /// Load a version's weights.
    Load {
        /// The version.
        version: VersionId,
    },
    /// Unload a version's weights.
    Unload {
        /// The version.
        version: VersionId,
    },
}

/// An order to an engine, safe to meet twice.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineCommand {
    /// The fencing number of the lease under which the order is given.
    pub fence: Fence,
    /// What to do.
    #[serde(flatten)]
    pub kind: EngineCommandKind,
}

/// A model engine.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Starts an attempt.
    ///
    /// # Errors
    ///
    /// Only [`StreamError::Refused`] and [`StreamError::NotSent`] promise that nothing runs.
    async fn open(&self, start: &AttemptRequest) -> Result<ChunkStream, StreamError>;

    /// Takes up the live stream of an attempt again, from a position.
    ///
    /// # Errors
    ///
    /// [`StreamError::Refused`] where the engine has no such stream any more.
    async fn attach(
        &self,
        request: &RequestId,
        attempt: Attempt,
        from: Position,
        from_text: usize,
    ) -> Result<ChunkStream, StreamError>;

    /// Cancels an attempt; cancelling one that is gone succeeds.
    ///
    /// # Errors
    ///
    /// After an error the attempt may still run.
    async fn cancel(&self, request: &RequestId, attempt: Attempt) -> Result<(), StreamError>;

    /// Asks for the load.
    ///
    /// # Errors
    ///
    /// An engine that can't be asked is an error.
    async fn load(&self) -> Result<LoadReport, StreamError>;

    /// Asks for cache events since a sequence number, or for a whole snapshot.
    ///
    /// # Errors
    ///
    /// An engine that can't be asked is an error.
    async fn cache_events(&self, since: u64, full: bool) -> Result<CacheEvents, StreamError>;

    /// Gives an order.
    ///
    /// # Errors
    ///
    /// [`StreamError::Refused`] with status 409 where the fencing number is old.
    async fn send_command(&self, command: &EngineCommand) -> Result<(), StreamError>;
}
