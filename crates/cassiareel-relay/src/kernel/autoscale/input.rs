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
    /// The length of a usual prompt, in tokens; 0 before one was seen.
    pub prompt: u64,
}

/// The number of requests that an engine runs at full use while the time of its prefills is unknown.
/// An engine of 8 prompt tokens a ms is busy with prefills alone at one prompt of 8,000 tokens a
/// second, which is 5 to 8 requests where a run takes 5 to 8 s.
const ASSUMED_FULL_RUNS: f64 = 4.0;

/// The smallest number of requests that a server is taken to run at full use.
const MIN_FULL_RUNS: f64 = 0.5;

impl ServiceInput {
    /// Returns the number of requests that a server runs at full use: as many as it has slots, and as
    /// its memory and its prefills allow. `None` where no server is known.
    pub(super) fn full_runs(&self) -> Option<f64> {
        let ready: u64 = self.sum(|part| u64::from(part.ready));
        let slots = self.sum(|part| part.slots);
        if ready == 0 || slots == 0 {
            return None;
        }
        let slots = slots as f64 / ready as f64;
        let engine = self
            .engine
            .map_or(f64::INFINITY, |engine| engine.full_runs());
        Some(slots.min(engine).max(MIN_FULL_RUNS))
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

/// The time of a run where it is unknown.
const DEFAULT_RUN_TIME: Duration = Duration::from_secs(1);

/// The longest time of a run for which refused requests are counted as demand.
const MAX_RUN_TIME: Duration = Duration::from_secs(30);

impl EngineFacts {
    /// Returns the number of requests that an engine runs at full use. A request occupies the prefill
    /// of its engine for a part of its run only.
    fn full_runs(&self) -> f64 {
        let memory = match self.prompt {
            0 => f64::INFINITY,
            prompt => self.capacity as f64 / prompt as f64,
        };
        let prefill = match (self.prefill, self.run) {
            (Some(prefill), Some(run)) if !prefill.is_zero() && run < MAX_RUN_TIME => {
                run.as_secs_f64() / prefill.as_secs_f64()
            }
            _ => ASSUMED_FULL_RUNS,
        };
        memory.min(prefill).max(1.0)
    }
}
