/*!
A model engine that speaks the interface of docs/design/engine-interface.md.

It batches continuously: each step gives every running request its next token, and takes longer the
more requests run. The answer to a prompt is known beforehand ([`expected_answer`]), so that a client can tell
a missing, repeated or foreign token from a true one.
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

/// A running engine; dropping it kills it.
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
    life: Life,
    server: Arc<Server>,
}

/// What an engine lives by; it is taken away when it dies.
type Life = Arc<Mutex<Option<(ServerHandle, Runtime)>>>;

impl Engine {
    /// Starts an engine with a thread of its own.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub fn start(options: EngineOptions) -> io::Result<Engine> {
        let listener = bind_listener(options.addr)?;
        let runtime = Runtime::new("engine", 1);
        let life = Life::default();
        let server = Server::new(options, life.clone());
        let bounds = ServerLimits::default();
        let served = serve(&runtime.spawner(), listener, bounds, server.clone())?;
        let runner = server.clone();
        runtime.spawn(async move { runner.run().await }).detach();
        let loader = server.clone();
        runtime.spawn(async move { loader.fetch().await }).detach();
        let addr = served.addr;
        *life.lock().expect("no holder panics") = Some((served, runtime));
        Ok(Engine { addr, life, server })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Kills it: its connections are reset and its address refuses.
    pub fn kill(&self) {
        end(&self.life);
    }

    /// Reports whether it died, by [`Engine::kill`] or by itself.
    pub fn is_dead(&self) -> bool {
        self.life.lock().expect("no holder panics").is_none()
    }

    /// Sets what goes wrong from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.server.set_faults(faults);
    }

    /// What it did so far.
    pub fn stats(&self) -> Stats {
        self.server.stats()
    }

    /// Requests in its running batch at this moment.
    pub fn running(&self) -> usize {
        self.server.running()
    }

    /// Cuts every stream that runs, and stops working on them.
    pub fn cut_streams(&self, how: StreamCut) {
        self.server.cut_streams(how);
    }

    /// Freezes it: its connections stay open and nothing moves.
    pub fn pause(&self) {
        if let Some((_, runtime)) = &*self.life.lock().expect("no holder panics") {
            runtime.pause();
        }
    }

    /// Ends a pause.
    pub fn resume(&self) {
        if let Some((_, runtime)) = &*self.life.lock().expect("no holder panics") {
            runtime.resume();
        }
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Ends an engine's life; the lock is given back before its threads are waited for.
fn end(life: &Life) {
    let taken = life.lock().expect("no holder panics").take();
    drop(taken);
}
