//! Polling of engines for load reports and cache events, within a budget of network bytes.

use std::{
    collections::HashSet,
    sync::Arc,
    time::{Duration, Instant},
};

use slog::{info, warn, Logger};
use smol::Timer;

use super::{BackendTable, Fetch};
use crate::{
    backend::{CacheEvents, Engine, StreamError},
    kernel::{
        admission::{Bucket, Rate},
        BackendId,
    },
    runtime::Spawner,
};

/// Returns a client for the engine at an address, or none if the address is invalid.
pub type EngineConnector = Arc<dyn Fn(&str) -> Option<Arc<dyn Engine>> + Send + Sync>;

/// Interval at which call outcomes and changes of the table are processed.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Budget of the node for load reports, in bytes per second.
pub const REPORT_BYTE_RATE: Rate = Rate {
    per_second: 4_000.0,
    burst: 16_000.0,
};
/// Budget of the node for cache events, in bytes per second.
pub const CACHE_BYTE_RATE: Rate = Rate {
    per_second: 2_000.0,
    burst: 64_000.0,
};
/// Bytes of a load report, including the request and the heads.
pub const REPORT_BYTES: f64 = 600.0;
/// Bytes of an answer with cache events, excluding the events.
pub const CACHE_ANSWER_BYTES: f64 = 400.0;
/// Bytes of a cache event.
const CACHE_EVENT_BYTES: f64 = 70.0;
/// Bytes of a block in a snapshot.
const SNAPSHOT_BLOCK_BYTES: f64 = 21.0;
/// Shortest time between two load reports of one engine.
const MIN_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Keeps the table up to date, with times since `origin`, as long as its executor runs.
///
/// Engines are polled in turn, and the time between two reports of one engine grows with the number
/// of engines, so that the bytes per second stay constant. Cache events have a separate budget.
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
                    log: log.clone(),
                };
                spawner.spawn(poller.run()).detach();
            }
        }
        polled.retain(|backend| model_engines.contains(backend));
        Timer::after(TICK_INTERVAL).await;
    }
}

/// The byte budgets that all pollers share.
struct ByteBudgets {
    origin: Instant,
    reports: Bucket,
    caches: Bucket,
}

/// Polls one engine.
struct Poller {
    backend: BackendId,
    table: Arc<BackendTable>,
    connect: EngineConnector,
    budgets: Arc<ByteBudgets>,
    log: Logger,
}

impl Poller {
    /// Polls until the engine is removed from the table.
    async fn run(self) {
        while self.table.server(&self.backend).is_some() {
            let Some(engine) = (self.connect)(&self.backend) else {
                return;
            };
            self.wait_for_budget().await;
            self.poll_load(&*engine).await;
            self.poll_cache(&*engine).await;
            // Jitter keeps nodes from polling an engine at the same time.
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
                if !report.unreadable.is_empty() {
                    warn!(self.log, "load report has unreadable values"; "backend" => &*self.backend,
                        "fields" => report.unreadable.join(" "));
                }
                let now = self.budgets.origin.elapsed();
                self.table.on_load(now, &self.backend, &report);
                if let Some(change) = self.table.record_limit(now, &self.backend, &report) {
                    info!(self.log, "backend limit changed"; "backend" => &*self.backend,
                        "limit" => change.after, "before" => change.before,
                        "age_ms" => report.age_ms);
                }
            }
            Err(cause @ StreamError::Malformed { .. }) => {
                // The engine is reachable. What it reported before holds until it is stale.
                warn!(self.log, "load report can't be read"; "backend" => &*self.backend,
                    "cause" => %cause);
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

/// Returns the bytes of an answer in excess of [`CACHE_ANSWER_BYTES`].
pub fn cache_answer_bytes(answer: &CacheEvents) -> f64 {
    let blocks = answer.snapshot.as_ref().map_or(0, Vec::len);
    answer.events.len() as f64 * CACHE_EVENT_BYTES + blocks as f64 * SNAPSHOT_BLOCK_BYTES
}
