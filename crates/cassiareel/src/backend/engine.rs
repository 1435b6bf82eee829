//! The trait of a model engine, and the messages that engines exchange with nodes.

use std::{pin::Pin, sync::Arc};

use async_trait::async_trait;
use futures_lite::Stream;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::kernel::{
    generation::FinishReason, Attempt, Fence, Position, RequestId, TokenId, VersionId,
};

/// The request that starts an attempt of a generation at an engine.
#[derive(Clone, Debug)]
pub struct AttemptRequest {
    /// The generation's id.
    pub request: RequestId,
    /// The attempt's number, which together with the id identifies the engine's stream.
    pub attempt: Attempt,
    /// `/v1/completions` or `/v1/chat/completions`.
    pub path: &'static str,
    /// The caller's body, as validated.
    pub body: Arc<serde_json::Map<String, serde_json::Value>>,
    /// Tokens that the caller has from earlier attempts, after which the engine continues.
    pub prior_tokens: Arc<Vec<TokenId>>,
    /// Bytes of text that the caller has from earlier attempts.
    pub prior_text_bytes: usize,
    /// The priority; lower values run first.
    pub priority: i32,
}

/// A part of an engine's answer, with the id and attempt that it carried.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamChunk {
    /// Consecutive tokens.
    Tokens {
        /// The generation's id, as sent by the engine.
        request: RequestId,
        /// The attempt, as sent by the engine.
        attempt: Attempt,
        /// The position of the first token in the whole answer.
        position: Position,
        /// The tokens.
        ids: Vec<TokenId>,
        /// The text that they complete; empty while a character is split across tokens.
        text: String,
    },
    /// The end of the answer.
    Finished {
        /// The generation's id, as sent by the engine.
        request: RequestId,
        /// The attempt, as sent by the engine.
        attempt: Attempt,
        /// The number of tokens of the whole answer, including those of earlier attempts.
        position: Position,
        /// Why the engine stopped.
        reason: FinishReason,
        /// Number of tokens of the prompt.
        prompt_tokens: u32,
    },
}

/// Why an engine returned no stream, or why its stream ended early.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum StreamError {
    /// The engine refused the request, and ran nothing.
    #[snafu(display("engine refused with {status}: {message}"))]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The body of the engine's answer.
        message: String,
    },
    /// No connection could be made, so that nothing ran.
    #[snafu(display("engine was not reached: {cause}"))]
    NotSent {
        /// What failed.
        cause: String,
        /// Whether the address refused the connection, since no process listens there.
        refused: bool,
    },
    /// The connection was lost. The engine may still be running.
    #[snafu(display("engine was lost: {cause}"))]
    Lost {
        /// What failed.
        cause: String,
    },
    /// Nothing has arrived for some time. The engine may be sound and go on.
    #[snafu(display("engine is silent: {cause}"))]
    Silent {
        /// What did not arrive.
        cause: String,
    },
    /// Another reader has attached to the stream.
    #[snafu(display("the stream was taken up by another reader"))]
    Replaced,
    /// The engine sent a message that its interface does not allow.
    #[snafu(display("engine sent a malformed piece: {cause}"))]
    Malformed {
        /// What is wrong.
        cause: String,
    },
}

/// The chunks of one attempt, in the order of their arrival.
pub type ChunkStream = Pin<Box<dyn Stream<Item = Result<StreamChunk, StreamError>> + Send>>;

/// An engine's report of its load, whose figures have an age.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// The report's sequence number, which increases with each report.
    pub sequence: u64,
    /// Requests in the running batch.
    pub running: u32,
    /// Requests that wait in the engine's queue.
    pub waiting: u32,
    /// Memory that the running requests use, in tokens.
    pub used_tokens: u64,
    /// Size of the memory, in tokens.
    pub total_tokens: u64,
    /// The engine's recent time between tokens of one request, in milliseconds.
    pub token_ms: f64,
    /// Age of the figures, in milliseconds.
    pub age_ms: u64,
    /// Versions that are loaded.
    pub versions: Vec<VersionId>,
    /// Whether the engine is about to shut down.
    pub leaving: bool,
    /// The requests a second that the engine takes from all nodes together; `None` for no limit.
    #[serde(default)]
    pub request_limit: Option<f64>,
    /// Names of the fields whose values can't be read and are unknown.
    #[serde(skip)]
    pub unreadable: Vec<String>,
}

/// Whether a block of a prefix entered or left an engine's cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The block was stored.
    Stored,
    /// The block was evicted.
    Removed,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// The event's sequence number, which increases by one; a gap means a lost event.
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
    /// All blocks in the engine's cache, if `full` was requested; it replaces all earlier events.
    pub snapshot: Option<Vec<u64>>,
    /// The sequence number to request events from next.
    pub next: u64,
}

/// The kind of a command to an engine.
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

/// A command to an engine. Commands are idempotent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineCommand {
    /// The fencing number of the lease under which the command is sent.
    pub fence: Fence,
    /// The kind, with its version.
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
    /// Only [`StreamError::Refused`] and [`StreamError::NotSent`] guarantee that nothing runs.
    async fn open(&self, start: &AttemptRequest) -> Result<ChunkStream, StreamError>;

    /// Reattaches to the live stream of an attempt, from a position.
    ///
    /// `from_text` is the number of bytes of text up to that position.
    ///
    /// # Errors
    ///
    /// Returns [`StreamError::Refused`] if the engine no longer has the stream.
    async fn attach(
        &self,
        request: &RequestId,
        attempt: Attempt,
        from: Position,
        from_text: usize,
    ) -> Result<ChunkStream, StreamError>;

    /// Cancels an attempt. Cancelling an attempt that no longer exists succeeds.
    ///
    /// # Errors
    ///
    /// After an error the attempt may still run.
    async fn cancel(&self, request: &RequestId, attempt: Attempt) -> Result<(), StreamError>;

    /// Requests the load report.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine does not answer the query.
    async fn load(&self) -> Result<LoadReport, StreamError>;

    /// Requests the cache events since a sequence number, or a snapshot of the whole cache.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine does not answer the query.
    async fn cache_events(&self, since: u64, full: bool) -> Result<CacheEvents, StreamError>;

    /// Sends a command.
    ///
    /// # Errors
    ///
    /// Returns [`StreamError::Refused`] with status 409 if the fencing number is stale.
    async fn send_command(&self, command: &EngineCommand) -> Result<(), StreamError>;
}
