//! Metrics by `cadence`, in the StatsD format.

use std::{
    fmt, io,
    net::{SocketAddr, UdpSocket},
    time::Duration,
};

use cadence::{
    BufferedUdpMetricSink, Counted, Gauged, MetricSink, NopMetricSink, QueuingMetricSink,
    StatsdClient, Timed,
};

/// The prefix of every metric.
const PREFIX: &str = "cassiareel";

/// Metrics that wait for the sending thread before further ones are dropped.
const QUEUE_METRICS: usize = 4096;

/// The name of a counter; docs/OPERATIONS.md says what each counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Counter {
    /// Requests of callers, by service and outcome.
    Requests,
    /// Tokens passed on to callers, by service.
    Tokens,
    /// Attempts at generations that were lost, by service and cause.
    LostAttempts,
    /// Answers that did not fit their request or attempt, by service.
    Mismatches,
    /// Orders whose outcome is unknown, by service.
    UnknownOrders,
    /// Refused calls of the object API, by kind.
    StoreErrors,
}

impl Counter {
    /// Every counter.
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
    /// From a request's arrival to its first token.
    FirstToken,
    /// From the last token before a loss to the next one.
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
    /// Requests of callers that are not answered whole.
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

/// Where a node's metrics go.
///
/// A metric that finds the queue full is dropped: measuring never holds a request up.
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
    /// Metrics that go nowhere.
    pub fn none() -> Metrics {
        Metrics::to(NopMetricSink)
    }

    /// Metrics sent to a StatsD server by UDP.
    ///
    /// # Errors
    ///
    /// Fails when no local socket can be had.
    pub fn udp(server: SocketAddr) -> io::Result<Metrics> {
        let local = match server {
            SocketAddr::V4(_) => SocketAddr::from(([0, 0, 0, 0], 0)),
            SocketAddr::V6(_) => SocketAddr::from(([0u16; 8], 0)),
        };
        let socket = UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(server, socket).map_err(io::Error::other)?;
        Ok(Metrics::to(QueuingMetricSink::with_capacity(
            sink,
            QUEUE_METRICS,
        )))
    }

    /// Metrics sent to any sink.
    pub fn to<S>(sink: S) -> Metrics
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

    /// Records a time.
    pub fn time(&self, timer: Timer, took: Duration, tags: &[(&str, &str)]) {
        let mut metric = self.client.time_with_tags(timer.name(), took);
        for (key, value) in tags {
            metric = metric.with_tag(key, value);
        }
        metric.send();
    }

    /// Sets a gauge.
    pub fn gauge(&self, gauge: Gauge, value: u64) {
        // A gauge that can't be sent now is sent again at its next change.
        let _ = self.client.gauge(gauge.name(), value);
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}
