/*!
Counters and latency histograms, as text that Prometheus reads.

The metrics are pulled by a collector; `cadence`, which the rest of the project uses, can only push
them.
*/

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

/// Labels of a counter by outcome.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Outcome {
    /// The outcome, as the log names it.
    pub outcome: String,
}

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
    /// Calls of the store, by outcome.
    pub store_calls: Family<Outcome, Counter>,
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
            store_calls: Family::default(),
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

    /// Counts one outcome.
    pub fn count(family: &Family<Outcome, Counter>, outcome: &str) {
        let labels = Outcome {
            outcome: outcome.to_owned(),
        };
        family.get_or_create(&labels).inc();
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
        registry.register(
            "store_calls",
            "Calls of the store",
            self.store_calls.clone(),
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
