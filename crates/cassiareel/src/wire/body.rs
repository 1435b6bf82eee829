//! Reading of whole bodies, with a check of their length against the header.

use std::{
    future::Future,
    pin::pin,
    sync::{Arc, LazyLock},
    time::Duration,
};

use bytes::Bytes;
use futures_lite::{io, AsyncReadExt, FutureExt};
use smol::Timer;
use snafu::Snafu;

use crate::{
    body_budget::{BodyBudget, BufferError, ChargedBuffer},
    runtime::within,
};

/// The memory that bodies may take, in bytes.
const MAX_BODY_MEMORY: u64 = 512 << 20;

/// The size of the pieces in which a body is read, in bytes.
const PIECE_BYTES: usize = 8 << 10;

/// The memory for all bodies of the process.
pub(super) static BODIES: LazyLock<Arc<BodyBudget>> =
    LazyLock::new(|| Arc::new(BodyBudget::new(MAX_BODY_MEMORY)));

/// Interval between the polls of a body that misses its wake-up.
const REPOLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why a body could not be read.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum BodyError {
    /// The body is longer than the limit.
    #[snafu(display("body is longer than the limit of {limit} bytes"))]
    TooLong {
        /// The limit in bytes.
        limit: usize,
    },
    /// Bodies take too much of the process's memory.
    #[snafu(display("no memory for the body"))]
    NoMemory,
    /// The connection ended before the announced length.
    #[snafu(display("body ended after {got} of {announced} bytes"))]
    Truncated {
        /// Bytes that arrived.
        got: usize,
        /// Bytes that the header announced.
        announced: usize,
    },
    /// The body did not arrive in time.
    #[snafu(display("body did not arrive within {limit:?}"))]
    TimedOut {
        /// The time limit.
        limit: Duration,
    },
    /// Reading from the connection failed.
    #[snafu(display("body could not be read: {kind}"))]
    Io {
        /// The I/O error's kind.
        kind: io::ErrorKind,
    },
}

impl From<BufferError> for BodyError {
    fn from(err: BufferError) -> BodyError {
        match err {
            BufferError::TooLarge { limit } => BodyError::TooLong { limit },
            BufferError::NoMemory => BodyError::NoMemory,
        }
    }
}

/// Reads a whole body of at most `limit` bytes. Its memory counts as that of a body until the last
/// clone of the returned bytes is dropped.
///
/// The announced length is that of the `Content-Length` header. A chunked body announces none, and
/// ends with its last chunk.
///
/// # Errors
///
/// Returns an error if the body is longer than the limit or truncated, or if the connection fails.
/// No part of the body is returned then.
///
/// # Examples
///
/// ```
/// use cassiareel::wire::{read_body, BodyError};
/// use http_types::Body;
///
/// let whole = Body::from_bytes(b"abc".to_vec());
/// assert_eq!(smol::block_on(read_body(whole, 10)), Ok("abc".into()));
/// let cut = Body::from_reader(futures_lite::io::Cursor::new("abc"), Some(50));
/// let err = smol::block_on(read_body(cut, 100)).unwrap_err();
/// assert_eq!(err, BodyError::Truncated { got: 3, announced: 50 });
/// ```
pub async fn read_body(body: http_types::Body, limit: usize) -> Result<Bytes, BodyError> {
    read_charged(body, limit, &BODIES).await
}

/// Reads a whole body like [`read_body`], with the memory of a budget.
pub(super) async fn read_charged(
    mut body: http_types::Body,
    limit: usize,
    budget: &Arc<BodyBudget>,
) -> Result<Bytes, BodyError> {
    let announced = body.len();
    let mut buffer = ChargedBuffer::new(budget, limit);
    buffer.check_size(announced.unwrap_or(0) as u64)?;
    buffer.reserve(announced.unwrap_or(0))?;
    let mut piece = vec![0; PIECE_BYTES];
    loop {
        let read = poll_repeatedly(body.read(&mut piece)).await;
        match read.map_err(|err| BodyError::Io { kind: err.kind() })? {
            0 => break,
            length => buffer.append(&piece[..length])?,
        }
    }
    match announced {
        Some(announced) if announced != buffer.len() => Err(BodyError::Truncated {
            got: buffer.len(),
            announced,
        }),
        _ => Ok(buffer.into_bytes()),
    }
}

/// Waits for a future that may miss its wake-up. The HTTP library's reader of chunks registers none where
/// the end of the last chunk arrives in pieces.
pub(super) async fn poll_repeatedly<F>(future: F) -> F::Output
where
    F: Future,
{
    let mut future = pin!(future);
    loop {
        if let Some(output) = within(REPOLL_INTERVAL, future.as_mut()).await {
            return output;
        }
    }
}

/// Returns a body that consists of bytes, which are not copied.
pub fn bytes_body(bytes: Bytes) -> http_types::Body {
    let length = bytes.len();
    http_types::Body::from_reader(io::Cursor::new(bytes), Some(length))
}

/// Reads a whole body like [`read_body`], within a time limit.
///
/// # Errors
///
/// Returns the errors of [`read_body`], and [`BodyError::TimedOut`] if the body takes longer than
/// `time`.
pub async fn read_body_within(
    body: http_types::Body,
    limit: usize,
    time: Duration,
) -> Result<Bytes, BodyError> {
    let late = async {
        Timer::after(time).await;
        Err(BodyError::TimedOut { limit: time })
    };
    read_body(body, limit).or(late).await
}
