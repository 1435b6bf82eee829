//! Metrics, which are sent in the StatsD format with `cadence`.

use std::{
    fmt, io,
    net::{SocketAddr, UdpSocket},
    time::Duration,
};

use cadence::{
    BufferedUdpMetricSink, Counted, Gauged, MetricSink, NopMetricSink, QueuingMetricSink,
    StatsdClient, Timed,
};

/// The prefix of every metric's name.
const PREFIX: &str = "cassiareel";

/// Maximum number of metrics that wait for the sending thread; further ones are dropped.
const MAX_QUEUED_METRICS: usize = 4096;

/// A counter; docs/OPERATIONS.md describes what each one counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Counter {
    /// Callers' requests, by service and outcome.
    Requests,
    /// Tokens forwarded to callers, by service.
    Tokens,
    /// Lost attempts of generations, by service and cause.
    LostAttempts,
    /// Answers that did not belong to their request or attempt, by service.
    Mismatches,
    /// Orders whose outcome is unknown, with `orders` as their kind.
    UnknownOrders,
    /// Failed calls to the object API, by object kind.
    StoreErrors,
}

impl Counter {
    /// All counters.
    pub const ALL: [Counter; 6] = [
        Counter::Requests,
        Counter::Tokens,
        Counter::LostAttempts,
        Counter::Mismatches,
        Counter::UnknownOrders,
        Counter::StoreErrors,
    ];

    /// The name after the prefix.
    pub fn name(self) -> &'static str {
        match self {
            Counter::Requests => "requests",
            Counter::Tokens => "tokens",
            Counter::LostAttempts => "lost_attempts",
            Counter::Mismatches => "mismatches",
            Counter::UnknownOrders => "unknown_orders",
            Counter::StoreErrors => "store_errors",
        }
    }
}

/// A timer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Timer {
    /// The time from a request's arrival to its first token.
    FirstToken,
    /// The time from the last token before a loss to the next token.
    Resume,
}

impl Timer {
    /// The name after the prefix.
    pub fn name(self) -> &'static str {
        match self {
            Timer::FirstToken => "first_token",
            Timer::Resume => "resume",
        }
    }
}

/// A gauge.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Gauge {
    /// The revision of the settings in force.
    Revision,
    /// The number of callers' requests that are not answered completely.
    OpenRequests,
}

impl Gauge {
    /// The name after the prefix.
    pub fn name(self) -> &'static str {
        match self {
            Gauge::Revision => "revision",
            Gauge::OpenRequests => "open_requests",
        }
    }
}

/// Sends a node's metrics.
///
/// If the queue is full, metrics are dropped, so that sending metrics never delays a request.
///
/// # Examples
///
/// ```
/// use cassiareel::observe::{Counter, Metrics};
///
/// let metrics = Metrics::none();
/// metrics.count(Counter::Tokens, 5, &[("service", "draft")]);
/// ```
pub struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Creates metrics that are discarded.
    pub fn none() -> Metrics {
        Metrics::with_sink(NopMetricSink)
    }

    /// Creates metrics that are sent to a StatsD server over UDP.
    ///
    /// # Errors
    ///
    /// Returns an error if no local socket can be opened.
    pub fn udp(server: SocketAddr) -> io::Result<Metrics> {
        let local = match server {
            SocketAddr::V4(_) => SocketAddr::from(([0, 0, 0, 0], 0)),
            SocketAddr::V6(_) => SocketAddr::from(([0u16; 8], 0)),
        };
        let socket = UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(server, socket).map_err(io::Error::other)?;
        Ok(Metrics::with_sink(QueuingMetricSink::with_capacity(
            sink,
            MAX_QUEUED_METRICS,
        )))
    }

    /// Creates metrics that are sent to a sink.
    pub fn with_sink<S>(sink: S) -> Metrics
    where
        S: MetricSink + Send + Sync + std::panic::RefUnwindSafe + 'static,
    {
        Metrics {
            client: StatsdClient::from_sink(PREFIX, sink),
        }
    }

    /// Adds to a counter.
    pub fn count(&self, counter: Counter, by: u64, tags: &[(&str, &str)]) {
        let by = i64::try_from(by).unwrap_or(i64::MAX);
        let mut metric = self.client.count_with_tags(counter.name(), by);
        for (key, value) in tags {
            metric = metric.with_tag(key, value);
        }
        metric.send();
    }

    /// Records a duration.
    pub fn time(&self, timer: Timer, took: Duration, tags: &[(&str, &str)]) {
        let mut metric = self.client.time_with_tags(timer.name(), took);
        for (key, value) in tags {
            metric = metric.with_tag(key, value);
        }
        metric.send();
    }

    /// Sets a gauge.
    pub fn gauge(&self, gauge: Gauge, value: u64) {
        // A gauge that can't be sent now is sent again with the next update.
        let _ = self.client.gauge(gauge.name(), value);
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}
