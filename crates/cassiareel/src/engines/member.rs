//! One backend server as the node believes it to be.

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

/// Tokens of memory that an engine is believed to have before its first report.
const ASSUMED_TOKENS: u64 = 32_768;

/// A backend server.
#[derive(Debug)]
pub struct Member {
    /// Its address.
    pub backend: BackendId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    pub(super) slot: Option<Slot>,
    pub(super) seed: u64,
    pub(super) load: Load,
    pub(super) memory: MemoryBudget,
    model: bool,
    sharers: AtomicU32,
    total: AtomicU64,
    sequence: AtomicU64,
    leaving: AtomicBool,
    versions: ArcSwap<Vec<VersionId>>,
}

impl Member {
    /// A server that nothing is known of; only a model engine has memory that can run out.
    pub(super) fn new(
        backend: BackendId,
        data_centre: DataCentreId,
        slot: Option<Slot>,
        model: bool,
    ) -> Member {
        let member = Member {
            seed: home_seed(&backend),
            backend,
            data_centre,
            slot,
            load: Load::default(),
            memory: MemoryBudget::default(),
            model,
            sharers: AtomicU32::new(1),
            total: AtomicU64::new(ASSUMED_TOKENS),
            sequence: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            versions: ArcSwap::default(),
        };
        member.set_bound();
        member
    }

    /// Sets how many nodes share it.
    pub(super) fn set_sharers(&self, sharers: u32) {
        self.sharers.store(sharers.max(1), Ordering::Relaxed);
        self.set_bound();
    }

    /// How many nodes share it.
    pub fn sharers(&self) -> u32 {
        self.sharers.load(Ordering::Relaxed)
    }

    /// Reports whether it is a model engine.
    pub fn is_model(&self) -> bool {
        self.model
    }

    /// Takes a report, unless a later one was taken already.
    ///
    /// A sequence number far below the last one is that of an engine that has started anew.
    pub(super) fn report(&self, now: Time, report: &LoadReport) {
        let last = self.sequence.swap(report.sequence, Ordering::Relaxed);
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
            self.total.store(report.total_tokens, Ordering::Relaxed);
        }
        self.set_bound();
        self.leaving.store(report.leaving, Ordering::Relaxed);
        if **self.versions.load() != report.versions {
            self.versions.store(report.versions.clone().into());
        }
    }

    /// Reports whether it is about to leave.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Reports whether it is known to lack a version.
    pub(super) fn lacks(&self, version: &str) -> bool {
        let versions = self.versions.load();
        !versions.is_empty() && !versions.iter().any(|v| &**v == version)
    }

    fn set_bound(&self) {
        let bound = match self.model {
            true => self.total.load(Ordering::Relaxed) as f64 * memory_share(self.sharers()),
            false => u64::MAX as f64,
        };
        self.memory.set_limit(bound as u64);
    }
}
