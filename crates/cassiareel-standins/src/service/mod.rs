/*!
A plain service with a ledger that counts every run of each order.

It runs what is sent to any path but its own: `GET /orders/{key}` tells whether an order ran,
`GET /load` its load, and `/control` its faults and its ledger. An order is named by its
`Idempotency-Key`; the service does not look whether the name was met before, as the ledgers that
cassiareel protects do not either.
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

/// A running service; dropping it kills it, and its ledger stays with whoever holds it.
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
    _runtime: Runtime,
}

impl PlainService {
    /// Starts a service of a version that writes to `ledger`; several may share one.
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
            _runtime: runtime,
        })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server_handle.addr
    }

    /// Sets what goes wrong from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.server.set_faults(faults);
    }
}
