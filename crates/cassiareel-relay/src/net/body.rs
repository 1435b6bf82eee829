/*!
Reads whole bodies.

A frame of a body refers to the buffer into which the connection read it, which may be far larger
than the frame. So bodies are copied into a buffer of their own as they arrive, and the memory of
that buffer is charged to a budget for as long as the body is held. This is the only way to read a
whole body: the linter refuses the library's own (`clippy.toml`).
*/

use std::sync::Arc;

use bytes::Bytes;
use cassiareel::body_budget::{BodyBudget, BufferError, ChargedBuffer};
use http_body::Body;
use http_body_util::BodyExt;
use snafu::Snafu;

/// The reason why a body was not read.
#[derive(Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum BodyError {
    /// The body is larger than the caller allows.
    #[snafu(display("the body is larger than {limit} bytes"))]
    TooLarge {
        /// The limit, in bytes.
        limit: usize,
    },
    /// Bodies take too much of the node's memory.
    #[snafu(display("no memory for the body"))]
    NoMemory,
    /// The connection failed, or the body is no proper one.
    #[snafu(display("the body is broken: {cause}"))]
    Broken {
        /// What failed.
        cause: String,
    },
}

impl From<BufferError> for BodyError {
    fn from(err: BufferError) -> BodyError {
        match err {
            BufferError::TooLarge { limit } => BodyError::TooLarge { limit },
            BufferError::NoMemory => BodyError::NoMemory,
        }
    }
}

/// Reads a body of at most `limit` bytes to its end. The memory stays charged to the budget until the
/// last clone of the returned bytes is dropped.
///
/// Memory for a body of a known size is charged before it is read.
///
/// # Errors
///
/// Fails as soon as the body is known to be too large, or finds no memory.
pub async fn read_body<B>(
    mut body: B,
    limit: usize,
    budget: &Arc<BodyBudget>,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let mut buffer = ChargedBuffer::new(budget, limit);
    let hint = body.size_hint();
    buffer.check_size(hint.lower())?;
    if let Some(size) = hint.exact() {
        buffer.reserve(usize::try_from(size).unwrap_or(usize::MAX))?;
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| BodyError::Broken {
            cause: err.to_string(),
        })?;
        if let Ok(data) = frame.into_data() {
            buffer.append(&data)?;
        }
    }
    Ok(buffer.into_bytes())
}
