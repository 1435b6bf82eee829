//! The measured figures and their targets.

use std::{fmt, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::{measure::histogram, CallPath};

/// Largest time that a node may add to the 95th percentile of the first token, in milliseconds.
const MAX_ADDED_FIRST_TOKEN_MS: f64 = 1.0;
/// Largest processor time per token and memory per open stream, as a multiple of the bare relay's.
const MAX_RELAY_RATIO: f64 = 1.5;
/// Largest stall at the 95th percentile of streams, in milliseconds.
const MAX_STALL_MS: f64 = 42.0;

/// A distribution of latencies.
#[derive(Clone, Debug)]
pub struct Latencies {
    pub(super) latencies: Histogram<u64>,
    /// Streams that did not reach their end.
    pub incomplete: u64,
}

impl Default for Latencies {
    fn default() -> Latencies {
        Latencies {
            latencies: histogram(),
            incomplete: 0,
        }
    }
}

impl Latencies {
    /// Returns a percentile in milliseconds.
    pub fn percentile(&self, percent: f64) -> f64 {
        self.latencies.value_at_percentile(percent) as f64 / 1e3
    }
}

/// Times to the first token of single requests.
#[derive(Clone, Debug, Default)]
pub struct FirstToken {
    /// Directly to the engine.
    pub direct: Latencies,
    /// Through the bare relay.
    pub relay: Latencies,
    /// Through a node.
    pub node: Latencies,
}

/// The cost of one path under load.
#[derive(Clone, Debug, Default)]
pub struct Cost {
    /// Processor time of the whole process.
    pub cpu: Duration,
    /// Tokens generated.
    pub tokens: u64,
    /// Streams that did not reach their end.
    pub incomplete: u64,
    /// Times between events with text.
    pub gaps: Latencies,
    /// For each stream, its longest gap minus that of the same stream on the direct path.
    pub stalls: Latencies,
}

impl Cost {
    /// Returns the processor time for 1,000 tokens, in milliseconds.
    pub fn cpu_ms(&self) -> f64 {
        self.cpu.as_secs_f64() * 1e6 / self.tokens.max(1) as f64
    }
}

/// The costs of concurrent streams.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Directly to the engine.
    pub direct: Cost,
    /// Through the bare relay.
    pub relay: Cost,
    /// Through a node.
    pub node: Cost,
}

/// The costs of concurrent streams whose tokens come in bursts.
pub type Burst = Load;

impl Load {
    pub(super) fn cost_mut(&mut self, call_path: CallPath) -> &mut Cost {
        match call_path {
            CallPath::Direct => &mut self.direct,
            CallPath::Relay => &mut self.relay,
            CallPath::Node => &mut self.node,
        }
    }

    /// Returns the processor time that the bare relay adds for 1,000 tokens, in milliseconds.
    pub fn relay_added_ms(&self) -> f64 {
        self.relay.cpu_ms() - self.direct.cpu_ms()
    }

    /// Returns the processor time that a node adds for 1,000 tokens, in milliseconds.
    pub fn node_added_ms(&self) -> f64 {
        self.node.cpu_ms() - self.direct.cpu_ms()
    }
}

/// Resident memory of an open stream in bytes, including the caller, the engine and everything in
/// between.
#[derive(Clone, Copy, Debug, Default)]
pub struct Memory {
    /// Directly to the engine.
    pub direct: f64,
    /// Through the bare relay.
    pub relay: f64,
    /// Through a node.
    pub node: f64,
}

/// All measurements of a run.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Number of concurrent streams.
    pub streams: usize,
    /// Times to the first token.
    pub first_token: FirstToken,
    /// Costs of concurrent streams.
    pub load: Load,
    /// Costs of concurrent streams in bursts.
    pub burst: Burst,
    /// Memory of open streams.
    pub memory: Memory,
}

/// A target and the figure measured for it.
#[derive(Clone, Debug, Serialize)]
pub struct Target {
    /// Name of the figure.
    pub name: &'static str,
    /// The measured figure.
    pub figure: f64,
    /// The largest allowed value.
    pub bound: f64,
    /// The unit of `figure` and `bound`.
    pub unit: &'static str,
    /// Whether the target is met.
    pub verdict: Verdict,
}

/// Whether a target is met.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// The figure is at most the bound.
    Pass,
    /// The figure is above the bound.
    Fail,
}

impl Target {
    fn new(name: &'static str, figure: f64, bound: f64, unit: &'static str) -> Target {
        let verdict = match figure <= bound {
            true => Verdict::Pass,
            false => Verdict::Fail,
        };
        Target {
            name,
            figure,
            bound,
            unit,
            verdict,
        }
    }
}

impl Figures {
    /// Returns the targets with the figures of this run.
    pub fn targets(&self) -> Vec<Target> {
        let first_token = &self.first_token;
        let added = first_token.node.percentile(95.0) - first_token.direct.percentile(95.0);
        let cpu = self.load.node_added_ms() / self.load.relay_added_ms();
        let memory = &self.memory;
        let memory = (memory.node - memory.direct) / (memory.relay - memory.direct);
        let burst = self.burst.node_added_ms() / self.burst.relay_added_ms();
        let stall = self.load.node.stalls.percentile(95.0);
        vec![
            Target::new(
                "added time to first token, p95",
                added,
                MAX_ADDED_FIRST_TOKEN_MS,
                "ms",
            ),
            Target::new(
                "processor time a token, of the relay's",
                cpu,
                MAX_RELAY_RATIO,
                "x",
            ),
            Target::new(
                "memory an open stream, of the relay's",
                memory,
                MAX_RELAY_RATIO,
                "x",
            ),
            Target::new(
                "processor time a token in bursts, of the relay's",
                burst,
                1.0,
                "x",
            ),
            Target::new(
                "stall of a stream, p95 of streams",
                stall,
                MAX_STALL_MS,
                "ms",
            ),
        ]
    }

    /// Returns the number of streams that did not reach their end, in all measurements.
    pub fn incomplete(&self) -> u64 {
        let first_token = &self.first_token;
        let singles = first_token.direct.incomplete
            + first_token.relay.incomplete
            + first_token.node.incomplete;
        let concurrent = [&self.load, &self.burst]
            .iter()
            .map(|load| load.direct.incomplete + load.relay.incomplete + load.node.incomplete)
            .sum::<u64>();
        singles + concurrent
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let row = |f: &mut fmt::Formatter<'_>, name: &str, values: [f64; 3], unit: &str| {
            let [direct, relay, node] = values;
            let added = node - direct;
            writeln!(
                f,
                "| {name:<42} | {direct:>9.2} | {relay:>9.2} | {node:>9.2} | {added:>9.2} | {unit} |"
            )
        };
        writeln!(
            f,
            "| {:<42} | {:>9} | {:>9} | {:>9} | {:>9} | unit |\n| --- | ---: | ---: | ---: | ---: | --- |",
            "figure", "direct", "relay", "node", "added"
        )?;
        let first_token = [
            &self.first_token.direct,
            &self.first_token.relay,
            &self.first_token.node,
        ];
        for (name, percent) in [
            ("time to first token, p50", 50.0),
            ("time to first token, p95", 95.0),
        ] {
            row(f, name, first_token.map(|s| s.percentile(percent)), "ms")?;
        }
        let load = [&self.load.direct, &self.load.relay, &self.load.node];
        for (name, percent) in [
            ("time between tokens, p50", 50.0),
            ("time between tokens, p95", 95.0),
        ] {
            row(f, name, load.map(|c| c.gaps.percentile(percent)), "ms")?;
        }
        row(
            f,
            "stall of a stream, p95 of streams",
            load.map(|c| c.stalls.percentile(95.0)),
            "ms",
        )?;
        row(
            f,
            "processor time, 1,000 tokens",
            load.map(Cost::cpu_ms),
            "ms",
        )?;
        let burst = [&self.burst.direct, &self.burst.relay, &self.burst.node];
        row(
            f,
            "processor time, 1,000 tokens in bursts",
            burst.map(Cost::cpu_ms),
            "ms",
        )?;
        let memory = [self.memory.direct, self.memory.relay, self.memory.node];
        row(
            f,
            "resident memory of an open stream",
            memory.map(|bytes| bytes / 1024.0),
            "KiB",
        )?;
        writeln!(f)?;
        for target in self.targets() {
            let verdict = match target.verdict {
                Verdict::Pass => "pass",
                Verdict::Fail => "FAIL",
            };
            writeln!(
                f,
                "{verdict}: {} is {:.2} {}, target at most {} {}",
                target.name, target.figure, target.unit, target.bound, target.unit
            )?;
        }
        writeln!(
            f,
            "streams that did not come to their end: {}",
            self.incomplete()
        )
    }
}
