/*!
A model engine that speaks the interface of docs/design/engine-interface.md.

It batches continuously: each step gives every running request its next token, and takes longer the
more requests run. The answer to a prompt is known beforehand ([`truth`]), so that a client can tell
a missing, repeated or foreign token from a true one.
*/

mod batch;
mod model;
mod request;
mod server;
mod stream;
mod text;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use cassiareel::{
    runtime::Runtime,
    wire::{serve, Bounds, Served},
};
use smol::net::TcpListener;

pub use batch::{Capacity, Speed};
pub use model::truth;
use server::Server;
pub use stream::Cut;

/// How an engine is made.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Where it listens; port 0 takes a free one.
    pub addr: SocketAddr,
    /// Versions that are loaded at the start, such as `draft@v1`.
    pub versions: Vec<String>,
    /// How long its steps take.
    pub speed: Speed,
    /// What it can hold.
    pub capacity: Capacity,
}

impl EngineOptions {
    /// An engine on a free loopback port, with a version loaded and a step of 10 milliseconds.
    pub fn new(version: &str) -> EngineOptions {
        EngineOptions {
            addr: ([127, 0, 0, 1], 0).into(),
            versions: vec![version.to_owned()],
            speed: Speed {
                step: Duration::from_millis(10),
                request: Duration::from_micros(50),
                prefill: Duration::from_micros(10),
            },
            capacity: Capacity {
                batch: 256,
                queue: 256,
                tokens: 200_000,
                prefill: 2_048,
                grace: Duration::from_secs(5),
            },
        }
    }
}

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
type Life = Arc<Mutex<Option<(Served, Runtime)>>>;

impl Engine {
    /// Starts an engine with a thread of its own.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub fn start(options: EngineOptions) -> io::Result<Engine> {
        let listener = smol::block_on(TcpListener::bind(options.addr))?;
        let runtime = Runtime::new("engine", 1);
        let life = Life::default();
        let server = Server::new(options, life.clone());
        let bounds = Bounds::default();
        let served = serve(&runtime.spawner(), listener, bounds, server.clone())?;
        let runner = server.clone();
        runtime.spawn(async move { runner.run().await }).detach();
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

    /// Requests in its running batch at this moment.
    pub fn running(&self) -> usize {
        self.server.running()
    }

    /// Cuts every stream that runs, and stops working on them.
    pub fn cut_streams(&self, how: Cut) {
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
