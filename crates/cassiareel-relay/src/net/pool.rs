//! Kept connections to one address.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use cassiareel::runtime::{lock, Spawner};

use super::{Conn, SendError};
use crate::clock;

/// How long a connection is kept where the other side does not say.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(1500);

/// Spare time before the other side's limit, so that no request crosses its close.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// Connections that are kept to one address.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Kept connections to one address.
#[derive(Clone, Debug)]
pub struct Pool {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    address: SocketAddr,
    spawner: Spawner,
    idle: Mutex<VecDeque<Conn>>,
}

impl Pool {
    /// An empty pool.
    pub fn new(address: SocketAddr, spawner: Spawner) -> Pool {
        Pool {
            inner: Arc::new(Inner {
                address,
                spawner,
                idle: Mutex::default(),
            }),
        }
    }

    /// The address.
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
        Ok(self.lease(conn))
    }

    /// Closes all kept connections.
    pub fn clear(&self) {
        lock(&self.inner.idle).clear();
    }

    fn lease(&self, conn: Conn) -> Lease {
        Lease {
            conn,
            pool: self.clone(),
        }
    }

    /// The connection that was used last, after those that are too old are closed.
    fn reuse(&self, idle: Duration) -> Option<Conn> {
        let now = clock::now();
        let mut conns = lock(&self.inner.idle);
        conns.retain(|conn| {
            let age = now.saturating_sub(conn.idle_since);
            age < conn.keep_alive && !conn.is_closed()
        });
        let at = conns
            .iter()
            .rposition(|conn| conn.is_ready() && now.saturating_sub(conn.idle_since) <= idle)?;
        conns.remove(at)
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
    /// Keeps the connection for another request, after the answer was read whole. `keep` is how
    /// long the other side says that it may stay idle.
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
