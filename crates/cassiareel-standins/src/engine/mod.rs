/*!
A stand-in for a model engine with the HTTP interface of docs/design/engine-interface.md.

The engine batches continuously: each step generates the next token of every running request, and
a step takes longer the more requests run. The answer to each prompt is a known function of the
version and the prompt ([`expected_answer`]), so that a client can detect missing, repeated and
wrong tokens.
*/

mod batch;
#[cfg(test)]
mod batch_tests;
mod cache;
#[cfg(test)]
mod cache_tests;
mod faults;
mod model;
mod options;
mod reports;
#[cfg(test)]
mod reports_tests;
mod request;
mod server;
mod state;
mod stream;
mod text;
mod versions;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

pub use batch::{Capacity, Speed};
use cassiareel::{
    runtime::Runtime,
    wire::{bind_listener, serve, ServerHandle, ServerLimits},
};
pub use faults::{Failure, Fault, Faults};
pub use model::expected_answer;
pub use options::{CacheOptions, EngineOptions};
use server::Server;
pub use state::Stats;
pub use stream::StreamCut;

/// A running engine. Dropping it kills it.
///
/// # Examples
///
/// ```
/// use cassiareel_standins::engine::{Engine, EngineOptions};
///
/// let engine = Engine::start(EngineOptions::new("draft@v1")).unwrap();
/// assert!(engine.addr().ip().is_loopback());
/// engine.kill();
/// assert!(std::net::TcpStream::connect(engine.addr()).is_err());
/// ```
#[derive(Debug)]
pub struct Engine {
    addr: SocketAddr,
    runtime_slot: RuntimeSlot,
    server: Arc<Server>,
}

/// The listener and the runtime of a running engine; `None` once it was killed or has crashed.
type RuntimeSlot = Arc<Mutex<Option<(ServerHandle, Runtime)>>>;

impl Engine {
    /// Starts an engine on its own thread.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub fn start(options: EngineOptions) -> io::Result<Engine> {
        let listener = bind_listener(options.addr)?;
        let runtime = Runtime::new("engine", 1);
        let runtime_slot = RuntimeSlot::default();
        let server = Server::new(options, runtime_slot.clone());
        let limits = ServerLimits::default();
        let server_handle = serve(&runtime.spawner(), listener, limits, server.clone())?;
        let runner = server.clone();
        runtime
            .spawn(async move { runner.run_batch().await })
            .detach();
        let loader = server.clone();
        runtime
            .spawn(async move { loader.fetch_versions().await })
            .detach();
        let addr = server_handle.addr;
        *runtime_slot.lock().expect("no holder panics") = Some((server_handle, runtime));
        Ok(Engine {
            addr,
            runtime_slot,
            server,
        })
    }

    /// Returns the address on which the engine listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Kills the engine: its connections are reset and its address refuses new ones.
    pub fn kill(&self) {
        stop(&self.runtime_slot);
    }

    /// Reports whether the engine was killed by [`Engine::kill`] or has crashed.
    pub fn is_dead(&self) -> bool {
        self.runtime_slot
            .lock()
            .expect("no holder panics")
            .is_none()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.server.set_faults(faults);
    }

    /// Returns the counts since the start.
    pub fn stats(&self) -> Stats {
        self.server.stats()
    }

    /// Returns the number of requests in the running batch.
    pub fn running(&self) -> usize {
        self.server.running()
    }

    /// Cuts every running stream and stops generating for them.
    pub fn cut_streams(&self, how: StreamCut) {
        self.server.cut_streams(how);
    }

    /// Freezes the engine: its connections stay open, and nothing is read or written.
    pub fn pause(&self) {
        if let Some((_, runtime)) = &*self.runtime_slot.lock().expect("no holder panics") {
            runtime.pause();
        }
    }

    /// Resumes a paused engine.
    pub fn resume(&self) {
        if let Some((_, runtime)) = &*self.runtime_slot.lock().expect("no holder panics") {
            runtime.resume();
        }
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Stops an engine. The lock is released before the runtime is dropped, which waits for its threads.
fn stop(runtime_slot: &RuntimeSlot) {
    let taken = runtime_slot.lock().expect("no holder panics").take();
    drop(taken);
}
