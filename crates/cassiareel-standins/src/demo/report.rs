//! What came of the story.

use std::{fmt, time::Duration};

use serde::Serialize;

/// Faults that the table shows.
const SHOWN: usize = 12;

/// A spread of times, in milliseconds.
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
    /// The spread of some times; zeros where there are none.
    pub fn of(mut times: Vec<Duration>) -> Timing {
        times.sort();
        let at = |share: f64| {
            let last = times.len().saturating_sub(1);
            let i = (last as f64 * share).round() as usize;
            times.get(i).map_or(0.0, |time| time.as_secs_f64() * 1e3)
        };
        Timing {
            p50_ms: at(0.5),
            p95_ms: at(0.95),
            longest_ms: at(1.0),
        }
    }
}

/// What came of the story.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Streams sent.
    pub streams: usize,
    /// Streams whose every token was right.
    pub streams_whole: usize,
    /// Tokens of the whole streams.
    pub tokens: u64,
    /// Times to the first token.
    pub first_token: Timing,
    /// Longest pauses of the streams whose engine was killed.
    pub engine_killed: Timing,
    /// Longest pauses of the streams whose node was killed.
    pub node_killed: Timing,
    /// Times that callers connected again.
    pub reconnects: usize,
    /// Orders sent.
    pub orders: usize,
    /// Orders whose callers were told that they ran.
    pub orders_ran: usize,
    /// Orders whose callers were told that they did not run.
    pub orders_not_run: usize,
    /// Orders whose outcome was left unknown to their callers.
    pub orders_unknown: usize,
    /// Orders that ran more than once.
    pub orders_doubled: usize,
    /// Orders that ran though their callers were told otherwise, or the reverse.
    pub orders_belied: usize,
    /// Time until a change of the settings was in force on every node, in milliseconds.
    pub settings_ms: f64,
    /// What was wrong, each in words.
    pub faults: Vec<String>,
}

impl Report {
    /// Reports whether no token was missing or repeated and no order ran twice.
    pub fn is_good(&self) -> bool {
        self.faults.is_empty()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let spread = |t: &Timing| {
            format!(
                "p50 {:.0} ms, p95 {:.0} ms, longest {:.0} ms",
                t.p50_ms, t.p95_ms, t.longest_ms
            )
        };
        let rows = [
            (
                "streams whole",
                format!(
                    "{} of {}, {} tokens",
                    self.streams_whole, self.streams, self.tokens
                ),
            ),
            ("time to the first token", spread(&self.first_token)),
            (
                "pause when an engine was killed",
                spread(&self.engine_killed),
            ),
            ("pause when a node was killed", spread(&self.node_killed)),
            ("callers connected again", self.reconnects.to_string()),
            (
                "orders that ran",
                format!("{} of {}", self.orders_ran, self.orders),
            ),
            ("orders not run, as told", self.orders_not_run.to_string()),
            ("orders left unknown", self.orders_unknown.to_string()),
            ("orders that ran twice", self.orders_doubled.to_string()),
            (
                "settings in force on every node",
                format!("after {:.0} ms", self.settings_ms),
            ),
        ];
        for (name, value) in rows {
            writeln!(f, "  {name:<34}{value}")?;
        }
        for fault in self.faults.iter().take(SHOWN) {
            writeln!(f, "  WRONG: {fault}")?;
        }
        if self.faults.len() > SHOWN {
            writeln!(f, "  and {} more", self.faults.len() - SHOWN)?;
        }
        let verdict = match self.is_good() {
            true => "no token was missing or repeated, and no order ran twice",
            false => "the demo FAILED",
        };
        writeln!(f, "  {verdict}")
    }
}
