//! A node's estimate of the state of one backend server.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use arc_swap::ArcSwap;

use crate::{
    backend::LoadReport,
    kernel::{
        admission::{memory_share, MemoryBudget},
        routing::{home_seed, Load, ReportedLoad, Slot},
        BackendId, DataCentreId, Time, VersionId,
    },
};

/// Assumed memory of an engine before its first load report, in tokens.
const ASSUMED_TOKENS: u64 = 32_768;

/// A backend server in the table.
#[derive(Debug)]
pub struct BackendServer {
    /// Its address.
    pub backend: BackendId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    pub(super) cache_slot: Option<Slot>,
    pub(super) home_seed: u64,
    pub(super) load: Load,
    pub(super) memory: MemoryBudget,
    model: bool,
    sharers: AtomicU32,
    total_tokens: AtomicU64,
    last_sequence: AtomicU64,
    leaving: AtomicBool,
    versions: ArcSwap<Vec<VersionId>>,
}

impl BackendServer {
    /// Creates a server without any report. Only model engines have limited memory.
    pub(super) fn new(
        backend: BackendId,
        data_centre: DataCentreId,
        cache_slot: Option<Slot>,
        model: bool,
    ) -> BackendServer {
        let server = BackendServer {
            home_seed: home_seed(&backend),
            backend,
            data_centre,
            cache_slot,
            load: Load::default(),
            memory: MemoryBudget::default(),
            model,
            sharers: AtomicU32::new(1),
            total_tokens: AtomicU64::new(ASSUMED_TOKENS),
            last_sequence: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            versions: ArcSwap::default(),
        };
        server.update_memory_limit();
        server
    }

    /// Sets how many nodes share it.
    pub(super) fn set_sharers(&self, sharers: u32) {
        self.sharers.store(sharers.max(1), Ordering::Relaxed);
        self.update_memory_limit();
    }

    /// Returns how many nodes share it.
    pub fn sharers(&self) -> u32 {
        self.sharers.load(Ordering::Relaxed)
    }

    /// Reports whether it is a model engine.
    pub fn is_model(&self) -> bool {
        self.model
    }

    /// Records a load report, unless it has the sequence number of the last one.
    ///
    /// A lower sequence number is accepted, as it is that of an engine that has restarted. A report
    /// with the sequence number 0 is always recorded.
    pub(super) fn record_report(&self, now: Time, report: &LoadReport) {
        let last = self.last_sequence.swap(report.sequence, Ordering::Relaxed);
        if report.sequence != 0 && report.sequence == last {
            return;
        }
        self.load.record_report(
            now,
            &ReportedLoad {
                running: report.running,
                waiting: report.waiting,
                token_ms: report.token_ms as f32,
                age: std::time::Duration::from_millis(report.age_ms),
            },
        );
        if report.total_tokens > 0 {
            self.total_tokens
                .store(report.total_tokens, Ordering::Relaxed);
        }
        self.update_memory_limit();
        self.leaving.store(report.leaving, Ordering::Relaxed);
        if **self.versions.load() != report.versions {
            self.versions.store(report.versions.clone().into());
        }
    }

    /// Reports whether it is about to shut down.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Reports whether it is known not to have a version loaded.
    pub(super) fn lacks(&self, version: &str) -> bool {
        let versions = self.versions.load();
        !versions.is_empty() && !versions.iter().any(|v| &**v == version)
    }

    fn update_memory_limit(&self) {
        let limit = match self.model {
            true => self.total_tokens.load(Ordering::Relaxed) as f64 * memory_share(self.sharers()),
            false => u64::MAX as f64,
        };
        self.memory.set_limit(limit as u64);
    }
}
