//! Tests that metrics reach their sink in the StatsD format.

use std::time::Duration;

use cadence::SpyMetricSink;

use super::{Counter, Gauge, Metrics, Timer};

#[test]
fn metrics_reach_the_sink() {
    let (lines, sink) = SpyMetricSink::new();
    let metrics = Metrics::with_sink(sink);
    metrics.count(Counter::Tokens, 5, &[("service", "draft")]);
    metrics.time(Timer::Resume, Duration::from_millis(12), &[]);
    metrics.gauge(Gauge::Revision, 7);
    let got: Vec<String> = lines
        .try_iter()
        .map(|line| String::from_utf8(line).expect("StatsD is text"))
        .collect();
    assert_eq!(
        got,
        [
            "cassiareel.tokens:5|c|#service:draft",
            "cassiareel.resume:12|ms",
            "cassiareel.revision:7|g"
        ]
    );
}

#[test]
fn names_are_unique() {
    let mut names: Vec<&str> = Counter::ALL.iter().map(|c| c.name()).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), Counter::ALL.len());
}
