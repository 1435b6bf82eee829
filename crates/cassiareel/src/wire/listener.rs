//! Listeners with room for many callers that come at one moment.

use std::{io, net::SocketAddr};

use rustix::net;
use smol::net::TcpListener;

/// Connections that may wait to be accepted.
///
/// The standard library asks for 128. When a node dies, the callers of its streams come to the
/// others at one moment, hundreds to each; those past the backlog would wait a second for their
/// first packet to be sent again.
const BACKLOG: i32 = 4096;

/// Binds an address and listens, with room for some thousands of connections to wait.
///
/// # Errors
///
/// Fails when the address can't be bound.
///
/// # Examples
///
/// ```
/// let listener = cassiareel::wire::bind_listener(([127, 0, 0, 1], 0).into()).unwrap();
/// assert_ne!(listener.local_addr().unwrap().port(), 0);
/// ```
pub fn bind_listener(addr: SocketAddr) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(addr)?;
    net::listen(&listener, BACKLOG)?;
    listener.set_nonblocking(true)?;
    TcpListener::try_from(listener)
}
