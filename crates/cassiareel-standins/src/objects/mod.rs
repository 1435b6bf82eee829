/*!
A stand-in for the platform's object API, in the Kubernetes API conventions for custom objects.

Paths are `/apis/cassiareel.dev/v1/namespaces/default/{kind}[/{name}]`. Each write gives the object
a new resource version. Updates and deletions may name the version that they replace. A watch
streams the changes after a resource version.

Each answer names the store's era in the header `x-object-era`. The era rises by one each time the
store is restored from a copy. Updates and deletions may name the era of their version in the same
header, and are refused with status 412 in any other era.
*/

mod faults;
mod interceptor;
mod server;
mod store;
#[cfg(test)]
mod store_tests;

use std::{io, net::SocketAddr, sync::Arc};

use cassiareel::{
    runtime::Runtime,
    wire::{bind_listener, serve, ServerHandle, ServerLimits},
};
pub use faults::{Faults, Outage, RateLimits};
pub use interceptor::CallCounts;
use server::Server;

/// A running object API. Dropping it kills it, and its objects are lost.
#[derive(Debug)]
pub struct ObjectApi {
    server_handle: ServerHandle,
    server: Arc<Server>,
    _runtime: Runtime,
}

impl ObjectApi {
    /// Starts an empty object API on a free loopback port, on its own thread.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub fn start() -> io::Result<ObjectApi> {
        ObjectApi::bind(([127, 0, 0, 1], 0).into(), RateLimits::default(), 1)
    }

    /// Starts an empty object API at an address, with rate limits and a seed for its random faults.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub fn bind(addr: SocketAddr, rates: RateLimits, seed: u64) -> io::Result<ObjectApi> {
        let listener = bind_listener(addr)?;
        let runtime = Runtime::new("objects", 1);
        let server = Server::new(rates, seed);
        let server_handle = serve(
            &runtime.spawner(),
            listener,
            ServerLimits::default(),
            server.clone(),
        )?;
        Ok(ObjectApi {
            server_handle,
            server,
            _runtime: runtime,
        })
    }

    /// Replaces the injected faults. An outage also resets the connections of all watches.
    pub fn set_faults(&self, faults: Faults) {
        self.server.set_faults(faults);
    }

    /// Returns the counts of calls since the start.
    pub fn call_counts(&self) -> CallCounts {
        self.server.call_counts()
    }

    /// Takes a copy of all objects, which replaces an earlier copy.
    pub fn copy(&self) {
        self.server.copy();
    }

    /// Restores the last copy, or no objects if there is none, and begins a new era. The connections
    /// of all watches are reset.
    pub fn restore(&self) {
        self.server.restore();
    }

    /// Resets the connection of every watch.
    pub fn drop_watches(&self) {
        self.server.drop_watches();
    }

    /// Returns the address on which the object API listens.
    pub fn addr(&self) -> SocketAddr {
        self.server_handle.addr
    }
}
