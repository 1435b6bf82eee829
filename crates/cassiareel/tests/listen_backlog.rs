//! Tests that many callers can connect at the same time.

use std::{net::TcpStream, time::Duration};

use cassiareel::wire::bind_listener;

/// Number of connections, which exceeds the listen backlog of the standard library.
const CONNECTIONS: usize = 1_000;
/// Time limit for a connection, much longer than one takes that fits into the backlog.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

#[test]
fn thousand_connections_wait_to_be_accepted() {
    let listener = bind_listener(([127, 0, 0, 1], 0).into()).unwrap();
    let addr = listener.local_addr().unwrap();
    let waiting: Result<Vec<_>, _> = (0..CONNECTIONS)
        .map(|_| TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT))
        .collect();
    assert_eq!(waiting.unwrap().len(), CONNECTIONS);
}
