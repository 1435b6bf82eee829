//! The results of the scenario.

use std::{fmt, time::Duration};

use serde::Serialize;

/// Number of faults that the printed report shows.
const MAX_SHOWN_FAULTS: usize = 12;

/// Percentiles of durations, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Timing {
    /// The median.
    pub p50_ms: f64,
    /// The 95th percentile.
    pub p95_ms: f64,
    /// The longest.
    pub longest_ms: f64,
}

impl Timing {
    /// Returns the percentiles of `times`, or zeros if there are none.
    pub fn from_durations(mut times: Vec<Duration>) -> Timing {
        times.sort();
        let quantile = |fraction: f64| {
            let last = times.len().saturating_sub(1);
            let i = (last as f64 * fraction).round() as usize;
            times.get(i).map_or(0.0, |time| time.as_secs_f64() * 1e3)
        };
        Timing {
            p50_ms: quantile(0.5),
            p95_ms: quantile(0.95),
            longest_ms: quantile(1.0),
        }
    }
}

/// The results of the scenario.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Streams sent.
    pub streams: usize,
    /// Streams in which every token was correct.
    pub streams_whole: usize,
    /// Tokens in the streams that were complete and correct.
    pub tokens: u64,
    /// Time to the first token.
    pub first_token: Timing,
    /// Longest time between two events of each stream whose engine was killed.
    pub engine_killed: Timing,
    /// Longest time between two events of each stream whose node was killed.
    pub node_killed: Timing,
    /// Number of reconnects of all callers.
    pub reconnects: usize,
    /// Orders sent.
    pub orders: usize,
    /// Orders reported to their callers as run.
    pub orders_ran: usize,
    /// Orders reported to their callers as not run.
    pub orders_not_run: usize,
    /// Orders reported to their callers as unknown.
    pub orders_unknown: usize,
    /// Orders that ran more than once.
    pub orders_doubled: usize,
    /// Orders that ran though they were reported as not run, or the reverse.
    #[serde(rename = "orders_belied")]
    pub orders_misreported: usize,
    /// Time until a change of the settings was in force on every node, in milliseconds.
    pub settings_ms: f64,
    /// Descriptions of all faults found.
    pub faults: Vec<String>,
}

impl Report {
    /// Reports whether no fault was found.
    pub fn passed(&self) -> bool {
        self.faults.is_empty()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let percentiles = |t: &Timing| {
            format!(
                "p50 {:.0} ms, p95 {:.0} ms, longest {:.0} ms",
                t.p50_ms, t.p95_ms, t.longest_ms
            )
        };
        let rows = [
            (
                "complete streams",
                format!(
                    "{} of {}, {} tokens",
                    self.streams_whole, self.streams, self.tokens
                ),
            ),
            ("time to the first token", percentiles(&self.first_token)),
            (
                "pause when an engine was killed",
                percentiles(&self.engine_killed),
            ),
            (
                "pause when a node was killed",
                percentiles(&self.node_killed),
            ),
            ("reconnects of callers", self.reconnects.to_string()),
            (
                "orders that ran",
                format!("{} of {}", self.orders_ran, self.orders),
            ),
            (
                "orders reported as not run",
                self.orders_not_run.to_string(),
            ),
            (
                "orders with unknown outcome",
                self.orders_unknown.to_string(),
            ),
            ("orders that ran twice", self.orders_doubled.to_string()),
            (
                "settings in force on every node",
                format!("after {:.0} ms", self.settings_ms),
            ),
        ];
        for (name, value) in rows {
            writeln!(f, "  {name:<34}{value}")?;
        }
        for fault in self.faults.iter().take(MAX_SHOWN_FAULTS) {
            writeln!(f, "  WRONG: {fault}")?;
        }
        if self.faults.len() > MAX_SHOWN_FAULTS {
            writeln!(f, "  and {} more", self.faults.len() - MAX_SHOWN_FAULTS)?;
        }
        let verdict = match self.passed() {
            true => "no token was missing or repeated, and no order ran twice",
            false => "the demo FAILED",
        };
        writeln!(f, "  {verdict}")
    }
}
