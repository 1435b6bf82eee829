/*!
A stand-in for a plain service, with a ledger that counts every run of each order.

Requests to `GET /orders/{key}` return whether an order ran, `GET /load` returns the load,
`GET /health` succeeds, and `/control` gives access to the faults and the ledger. A request to any
other path runs an order, which is identified by its `Idempotency-Key`. The service does not check
whether it has received the key before, because the ledgers that cassiareel protects do not either.
*/

mod faults;
mod ledger;
mod server;

use std::{io, net::SocketAddr, sync::Arc};

use cassiareel::{
    runtime::Runtime,
    wire::{bind_listener, serve, ServerHandle, ServerLimits},
};
pub use faults::{CallFault, Faults};
pub use ledger::{Entry, Ledger};
use server::Server;

/// A running service. Dropping it kills it; other handles of its ledger stay valid.
///
/// # Examples
///
/// ```
/// use cassiareel_standins::service::{Ledger, PlainService};
///
/// let ledger = Ledger::default();
/// let service = PlainService::start("ledger@v1", &ledger).unwrap();
/// assert!(service.addr().ip().is_loopback());
/// assert_eq!(ledger.runs("order-1"), 0);
/// ```
#[derive(Debug)]
pub struct PlainService {
    server_handle: ServerHandle,
    server: Arc<Server>,
    runtime: Runtime,
}

impl PlainService {
    /// Starts a service with a version that writes to `ledger`. Several services may share a ledger.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub fn start(version: &str, ledger: &Ledger) -> io::Result<PlainService> {
        PlainService::bind(([127, 0, 0, 1], 0).into(), version, ledger, 1)
    }

    /// Starts a service at an address, with a seed for its random faults.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub fn bind(
        addr: SocketAddr,
        version: &str,
        ledger: &Ledger,
        seed: u64,
    ) -> io::Result<PlainService> {
        let listener = bind_listener(addr)?;
        let runtime = Runtime::new("service", 1);
        let spawner = runtime.spawner();
        let server = Server::new(version, ledger.clone(), seed, spawner.clone());
        let server_handle = serve(&spawner, listener, ServerLimits::default(), server.clone())?;
        Ok(PlainService {
            server_handle,
            server,
            runtime,
        })
    }

    /// Returns the address on which the service listens.
    pub fn addr(&self) -> SocketAddr {
        self.server_handle.addr
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.server.set_faults(faults);
    }

    /// Freezes the service: its connections stay open, and nothing is read or written.
    pub fn pause(&self) {
        self.runtime.pause();
    }

    /// Resumes a paused service.
    pub fn resume(&self) {
        self.runtime.resume();
    }
}
