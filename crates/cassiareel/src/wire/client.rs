//! Calls to other servers, with a timeout for each stage.

use std::{future::Future, io, net::SocketAddr, time::Duration};

use async_h1::client::Encoder;
use futures_lite::io as async_io;
use http_types::{Request, Response};
use smol::net::TcpStream;
use snafu::Snafu;

use super::response::{read_response, ResponseError};
use crate::runtime::within;

/// Timeouts of a call.
#[derive(Clone, Copy, Debug)]
pub struct CallTimeouts {
    /// Time to establish the connection.
    pub connect: Duration,
    /// Time from the connection to the end of the response's head.
    pub head: Duration,
}

impl CallTimeouts {
    /// Creates timeouts with one second to connect, and `head` for the response's head.
    pub fn new(head: Duration) -> CallTimeouts {
        CallTimeouts {
            connect: Duration::from_secs(1),
            head,
        }
    }
}

/// Why a call got no response.
///
/// The variants distinguish whether any byte of the request may have reached the server.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum SendError {
    /// No connection could be made, and no byte was sent.
    #[snafu(display("no connection to {addr}: {cause}"))]
    NotSent {
        /// The server.
        addr: SocketAddr,
        /// What failed.
        cause: String,
        /// Whether the address refused the connection, since no process listens there.
        refused: bool,
    },
    /// The connection was made, but no complete response head was received.
    #[snafu(display("no answer from {addr}: {cause}"))]
    NoAnswer {
        /// The server.
        addr: SocketAddr,
        /// What failed.
        cause: String,
    },
}

/// Sends a request on a new connection.
///
/// # Errors
///
/// [`SendError::NotSent`] guarantees that the server received no byte of the request. After
/// [`SendError::NoAnswer`], the server may or may not have received it.
pub async fn send(
    addr: SocketAddr,
    req: Request,
    timeouts: CallTimeouts,
) -> Result<Response, SendError> {
    let stream = connect(addr, timeouts.connect).await?;
    // Tokens are small writes, which must not wait for an acknowledgement.
    let _ = stream.set_nodelay(true);
    with_timeout(timeouts.head, exchange(stream, req))
        .await
        .map_err(|cause| SendError::NoAnswer { addr, cause })
}

/// Writes a request and reads the head of its response.
async fn exchange(mut stream: TcpStream, req: Request) -> Result<Response, ResponseError> {
    let method = req.method();
    async_io::copy(&mut Encoder::new(req), &mut stream).await?;
    read_response(stream, method).await
}

/// Connects to a server within `limit`.
async fn connect(addr: SocketAddr, limit: Duration) -> Result<TcpStream, SendError> {
    let not_sent = |cause, refused| SendError::NotSent {
        addr,
        cause,
        refused,
    };
    let Some(connection) = within(limit, TcpStream::connect(addr)).await else {
        return Err(not_sent(late(limit), false));
    };
    connection.map_err(|err| {
        let refused = err.kind() == io::ErrorKind::ConnectionRefused;
        not_sent(err.to_string(), refused)
    })
}

/// Waits for a result for at most `limit`.
async fn with_timeout<F, T, E>(limit: Duration, future: F) -> Result<T, String>
where
    E: ToString,
    F: Future<Output = Result<T, E>>,
{
    match within(limit, future).await {
        Some(result) => result.map_err(|err| err.to_string()),
        None => Err(late(limit)),
    }
}

/// Describes a result that did not come within `limit`.
fn late(limit: Duration) -> String {
    format!("no result within {limit:?}")
}
