//! Many callers may connect at one moment.

use std::{net::TcpStream, time::Duration};

use cassiareel::wire::bind_listener;

/// More callers than the standard library's backlog has room for.
const CALLERS: usize = 1_000;
/// Far longer than a connection that finds room takes.
const LIMIT: Duration = Duration::from_secs(5);

#[test]
fn a_thousand_connections_wait_to_be_accepted() {
    let listener = bind_listener(([127, 0, 0, 1], 0).into()).unwrap();
    let addr = listener.local_addr().unwrap();
    let waiting: Result<Vec<_>, _> = (0..CALLERS)
        .map(|_| TcpStream::connect_timeout(&addr, LIMIT))
        .collect();
    assert_eq!(waiting.unwrap().len(), CALLERS);
}
