//! The options of a stand-in engine.

use std::{net::SocketAddr, time::Duration};

use super::{Capacity, Speed};

/// The options of an engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// The address on which the engine listens; port 0 selects a free port.
    pub addr: SocketAddr,
    /// The versions that are loaded at the start, such as `draft@v1`.
    pub versions: Vec<String>,
    /// The seed of the random faults.
    pub seed: u64,
    /// How long the steps take.
    pub speed: Speed,
    /// The limits of the batch, the queue and the memory.
    pub capacity: Capacity,
    /// The delay with which load reports become visible.
    pub load_lag: Duration,
    /// The prefix cache.
    pub cache: CacheOptions,
    /// Whether the engine refuses a command whose fencing number is lower than one it has received.
    pub checks_fencing: bool,
    /// The weight store from which the engine loads versions; without one, they load immediately.
    pub weight_store: Option<SocketAddr>,
}

/// The options of a prefix cache and of its event log.
#[derive(Clone, Copy, Debug)]
pub struct CacheOptions {
    /// The number of blocks that the cache holds before it evicts the least recently used one.
    pub max_blocks: usize,
    /// The delay with which events become visible.
    pub event_lag: Duration,
    /// The probability, from 0 to 1, that an event is lost.
    pub event_loss: f64,
    /// The maximum number of events in the log; older ones are dropped.
    pub max_events: usize,
}

impl EngineOptions {
    /// Returns options for an engine on a free loopback port, with one version loaded and steps of
    /// 10 milliseconds.
    pub fn new(version: &str) -> EngineOptions {
        EngineOptions {
            addr: ([127, 0, 0, 1], 0).into(),
            versions: vec![version.to_owned()],
            seed: 1,
            speed: Speed {
                step: Duration::from_millis(10),
                per_request: Duration::from_micros(50),
                per_prefill_token: Duration::from_micros(10),
                tokens_per_step: 1,
            },
            capacity: Capacity {
                max_running: 256,
                max_waiting: 256,
                memory_tokens: 200_000,
                max_prefill_tokens: 2_048,
                unread_grace: Duration::from_secs(5),
            },
            load_lag: Duration::ZERO,
            cache: CacheOptions {
                max_blocks: 4_096,
                event_lag: Duration::ZERO,
                event_loss: 0.0,
                max_events: 8_192,
            },
            checks_fencing: true,
            weight_store: None,
        }
    }
}
