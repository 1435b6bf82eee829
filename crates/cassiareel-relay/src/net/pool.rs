//! A pool of idle connections to one address.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use cassiareel::runtime::{lock, Spawner};

use super::{Conn, SendError};
use crate::clock;

/// How long a connection is kept where the other side does not state a limit.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(1500);

/// How long before the other side's limit an idle connection is dropped, so that no request is sent
/// while the other side closes it.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// The largest number of idle connections that are kept.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// A pool of idle connections to one address.
#[derive(Clone, Debug)]
pub struct Pool {
    inner: Arc<Inner>,
    /// Whether closed connections drop what was not sent yet.
    drops_unsent: bool,
}

#[derive(Debug)]
struct Inner {
    address: SocketAddr,
    spawner: Spawner,
    idle: Mutex<VecDeque<Conn>>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(address: SocketAddr, spawner: Spawner) -> Pool {
        Pool {
            inner: Arc::new(Inner {
                address,
                spawner,
                idle: Mutex::default(),
            }),
            drops_unsent: false,
        }
    }

    /// Causes connections that are closed to drop what was not sent yet.
    pub fn drop_unsent(self) -> Pool {
        Pool {
            drops_unsent: true,
            ..self
        }
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Takes a connection that was idle for at most `idle`, or opens one within `limit`.
    ///
    /// # Errors
    ///
    /// Fails with [`SendError::Refused`] or [`SendError::NotSent`].
    pub async fn take(&self, idle: Duration, limit: Duration) -> Result<Lease, SendError> {
        if let Some(conn) = self.reuse(idle) {
            return Ok(self.lease(conn));
        }
        self.open(limit).await
    }

    /// Opens a new connection within `limit`.
    ///
    /// # Errors
    ///
    /// Fails with [`SendError::Refused`] or [`SendError::NotSent`].
    pub async fn open(&self, limit: Duration) -> Result<Lease, SendError> {
        let conn = Conn::open(self.inner.address, limit, &self.inner.spawner).await?;
        if self.drops_unsent {
            conn.drop_unsent()?;
        }
        Ok(self.lease(conn))
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        lock(&self.inner.idle).clear();
    }

    fn lease(&self, conn: Conn) -> Lease {
        Lease {
            conn,
            pool: self.clone(),
        }
    }

    /// Closes the connections that were idle for too long, and takes the one that was used last.
    /// Those on which something arrived unasked are closed on the way.
    fn reuse(&self, idle: Duration) -> Option<Conn> {
        let now = clock::now();
        let mut conns = lock(&self.inner.idle);
        conns.retain(|conn| {
            let age = now.saturating_sub(conn.idle_since);
            age < conn.keep_alive && !conn.is_closed()
        });
        let is_usable =
            |conn: &Conn| conn.is_ready() && now.saturating_sub(conn.idle_since) <= idle;
        while let Some(at) = conns.iter().rposition(is_usable) {
            let conn = conns.remove(at);
            if conn.as_ref().is_some_and(Conn::is_quiet) {
                return conn;
            }
        }
        None
    }
}

/// A connection in use. Dropping it closes the connection.
#[derive(Debug)]
pub struct Lease {
    /// The connection.
    pub conn: Conn,
    pool: Pool,
}

impl Lease {
    /// Returns the connection to the pool after its answer was read whole. `keep_alive` is how long
    /// it may stay idle according to the other side.
    pub fn put_back(self, keep_alive: Option<Duration>) {
        let keep_alive = keep_alive.map_or(DEFAULT_KEEP_ALIVE, |keep_alive| {
            keep_alive.saturating_sub(KEEP_ALIVE_MARGIN)
        });
        if keep_alive.is_zero() || self.conn.is_closed() {
            return;
        }
        let mut conn = self.conn;
        conn.keep_alive = keep_alive;
        conn.idle_since = clock::now();
        let mut conns = lock(&self.pool.inner.idle);
        if conns.len() >= MAX_IDLE_CONNECTIONS {
            conns.pop_front();
        }
        conns.push_back(conn);
    }
}
