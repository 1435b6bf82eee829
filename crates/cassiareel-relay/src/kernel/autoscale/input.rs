//! The facts that decide the number of a service's backend servers.

use std::{collections::BTreeMap, time::Duration};

use super::fleet_demand::DemandCoverage;
use crate::{
    clock::Moment,
    model::{DataCentre, ScaleBounds},
};

/// The state of one service at one moment.
#[derive(Clone, Debug)]
pub struct ServiceInput {
    /// The time.
    pub now: Moment,
    /// The bounds of the number in each data centre.
    pub bounds: ScaleBounds,
    /// The facts of its engines; `None` if it runs no model.
    pub engine: Option<EngineFacts>,
    /// Its servers and the demand for them, by data centre.
    pub data_centres: BTreeMap<DataCentre, DataCentreInput>,
    /// Which nodes the demand is known of.
    pub coverage: DemandCoverage,
    /// Whether a rollout of the service is open.
    pub is_rolling_out: bool,
}

/// The servers in one data centre and the demand for them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DataCentreInput {
    /// The servers in the registry that are not leaving.
    pub listed: u32,
    /// The number of these that take requests.
    pub ready: u32,
    /// The sum of the slots of these.
    pub slots: u64,
    /// Requests that run at servers of the data centre.
    pub running: u64,
    /// Requests that wait for a place at nodes of the data centre.
    pub waiting: u64,
    /// Requests that nodes of the data centre refused since the last decision.
    pub refused: u64,
    /// Servers that were lost since the last decision.
    pub lost: u32,
    /// Whether the last order for the data centre has no answer.
    pub is_unanswered: bool,
}

/// What is known of a service's engines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineFacts {
    /// The time in which an engine prefills a usual prompt; `None` before it was measured.
    pub prefill: Option<Duration>,
    /// The time of a usual run, from its prompt to its end; `None` before it was measured.
    pub run: Option<Duration>,
    /// The memory of an engine, in tokens.
    pub capacity: u64,
    /// The tokens of a usual request at its end; 0 before one was seen.
    pub tokens: u64,
}

/// The number of requests that an engine may run while the time of its prefills is unknown. With a
/// prompt of a second and runs of 5 to 8 s, an engine spends a third of its time on prefills then.
pub(super) const ASSUMED_RUNS: f64 = 2.5;

/// The factor over the runs of an engine that its memory is kept free for, in addition to the headroom:
/// generations pause during prefills, so that requests stay longer where there are more of them.
const PAUSE_HEADROOM: f64 = 1.35;

/// The smallest number of requests that a server is taken to run.
const MIN_RUNS: f64 = 0.25;

/// The time of a run where it is unknown.
const DEFAULT_RUN_TIME: Duration = Duration::from_secs(1);

/// The longest time of a run for which refused requests are counted as demand.
const MAX_RUN_TIME: Duration = Duration::from_secs(30);

/// The largest part of its time that an engine is taken to spend on prefills.
const MAX_PREFILL_PART: f64 = 0.9;

impl ServiceInput {
    /// Returns the number of servers that take requests.
    pub(super) fn ready(&self) -> u64 {
        self.sum(|part| u64::from(part.ready))
    }

    /// Returns the number of requests that a server is to run at most where it has room for `headroom`
    /// times the requests: its slots and, for an engine, its memory limit them. `None` where no server
    /// is known.
    pub(super) fn most_runs(&self, headroom: f64) -> Option<f64> {
        let slots = self.sum(|part| part.slots) as f64 / self.ready() as f64;
        if !slots.is_finite() || slots == 0.0 {
            return None;
        }
        let most = match self.engine {
            Some(engine) => slots.min(engine.memory_runs()) / (headroom * PAUSE_HEADROOM),
            None => slots / headroom,
        };
        Some(most.max(MIN_RUNS))
    }

    /// Returns the time of a usual run.
    pub(super) fn run_time(&self) -> Duration {
        let known = self.engine.and_then(|engine| engine.run);
        known.map_or(DEFAULT_RUN_TIME, |run| {
            run.clamp(DEFAULT_RUN_TIME, MAX_RUN_TIME)
        })
    }

    /// Returns the sum of a figure over the data centres.
    pub(super) fn sum<F>(&self, figure: F) -> u64
    where
        F: Fn(&DataCentreInput) -> u64,
    {
        self.data_centres.values().map(figure).sum()
    }
}

impl EngineFacts {
    /// Returns the number of requests that the memory of an engine holds.
    fn memory_runs(&self) -> f64 {
        match self.tokens {
            0 => f64::INFINITY,
            tokens => self.capacity as f64 / tokens as f64,
        }
    }

    /// Returns the time of a generation without pauses, in times of a usual prefill, where an engine runs
    /// `runs` requests on average; `None` before both times were measured.
    pub(super) fn generation(&self, runs: f64) -> Option<f64> {
        let (prefill, run) = (self.prefill?, self.run?);
        if prefill.is_zero() || run <= prefill {
            return None;
        }
        let run = run.as_secs_f64() / prefill.as_secs_f64();
        let part = (runs / run).min(MAX_PREFILL_PART);
        Some((run - 1.0) * (1.0 - part))
    }
}

/// Returns the part of its time that an engine spends on prefills while it runs `runs` requests.
/// `generation` is the time of a generation without pauses, in times of a prefill.
///
/// A request runs for `1 + generation / (1 - part)` prefills, as generations pause during prefills, and
/// `part` requests come in the time of one. The result solves `runs = part * (1 + generation / (1 - part))`.
pub(super) fn prefill_part(runs: f64, generation: f64) -> f64 {
    let sum = 1.0 + generation + runs;
    (sum - (sum * sum - 4.0 * runs).max(0.0).sqrt()) / 2.0
}
