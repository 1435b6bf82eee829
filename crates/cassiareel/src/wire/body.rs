//! Reading of whole bodies, with a check of their length against the header.

use std::{future::Future, pin::pin, time::Duration};

use futures_lite::{io, AsyncReadExt, FutureExt};
use smol::Timer;
use snafu::Snafu;

use crate::runtime::within;

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

/// Reads a whole body of at most `limit` bytes.
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
/// assert_eq!(smol::block_on(read_body(whole, 10)), Ok(b"abc".to_vec()));
/// let cut = Body::from_reader(futures_lite::io::Cursor::new("abc"), Some(50));
/// let err = smol::block_on(read_body(cut, 100)).unwrap_err();
/// assert_eq!(err, BodyError::Truncated { got: 3, announced: 50 });
/// ```
pub async fn read_body(body: http_types::Body, limit: usize) -> Result<Vec<u8>, BodyError> {
    let announced = body.len();
    if announced.is_some_and(|n| n > limit) {
        return Err(BodyError::TooLong { limit });
    }
    let mut bytes = Vec::with_capacity(announced.unwrap_or(0));
    let mut rest = body.take(limit as u64 + 1);
    poll_repeatedly(rest.read_to_end(&mut bytes))
        .await
        .map_err(|err| BodyError::Io { kind: err.kind() })?;
    if bytes.len() > limit {
        return Err(BodyError::TooLong { limit });
    }
    match announced {
        Some(announced) if announced != bytes.len() => Err(BodyError::Truncated {
            got: bytes.len(),
            announced,
        }),
        _ => Ok(bytes),
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
) -> Result<Vec<u8>, BodyError> {
    let late = async {
        Timer::after(time).await;
        Err(BodyError::TimedOut { limit: time })
    };
    read_body(body, limit).or(late).await
}
