//! The figures and the targets that they are held against.

use std::{fmt, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::{measure::histogram, Way};

/// Added time to the first token at the 95th percentile, in milliseconds.
const FIRST_MS: f64 = 1.0;
/// Processor time a token and memory an open stream, as a multiple of the bare relay's.
const RATIO: f64 = 1.5;
/// A stall at the 95th percentile of streams, in milliseconds.
const STALL_MS: f64 = 42.0;

/// A spread of times.
#[derive(Clone, Debug)]
pub struct Spread {
    pub(super) times: Histogram<u64>,
    /// Streams that did not come to their end.
    pub lost: u64,
}

impl Default for Spread {
    fn default() -> Spread {
        Spread {
            times: histogram(),
            lost: 0,
        }
    }
}

impl Spread {
    /// A percentile in milliseconds.
    pub fn percentile(&self, percent: f64) -> f64 {
        self.times.value_at_percentile(percent) as f64 / 1e3
    }
}

/// Times to the first token of single requests.
#[derive(Clone, Debug, Default)]
pub struct FirstToken {
    /// Straight to the engine.
    pub direct: Spread,
    /// Through the relay.
    pub relay: Spread,
    /// Through a node.
    pub node: Spread,
}

/// What one way costs under load.
#[derive(Clone, Debug, Default)]
pub struct Cost {
    /// Processor time of the process.
    pub cpu: Duration,
    /// Tokens generated.
    pub tokens: u64,
    /// Streams that did not come to their end.
    pub lost: u64,
    /// Times between tokens.
    pub gaps: Spread,
    /// Each stream's longest time between tokens beyond that of the same stream the direct way.
    pub stalls: Spread,
}

impl Cost {
    /// Processor time for 1,000 tokens, in milliseconds.
    pub fn cpu_ms(&self) -> f64 {
        self.cpu.as_secs_f64() * 1e6 / self.tokens.max(1) as f64
    }
}

/// Streams side by side.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Straight to the engine.
    pub direct: Cost,
    /// Through the relay.
    pub relay: Cost,
    /// Through a node.
    pub node: Cost,
}

/// Streams whose tokens come in bursts.
pub type Burst = Load;

impl Load {
    pub(super) fn arm(&mut self, way: Way) -> &mut Cost {
        match way {
            Way::Direct => &mut self.direct,
            Way::Relay => &mut self.relay,
            Way::Node => &mut self.node,
        }
    }

    /// Processor time for 1,000 tokens that the relay adds, in milliseconds.
    pub fn relay_ms(&self) -> f64 {
        self.relay.cpu_ms() - self.direct.cpu_ms()
    }

    /// Processor time for 1,000 tokens that a node adds, in milliseconds.
    pub fn node_ms(&self) -> f64 {
        self.node.cpu_ms() - self.direct.cpu_ms()
    }
}

/// Resident memory of an open stream, in bytes, both its ends and all between.
#[derive(Clone, Copy, Debug, Default)]
pub struct Memory {
    /// Straight to the engine.
    pub direct: f64,
    /// Through the relay.
    pub relay: f64,
    /// Through a node.
    pub node: f64,
}

/// All figures of a run.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Streams side by side.
    pub streams: usize,
    /// Times to the first token.
    pub first: FirstToken,
    /// Streams side by side.
    pub load: Load,
    /// Streams in bursts.
    pub burst: Burst,
    /// Memory of open streams.
    pub memory: Memory,
}

/// A stated target and the figure held against it.
#[derive(Clone, Debug, Serialize)]
pub struct Target {
    /// What is measured.
    pub name: &'static str,
    /// The figure.
    pub figure: f64,
    /// The most that it may be.
    pub bound: f64,
    /// The unit of both.
    pub unit: &'static str,
    /// Whether the target is met.
    pub verdict: Verdict,
}

/// Whether a target is met.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// It is.
    Pass,
    /// It is not.
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
    /// The stated targets with this run's figures.
    pub fn targets(&self) -> Vec<Target> {
        let first = &self.first;
        let added = first.node.percentile(95.0) - first.direct.percentile(95.0);
        let cpu = self.load.node_ms() / self.load.relay_ms();
        let memory = &self.memory;
        let memory = (memory.node - memory.direct) / (memory.relay - memory.direct);
        let burst = self.burst.node_ms() / self.burst.relay_ms();
        let stall = self.load.node.stalls.percentile(95.0);
        vec![
            Target::new("added time to first token, p95", added, FIRST_MS, "ms"),
            Target::new("processor time a token, of the relay's", cpu, RATIO, "x"),
            Target::new("memory an open stream, of the relay's", memory, RATIO, "x"),
            Target::new(
                "processor time a token in bursts, of the relay's",
                burst,
                1.0,
                "x",
            ),
            Target::new("stall of a stream, p95 of streams", stall, STALL_MS, "ms"),
        ]
    }

    /// Streams that did not come to their end, in all measurements.
    pub fn lost(&self) -> u64 {
        let first = &self.first;
        let singles = first.direct.lost + first.relay.lost + first.node.lost;
        let many = [&self.load, &self.burst]
            .iter()
            .map(|load| load.direct.lost + load.relay.lost + load.node.lost)
            .sum::<u64>();
        singles + many
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
        let first = [&self.first.direct, &self.first.relay, &self.first.node];
        for (name, percent) in [
            ("time to first token, p50", 50.0),
            ("time to first token, p95", 95.0),
        ] {
            row(f, name, first.map(|s| s.percentile(percent)), "ms")?;
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
        writeln!(f, "streams that did not come to their end: {}", self.lost())
    }
}
