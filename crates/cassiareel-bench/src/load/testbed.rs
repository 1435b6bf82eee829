//! A stand-in engine and the three paths to it.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use cassiareel::{
    node::{Node, Options},
    observe::json_logger,
    settings::key_digest,
    store::HttpObjects,
};
use cassiareel_standins::{
    engine::{Engine, EngineOptions},
    fleet::publish_settings,
    objects::ObjectApi,
};

use super::Relay;

/// The key of the load program's caller.
const KEY: &str = "load-key";
/// The pool that the engine serves.
const VERSION: &str = "draft@v1";
/// Number of threads of the relay and of the node.
const RUNTIME_THREADS: usize = 2;
/// Interval at which a state that is waited for is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Longest time that the node may take to apply its settings.
const SETTINGS_TIMEOUT: Duration = Duration::from_secs(10);

/// A path to the engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallPath {
    /// Directly to the engine.
    Direct,
    /// Through the bare relay.
    Relay,
    /// Through a node.
    Node,
}

impl CallPath {
    /// All paths, in ascending order of cost.
    pub const ALL: [CallPath; 3] = [CallPath::Direct, CallPath::Relay, CallPath::Node];
}

/// The start of a path.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// The address that callers connect to.
    pub addr: SocketAddr,
    /// The name of the model there.
    pub model: &'static str,
    /// The caller's key.
    pub key: &'static str,
}

/// An engine, a relay and a node.
pub struct Testbed {
    /// The engine.
    pub engine: Engine,
    relay: Relay,
    node: Node,
    _objects: ObjectApi,
}

impl Testbed {
    /// Starts a relay, a node and an engine whose steps take `step` and generate `tokens` tokens
    /// for each request.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound or the node does not apply its settings in time.
    ///
    /// # Panics
    ///
    /// Panics if the object API stand-in does not accept the settings.
    pub fn start(step: Duration, tokens: u32) -> io::Result<Testbed> {
        let mut options = EngineOptions::new(VERSION);
        options.speed.step = step;
        options.speed.per_request = Duration::ZERO;
        options.speed.per_prefill_token = Duration::ZERO;
        options.speed.tokens_per_step = tokens;
        options.capacity.max_running = 4_096;
        options.capacity.max_waiting = 4_096;
        options.capacity.memory_tokens = u64::MAX;
        let engine = Engine::start(options)?;
        let relay = Relay::start(engine.addr(), RUNTIME_THREADS)?;
        let objects = ObjectApi::start()?;
        publish_settings(objects.addr(), 1, &settings(engine.addr()))
            .expect("the stand-in accepts the settings");
        let api = Arc::new(HttpObjects::new(objects.addr()));
        let options = Options {
            threads: RUNTIME_THREADS,
            ..Options::new("load", "d0")
        };
        // Decisions are logged as in a fleet, but the lines are discarded.
        let node = Node::start(options, api, &json_logger(io::sink()))?;
        let deadline = Instant::now() + SETTINGS_TIMEOUT;
        while node.settings().revision == 0 {
            if Instant::now() > deadline {
                return Err(io::Error::other(
                    "the node did not apply the settings in time",
                ));
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(Testbed {
            engine,
            relay,
            node,
            _objects: objects,
        })
    }

    /// Returns the start of a path.
    ///
    /// # Panics
    ///
    /// Panics if the node is draining, which nothing here requests.
    pub fn endpoint(&self, call_path: CallPath) -> Endpoint {
        let (addr, model) = match call_path {
            CallPath::Direct => (self.engine.addr(), VERSION),
            CallPath::Relay => (self.relay.addr(), VERSION),
            CallPath::Node => (self.node.addr().expect("the node serves"), "draft"),
        };
        Endpoint {
            addr,
            model,
            key: KEY,
        }
    }
}

/// Returns settings with one engine and one caller.
fn settings(engine: SocketAddr) -> String {
    format!(
        r#"
[regions.r.data_centres.d0]
[services.draft]
version = "v1"
[services.draft.versions.v1.placements.d0]
servers = ["{engine}"]
[accounts.load]
services = ["draft"]
[accounts.load.callers.load]
keys.first = "{}"
"#,
        hex::encode(key_digest(KEY))
    )
}
