//! Calls to other servers, with a bound on each stage.

use std::{future::Future, net::SocketAddr, time::Duration};

use http_types::{Request, Response};
use smol::net::TcpStream;
use snafu::Snafu;

use crate::runtime::within;

/// Bounds on a call.
#[derive(Clone, Copy, Debug)]
pub struct CallTimeouts {
    /// Time to connect.
    pub connect: Duration,
    /// Time from the connection to the response's head.
    pub head: Duration,
}

impl CallTimeouts {
    /// Bounds with one second to connect and `head` to the response's head.
    pub fn new(head: Duration) -> CallTimeouts {
        CallTimeouts {
            connect: Duration::from_secs(1),
            head,
        }
    }
}

/// Why a call got no response.
///
/// The distinction that matters is whether a byte of the request may have reached the server.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum SendError {
    /// No connection: no byte was sent.
    #[snafu(display("no connection to {addr}: {cause}"))]
    NotSent {
        /// The server.
        addr: SocketAddr,
        /// What failed.
        cause: String,
    },
    /// The connection stood, but no whole response head came back.
    #[snafu(display("no answer from {addr}: {cause}"))]
    NoAnswer {
        /// The server.
        addr: SocketAddr,
        /// What failed.
        cause: String,
    },
}

/// Sends a request on a connection of its own.
///
/// # Errors
///
/// [`SendError::NotSent`] promises that the server saw no byte of the request;
/// [`SendError::NoAnswer`] promises nothing.
pub async fn send(
    addr: SocketAddr,
    req: Request,
    limits: CallTimeouts,
) -> Result<Response, SendError> {
    let stream = bounded(limits.connect, TcpStream::connect(addr))
        .await
        .map_err(|cause| SendError::NotSent { addr, cause })?;
    // Tokens are small writes that must not wait for an acknowledgement.
    let _ = stream.set_nodelay(true);
    bounded(limits.head, async_h1::connect(stream, req))
        .await
        .map_err(|cause| SendError::NoAnswer { addr, cause })
}

/// Waits for a result for at most `limit`.
async fn bounded<F, T, E>(limit: Duration, future: F) -> Result<T, String>
where
    E: ToString,
    F: Future<Output = Result<T, E>>,
{
    match within(limit, future).await {
        Some(result) => result.map_err(|err| err.to_string()),
        None => Err(format!("no result within {limit:?}")),
    }
}
