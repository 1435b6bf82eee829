//! One HTTP connection, owned by its user.

use std::{
    fmt, io, mem,
    net::{self, SocketAddr},
    sync::{Arc, Weak},
    time::Duration,
};

use bytes::Bytes;
use cassiareel::runtime::{within, Spawner};
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use rustix::net::sockopt::set_socket_linger;
use smol::{net::TcpStream, Async, Task};
use smol_hyper::rt::FuturesIo;
use snafu::Snafu;

use crate::clock::{self, Moment};

/// The largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// An open HTTP connection. Dropping it closes it at once, also in the middle of an answer.
pub struct Conn {
    sender: http1::SendRequest<Full<Bytes>>,
    // Dropping the task closes the socket.
    _driver: Task<()>,
    /// The socket, as long as the driver has not closed it.
    socket: Weak<Async<net::TcpStream>>,
    /// Whether a request was sent.
    has_sent: bool,
    /// Whether another request was sent before the last one.
    is_kept: bool,
    /// When the last answer was read whole.
    pub(super) idle_since: Moment,
    /// How long the connection may stay idle.
    pub(super) keep_alive: Duration,
}

/// The reason why a request got no answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum SendError {
    /// No process listens at the address.
    #[snafu(display("no process listens there"))]
    Refused,
    /// No byte of the request was sent.
    #[snafu(display("not sent: {cause}"))]
    NotSent {
        /// What failed.
        cause: String,
    },
    /// The request may have arrived.
    #[snafu(display("lost: {cause}"))]
    Lost {
        /// What failed.
        cause: String,
    },
}

impl Conn {
    /// Connects within `limit`.
    ///
    /// # Errors
    ///
    /// Fails with [`SendError::Refused`] or [`SendError::NotSent`].
    pub async fn open(
        address: SocketAddr,
        limit: Duration,
        spawner: &Spawner,
    ) -> Result<Conn, SendError> {
        let connected = async {
            TcpStream::connect(address).await.map_err(|err| {
                if err.kind() == io::ErrorKind::ConnectionRefused {
                    return SendError::Refused;
                }
                not_sent(err)
            })
        };
        let late = || Err(not_sent(format!("no connection within {limit:?}")));
        let stream = within(limit, connected).await.unwrap_or_else(late)?;
        // Without this option, the last part of a request may wait for an acknowledgement.
        stream.set_nodelay(true).map_err(not_sent)?;
        let socket: Arc<Async<net::TcpStream>> = stream.clone().into();
        let socket = Arc::downgrade(&socket);
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(not_sent)?;
        let driver = spawner.spawn(async move {
            // The error is returned to the caller that waits for the answer on this connection.
            let _ = driver.await;
        });
        Ok(Conn {
            sender,
            _driver: driver,
            socket,
            has_sent: false,
            is_kept: false,
            idle_since: clock::now(),
            keep_alive: Duration::MAX,
        })
    }

    /// Causes the connection to drop what was not sent yet when it is closed. Otherwise the system
    /// continues to send it.
    ///
    /// # Errors
    ///
    /// Fails with [`SendError::NotSent`] where the socket does not accept that.
    pub(super) fn drop_unsent(&self) -> Result<(), SendError> {
        let Some(socket) = self.socket.upgrade() else {
            return Ok(());
        };
        set_socket_linger(socket.as_ref(), Some(Duration::ZERO)).map_err(not_sent)
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Fails with [`SendError::NotSent`] only where it is certain that no byte was sent, and with
    /// [`SendError::Lost`] otherwise.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.is_kept = mem::replace(&mut self.has_sent, true);
        self.sender
            .try_send_request(request)
            .await
            .map_err(|mut err| {
                let cause = err.error().to_string();
                match err.take_message() {
                    Some(_) => SendError::NotSent { cause },
                    None => SendError::Lost { cause },
                }
            })
    }

    /// Reports whether the connection has carried a request before the one that was sent last. What
    /// arrives on it may then belong to another request.
    pub fn is_kept(&self) -> bool {
        self.is_kept
    }

    /// Waits until the connection can take the next request.
    ///
    /// # Errors
    ///
    /// Fails with [`SendError::NotSent`] if the connection is closed.
    pub async fn wait_ready(&mut self) -> Result<(), SendError> {
        self.sender.ready().await.map_err(not_sent)
    }

    /// Reports whether an idle connection is open and nothing has arrived on it unasked.
    pub(super) fn is_quiet(&self) -> bool {
        let Some(socket) = self.socket.upgrade() else {
            return false;
        };
        let peeked = socket.get_ref().peek(&mut [0]);
        !self.is_closed() && peeked.is_err_and(|err| err.kind() == io::ErrorKind::WouldBlock)
    }

    /// Reports whether the connection can take a request.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Reports whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

fn not_sent<E>(err: E) -> SendError
where
    E: fmt::Display,
{
    SendError::NotSent {
        cause: err.to_string(),
    }
}

impl fmt::Debug for Conn {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Conn").finish_non_exhaustive()
    }
}
