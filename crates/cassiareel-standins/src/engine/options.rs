//! How an engine is made.

use std::{net::SocketAddr, time::Duration};

use super::{Capacity, Speed};

/// How an engine is made.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Where it listens; port 0 takes a free one.
    pub addr: SocketAddr,
    /// Versions that are loaded at the start, such as `draft@v1`.
    pub versions: Vec<String>,
    /// Seed of its random faults.
    pub seed: u64,
    /// How long its steps take.
    pub speed: Speed,
    /// What it can hold.
    pub capacity: Capacity,
    /// How late its load report is.
    pub load_lag: Duration,
    /// Its prefix cache.
    pub cache: CacheOptions,
    /// Whether it refuses an order whose fencing number is lower than one it has met.
    pub checks_fencing: bool,
    /// The weight store from which it loads versions; without one they load at once.
    pub weight_store: Option<SocketAddr>,
}

/// A prefix cache and how its events are told.
#[derive(Clone, Copy, Debug)]
pub struct CacheOptions {
    /// Blocks that it holds before it evicts the least recently used one.
    pub max_blocks: usize,
    /// How late its events are.
    pub event_lag: Duration,
    /// The chance of each event to be lost, from 0 to 1.
    pub event_loss: f64,
    /// Events that it still tells; older ones are forgotten.
    pub max_events: usize,
}

impl EngineOptions {
    /// An engine on a free loopback port, with a version loaded and a step of 10 milliseconds.
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
