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
pub type EngineConnector = Arc<dyn Fn(&str) -> Option<Arc<dyn Engine>> + Send + Sync>;

/// Time between looks at outcomes and at the table.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
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
const CACHE_EVENT_BYTES: f64 = 70.0;
/// Bytes of a block in a snapshot.
const SNAPSHOT_BLOCK_BYTES: f64 = 21.0;
/// Shortest time between two reports of one engine.
const MIN_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Keeps the table's beliefs fresh, with times since `origin`, as long as its executor runs.
///
/// Reports are asked for in turn, and the time between two of one engine grows with the count of
/// engines, so that the bytes a second do not. Cache events have a rate of their own.
pub async fn poll(
    table: Arc<BackendTable>,
    connect: EngineConnector,
    origin: Instant,
    spawner: Spawner,
    log: Logger,
) {
    let budgets = Arc::new(ByteBudgets {
        origin,
        reports: Bucket::default(),
        caches: Bucket::default(),
    });
    let mut polled = HashSet::new();
    loop {
        for changed in table.tick(origin.elapsed()) {
            info!(log, "health"; "version" => &*changed.pool, "route" => &*changed.route,
                "change" => ?changed.change);
        }
        let model_engines = table.model_engines();
        for backend in &model_engines {
            if polled.insert(backend.clone()) {
                let poller = Poller {
                    backend: backend.clone(),
                    table: table.clone(),
                    connect: connect.clone(),
                    budgets: budgets.clone(),
                };
                spawner.spawn(poller.run()).detach();
            }
        }
        polled.retain(|backend| model_engines.contains(backend));
        Timer::after(TICK_INTERVAL).await;
    }
}

/// The bytes that all pollers spend.
struct ByteBudgets {
    origin: Instant,
    reports: Bucket,
    caches: Bucket,
}

/// Asks one engine.
struct Poller {
    backend: BackendId,
    table: Arc<BackendTable>,
    connect: EngineConnector,
    budgets: Arc<ByteBudgets>,
}

impl Poller {
    /// Asks until the engine has left the table.
    async fn run(self) {
        while self.table.server(&self.backend).is_some() {
            let Some(engine) = (self.connect)(&self.backend) else {
                return;
            };
            self.wait_for_budget().await;
            self.poll_load(&*engine).await;
            self.poll_cache(&*engine).await;
            // Engines are asked at different times by different nodes.
            let jitter = MIN_REPORT_INTERVAL.mul_f64(fastrand::f64() * 0.2);
            Timer::after(MIN_REPORT_INTERVAL + jitter).await;
        }
    }

    async fn wait_for_budget(&self) {
        loop {
            let now = self.budgets.origin.elapsed();
            match self
                .budgets
                .reports
                .try_take(now, &REPORT_BYTE_RATE, REPORT_BYTES)
            {
                Ok(()) => return,
                Err(wait) => Timer::after(wait).await,
            };
        }
    }

    async fn poll_load(&self, engine: &dyn Engine) {
        match engine.load().await {
            Ok(report) => {
                let now = self.budgets.origin.elapsed();
                self.table.on_load(now, &self.backend, &report);
            }
            Err(_) => self.table.on_unreachable(&self.backend),
        }
    }

    async fn poll_cache(&self, engine: &dyn Engine) {
        let now = self.budgets.origin.elapsed();
        if self
            .budgets
            .caches
            .try_take(now, &CACHE_BYTE_RATE, CACHE_ANSWER_BYTES)
            .is_err()
        {
            return;
        }
        let (since, full) = match self.table.cache_fetch(&self.backend) {
            Fetch::Since(since) => (since, false),
            Fetch::Full => (0, true),
        };
        if let Ok(answer) = engine.cache_events(since, full).await {
            let now = self.budgets.origin.elapsed();
            self.budgets
                .caches
                .charge(now, &CACHE_BYTE_RATE, cache_answer_bytes(&answer));
            self.table.on_cache(&self.backend, &answer);
        }
    }
}

/// Bytes of an answer above [`CACHE_ANSWER_BYTES`].
pub fn cache_answer_bytes(answer: &CacheEvents) -> f64 {
    let blocks = answer.snapshot.as_ref().map_or(0, Vec::len);
    answer.events.len() as f64 * CACHE_EVENT_BYTES + blocks as f64 * SNAPSHOT_BLOCK_BYTES
}
