//! Reports of load and caches, asked for at a pace that fits the node's share of the network.

use std::{
    collections::HashSet,
    sync::Arc,
    time::{Duration, Instant},
};

use slog::{info, Logger};
use smol::Timer;

use super::{BackendTable, Fetch};
use crate::{
    backend::{CacheEvents, Engine},
    kernel::{
        admission::{Bucket, Rate},
        BackendId,
    },
    runtime::Spawner,
};

/// Reaches an engine by its address.
pub type Connect = Arc<dyn Fn(&str) -> Option<Arc<dyn Engine>> + Send + Sync>;

/// Time between looks at outcomes and at the table.
const TICK: Duration = Duration::from_millis(100);
/// Bytes a second that the node spends on reports.
pub const REPORT_BYTE_RATE: Rate = Rate {
    per_second: 4_000.0,
    burst: 16_000.0,
};
/// Bytes a second that the node spends on cache events.
pub const CACHE_BYTE_RATE: Rate = Rate {
    per_second: 2_000.0,
    burst: 64_000.0,
};
/// Bytes of a report with its request and heads.
pub const REPORT_BYTES: f64 = 600.0;
/// Bytes of an answer with cache events, without the events.
pub const CACHE_ANSWER_BYTES: f64 = 400.0;
/// Bytes of a cache event.
const EVENT_BYTES: f64 = 70.0;
/// Bytes of a block in a snapshot.
const BLOCK_BYTES: f64 = 21.0;
/// Shortest time between two reports of one engine.
const LEAST_INTERVAL: Duration = Duration::from_secs(1);

/// Keeps the table's beliefs fresh, with times since `origin`, as long as its executor runs.
///
/// Reports are asked for in turn, and the time between two of one engine grows with the count of
/// engines, so that the bytes a second do not. Cache events have a rate of their own.
pub async fn poll(
    engines: Arc<BackendTable>,
    connect: Connect,
    origin: Instant,
    spawner: Spawner,
    log: Logger,
) {
    let rates = Arc::new(Rates {
        origin,
        reports: Bucket::default(),
        caches: Bucket::default(),
    });
    let mut polled = HashSet::new();
    loop {
        for moved in engines.tick(origin.elapsed()) {
            info!(log, "health"; "version" => &*moved.pool, "route" => &*moved.route,
                "change" => ?moved.change);
        }
        let models = engines.models();
        for backend in &models {
            if polled.insert(backend.clone()) {
                let poller = Poller {
                    backend: backend.clone(),
                    engines: engines.clone(),
                    connect: connect.clone(),
                    rates: rates.clone(),
                };
                spawner.spawn(poller.run()).detach();
            }
        }
        polled.retain(|backend| models.contains(backend));
        Timer::after(TICK).await;
    }
}

/// The bytes that all pollers spend.
struct Rates {
    origin: Instant,
    reports: Bucket,
    caches: Bucket,
}

/// Asks one engine.
struct Poller {
    backend: BackendId,
    engines: Arc<BackendTable>,
    connect: Connect,
    rates: Arc<Rates>,
}

impl Poller {
    /// Asks until the engine has left the table.
    async fn run(self) {
        while self.engines.member(&self.backend).is_some() {
            let Some(engine) = (self.connect)(&self.backend) else {
                return;
            };
            self.wait_turn().await;
            self.ask_load(&*engine).await;
            self.ask_cache(&*engine).await;
            // Engines are asked at different times by different nodes.
            let jitter = LEAST_INTERVAL.mul_f64(fastrand::f64() * 0.2);
            Timer::after(LEAST_INTERVAL + jitter).await;
        }
    }

    async fn wait_turn(&self) {
        loop {
            let now = self.rates.origin.elapsed();
            match self
                .rates
                .reports
                .try_take(now, &REPORT_BYTE_RATE, REPORT_BYTES)
            {
                Ok(()) => return,
                Err(wait) => Timer::after(wait).await,
            };
        }
    }

    async fn ask_load(&self, engine: &dyn Engine) {
        match engine.load().await {
            Ok(report) => {
                let now = self.rates.origin.elapsed();
                self.engines.on_load(now, &self.backend, &report);
            }
            Err(_) => self.engines.on_unreachable(&self.backend),
        }
    }

    async fn ask_cache(&self, engine: &dyn Engine) {
        let now = self.rates.origin.elapsed();
        if self
            .rates
            .caches
            .try_take(now, &CACHE_BYTE_RATE, CACHE_ANSWER_BYTES)
            .is_err()
        {
            return;
        }
        let (since, full) = match self.engines.cache_fetch(&self.backend) {
            Fetch::Since(since) => (since, false),
            Fetch::Full => (0, true),
        };
        if let Ok(answer) = engine.cache_events(since, full).await {
            let now = self.rates.origin.elapsed();
            self.rates
                .caches
                .charge(now, &CACHE_BYTE_RATE, cache_answer_bytes(&answer));
            self.engines.on_cache(&self.backend, &answer);
        }
    }
}

/// Bytes of an answer above [`CACHE_ANSWER_BYTES`].
pub fn cache_answer_bytes(answer: &CacheEvents) -> f64 {
    let blocks = answer.snapshot.as_ref().map_or(0, Vec::len);
    answer.events.len() as f64 * EVENT_BYTES + blocks as f64 * BLOCK_BYTES
}
