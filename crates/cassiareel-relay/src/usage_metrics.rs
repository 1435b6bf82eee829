//! The metrics of usage reports.

use prometheus_client::{
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

use crate::metrics::Outcome;

/// The metrics of usage reports.
#[derive(Clone, Debug, Default)]
pub struct UsageMetrics {
    /// Windows, by what was done about them.
    pub windows: Family<Outcome, Counter>,
    /// Requests whose counts came too late, by the reason.
    pub late_counts: Family<Outcome, Counter>,
    /// The last window that this node fixed.
    pub last_window: Gauge,
    /// The requests in it.
    pub last_requests: Gauge,
}

impl UsageMetrics {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "usage_windows",
            "Windows of usage, by what was done about them",
            self.windows.clone(),
        );
        registry.register(
            "usage_late_counts",
            "Requests whose counts came after their window was fixed",
            self.late_counts.clone(),
        );
        registry.register(
            "usage_last_window",
            "The last window that this node fixed",
            self.last_window.clone(),
        );
        registry.register(
            "usage_last_requests",
            "The requests in the last window that this node fixed",
            self.last_requests.clone(),
        );
    }
}
