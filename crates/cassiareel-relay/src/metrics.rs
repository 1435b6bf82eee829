/*!
Counters and latency histograms, as text that Prometheus reads.

The metrics are pulled by a collector; `cadence`, which the rest of the project uses, can only push
them.
*/

use std::sync::atomic::AtomicU64;

use prometheus_client::{
    encoding::{text::encode, EncodeLabelSet},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{exponential_buckets, Histogram},
    },
    registry::Registry,
};

pub use crate::usage_metrics::UsageMetrics;

/// Labels of a counter by outcome.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Outcome {
    /// The outcome, as the log names it.
    pub outcome: String,
}

/// Labels of a gauge by backend server.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct BackendLabel {
    /// The id of the backend server's process.
    pub backend: String,
}

/// Labels of a counter by the calls that read.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct CallLabel {
    /// The calls, as the log names them.
    pub call: String,
}

/// Labels of a counter of a duty's calls.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct DutyCallLabel {
    /// The duty.
    pub duty: String,
    /// The outcome, as the log names it.
    pub outcome: String,
}

/// The metrics of the lease on the duties, and of calls.
#[derive(Clone, Debug, Default)]
pub struct DutyMetrics {
    /// 1 while this node holds the lease.
    pub holder: Gauge,
    /// The fencing token of the lease that this node held last.
    pub fence: Gauge,
    /// Calls, by duty and outcome.
    pub calls: Family<DutyCallLabel, Counter>,
}

/// Labels of a gauge by service and data centre.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct SubjectLabel {
    /// The service.
    pub service: String,
    /// The data centre of its backend servers.
    pub data_centre: String,
}

/// A gauge for each backend server that names a limit, in requests a second.
type RateGauges = Family<BackendLabel, Gauge<f64, AtomicU64>>;

/// The metrics of a node.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Answers to callers, by outcome.
    pub answers: Family<Outcome, Counter>,
    /// Sends to backend servers, by outcome.
    pub sends: Family<Outcome, Counter>,
    /// Lost runs, by what happened to the backend server's process.
    pub losses: Family<Outcome, Counter>,
    /// Streams that were resumed at another backend server, by cause.
    pub resumed: Family<Outcome, Counter>,
    /// Requests that no backend server had room for, by what was missing.
    pub no_room: Family<Outcome, Counter>,
    /// Decisions to hold a request, by what crashed backend servers.
    pub held: Family<Outcome, Counter>,
    /// Calls of the store, by outcome.
    pub store_calls: Family<Outcome, Counter>,
    /// Requests of other nodes for whole lists, by outcome.
    pub peer_lists: Family<Outcome, Counter>,
    /// Objects, and values of reports, that could not be read, by the calls that read them.
    pub unreadable: Family<CallLabel, Counter>,
    /// The limits that backend servers name for the whole fleet.
    pub limits: RateGauges,
    /// What this node would send to them.
    pub limit_demand: RateGauges,
    /// What this node sent to them.
    pub limit_share: RateGauges,
    /// The lease on the duties.
    pub duties: DutyMetrics,
    /// Reports of usage.
    pub usage: UsageMetrics,
    /// Orders of numbers of backend servers, by outcome.
    pub server_orders: Family<Outcome, Counter>,
    /// The wanted numbers of backend servers, at the node that orders them.
    pub wanted_servers: Family<SubjectLabel, Gauge>,
    /// The listed numbers of these.
    pub listed_servers: Family<SubjectLabel, Gauge>,
    /// Requests that are open.
    pub open_requests: Gauge,
    /// The version of the configuration in force.
    pub config_version: Gauge,
    /// Backend servers that are known.
    pub backends: Gauge,
    /// Seconds from a request's arrival to its answer, or to a stream's first event.
    pub latency: Histogram,
    /// Seconds from the loss of a stream's run to its next event.
    pub resume_time: Histogram,
}

impl Metrics {
    /// Creates metrics at zero.
    pub fn new() -> Metrics {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("cassiareel_relay"),
            answers: Family::default(),
            sends: Family::default(),
            losses: Family::default(),
            resumed: Family::default(),
            no_room: Family::default(),
            held: Family::default(),
            store_calls: Family::default(),
            peer_lists: Family::default(),
            unreadable: Family::default(),
            limits: Family::default(),
            limit_demand: Family::default(),
            limit_share: Family::default(),
            duties: DutyMetrics::default(),
            usage: UsageMetrics::default(),
            server_orders: Family::default(),
            wanted_servers: Family::default(),
            listed_servers: Family::default(),
            open_requests: Gauge::default(),
            config_version: Gauge::default(),
            backends: Gauge::default(),
            latency: Histogram::new(exponential_buckets(0.005, 2.0, 13)),
            resume_time: Histogram::new(exponential_buckets(0.005, 2.0, 13)),
        };
        metrics.register();
        metrics
    }

    /// Encodes the metrics as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string fails only where a metric can't be encoded, which is true of none of
        // these.
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(err) => format!("# the metrics can't be encoded: {err}\n"),
        }
    }

    /// Sets the gauges of a backend server that names a limit.
    pub fn set_limit(&self, backend: &str, limit: Option<f64>, demand: f64, share: f64) {
        let labels = BackendLabel {
            backend: backend.to_owned(),
        };
        let limit = limit.unwrap_or_default();
        self.limits.get_or_create(&labels).set(limit);
        self.limit_demand.get_or_create(&labels).set(demand);
        self.limit_share.get_or_create(&labels).set(share);
    }

    /// Removes the gauges of a backend server that names no limit any more.
    pub fn remove_limit(&self, backend: Option<&str>) {
        let labels = BackendLabel {
            backend: backend.unwrap_or_default().to_owned(),
        };
        for gauges in [&self.limits, &self.limit_demand, &self.limit_share] {
            gauges.remove(&labels);
        }
    }

    /// Sets the gauges of a service's backend servers in a data centre.
    pub fn set_servers(&self, service: &str, data_centre: &str, wanted: Option<u32>, listed: u32) {
        let labels = SubjectLabel {
            service: service.to_owned(),
            data_centre: data_centre.to_owned(),
        };
        let listed_servers = self.listed_servers.get_or_create(&labels);
        listed_servers.set(i64::from(listed));
        if let Some(wanted) = wanted {
            let wanted_servers = self.wanted_servers.get_or_create(&labels);
            wanted_servers.set(i64::from(wanted));
        }
    }

    /// Removes the gauges of wanted and listed backend servers, which another node orders.
    pub fn clear_servers(&self) {
        self.wanted_servers.clear();
        self.listed_servers.clear();
    }

    /// Counts one outcome.
    pub fn count(family: &Family<Outcome, Counter>, outcome: &str) {
        let labels = Outcome {
            outcome: outcome.to_owned(),
        };
        family.get_or_create(&labels).inc();
    }

    /// Counts objects that could not be read.
    pub fn count_unreadable(&self, call: &str, objects: usize) {
        let labels = CallLabel {
            call: call.to_owned(),
        };
        self.unreadable
            .get_or_create(&labels)
            .inc_by(objects as u64);
    }

    /// Counts requests whose counts came after their window was fixed.
    pub fn count_late_usage(&self, cause: &str, requests: u64) {
        let labels = Outcome {
            outcome: cause.to_owned(),
        };
        let counter = self.usage.late_counts.get_or_create(&labels);
        counter.inc_by(requests);
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("answers", "Answers to callers", self.answers.clone());
        registry.register("sends", "Sends to backend servers", self.sends.clone());
        registry.register("losses", "Lost runs", self.losses.clone());
        registry.register(
            "resumed",
            "Streams that went on elsewhere",
            self.resumed.clone(),
        );
        registry.register("no_room", "Requests without room", self.no_room.clone());
        registry.register("held", "Decisions to hold a request", self.held.clone());
        registry.register(
            "store_calls",
            "Calls of the store",
            self.store_calls.clone(),
        );
        registry.register(
            "peer_lists",
            "Requests of other nodes for whole lists",
            self.peer_lists.clone(),
        );
        registry.register(
            "unreadable",
            "Objects that could not be read",
            self.unreadable.clone(),
        );
        registry.register(
            "limit",
            "Requests a second that a backend server takes from all nodes",
            self.limits.clone(),
        );
        registry.register(
            "limit_demand",
            "Requests a second that this node would send to it",
            self.limit_demand.clone(),
        );
        registry.register(
            "limit_share",
            "Requests a second that this node sent to it",
            self.limit_share.clone(),
        );
        registry.register(
            "duty_holder",
            "Whether this node holds the lease on the duties",
            self.duties.holder.clone(),
        );
        registry.register(
            "duty_fence",
            "Fencing token of the lease that this node held last",
            self.duties.fence.clone(),
        );
        registry.register("duty_calls", "Calls of duties", self.duties.calls.clone());
        self.usage.register(registry);
        registry.register(
            "server_orders",
            "Orders of numbers of backend servers",
            self.server_orders.clone(),
        );
        registry.register(
            "wanted_servers",
            "Wanted backend servers, at the node that orders them",
            self.wanted_servers.clone(),
        );
        registry.register(
            "listed_servers",
            "Listed backend servers, at the node that orders them",
            self.listed_servers.clone(),
        );
        registry.register("open_requests", "Open requests", self.open_requests.clone());
        registry.register(
            "config_version",
            "Configuration in force",
            self.config_version.clone(),
        );
        registry.register("backends", "Known backend servers", self.backends.clone());
        registry.register(
            "latency_seconds",
            "Time to the answer",
            self.latency.clone(),
        );
        registry.register(
            "resume_seconds",
            "Time to go on elsewhere",
            self.resume_time.clone(),
        );
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}
