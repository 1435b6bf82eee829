//! Listeners with a backlog for many callers that connect at the same time.

use std::{io, net::SocketAddr};

use rustix::net;
use smol::net::TcpListener;

/// Number of connections that may wait to be accepted.
///
/// The standard library sets 128. When a node crashes, hundreds of callers of its streams connect
/// to each of the other nodes at the same time. Those beyond the backlog would wait one second,
/// until their first packet is retransmitted.
const BACKLOG: i32 = 4096;

/// Binds an address and listens, with a backlog of some thousands of connections.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
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
