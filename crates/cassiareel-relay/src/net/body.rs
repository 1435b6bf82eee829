/*!
Reads whole bodies.

A frame of a body refers to the buffer into which the connection read it, which may be far larger
than the frame. So bodies are copied into a buffer of their own as they arrive, and the memory of
that buffer is charged to a budget for as long as the body is held. This is the only way to read a
whole body: the linter refuses the library's own (`clippy.toml`).
*/

use std::sync::Arc;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use snafu::Snafu;

use super::{BodyBudget, BodyCharge};

/// The least size of a buffer that has to grow, in bytes.
const MIN_BUFFER_BYTES: usize = 4 << 10;

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

/// A buffer whose memory is charged to a budget.
#[derive(Debug)]
struct ChargedBuffer {
    bytes: Vec<u8>,
    charge: BodyCharge,
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
    let mut buffer = ChargedBuffer {
        bytes: Vec::new(),
        charge: budget.charge(),
    };
    let hint = body.size_hint();
    buffer.check_size(hint.lower(), limit)?;
    if let Some(size) = hint.exact() {
        buffer.reserve(usize::try_from(size).unwrap_or(usize::MAX))?;
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| BodyError::Broken {
            cause: err.to_string(),
        })?;
        if let Ok(data) = frame.into_data() {
            buffer.append(&data, limit)?;
        }
    }
    Ok(buffer.into_bytes())
}

impl ChargedBuffer {
    fn check_size(&self, size: u64, limit: usize) -> Result<(), BodyError> {
        if size > limit as u64 {
            return Err(BodyError::TooLarge { limit });
        }
        Ok(())
    }

    fn append(&mut self, data: &[u8], limit: usize) -> Result<(), BodyError> {
        let needed = self.bytes.len() + data.len();
        self.check_size(needed as u64, limit)?;
        if needed > self.bytes.capacity() {
            let grown = (2 * self.bytes.capacity()).max(MIN_BUFFER_BYTES);
            self.reserve(needed.max(grown.min(limit)))?;
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Makes the buffer as large as `size`.
    fn reserve(&mut self, size: usize) -> Result<(), BodyError> {
        if !self.charge.resize(size as u64) {
            return Err(BodyError::NoMemory);
        }
        let added = size.saturating_sub(self.bytes.len());
        let reserved = self.bytes.try_reserve_exact(added);
        reserved.map_err(|_| BodyError::NoMemory)
    }

    fn into_bytes(mut self) -> Bytes {
        self.bytes.shrink_to_fit();
        // A smaller charge is always possible.
        let _ = self.charge.resize(self.bytes.capacity() as u64);
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for ChargedBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
