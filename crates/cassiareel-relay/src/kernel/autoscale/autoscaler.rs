//! Decides the number of one service's backend servers in each data centre.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use snafu::Snafu;

use super::{
    input::{prefill_part, DataCentreInput, ServiceInput, ASSUMED_RUNS},
    subject::{Situation, Subject, WantedServers},
};
use crate::{
    clock::Moment,
    model::{DataCentre, ScaleBounds},
};

/// The factor of a burst over the recent peak that the servers take without additions. Bursts of 1.5
/// to 1.7 last a few seconds, which is shorter than the start of a server.
const BURST_HEADROOM: f64 = 1.7;

/// The factor over the recent peak that is left when the servers of one data centre are lost. Their
/// requests run again elsewhere, which takes capacity in addition.
const LOSS_HEADROOM: f64 = 1.1;

/// The factor over the requests of one data centre up to which they find place there. The others'
/// servers take what exceeds it, at the cost of traffic between data centres.
const LOCAL_HEADROOM: f64 = 1.25;

/// The number of decisions over which the demand is averaged.
const AVERAGED: usize = 3;

/// The number of refused requests within [`AVERAGED`] decisions from which on servers are added. A
/// single one may have other causes.
const MIN_REFUSED: u64 = 2;

/// The smallest part of the requests of these decisions that has to be refused before servers are added. A
/// node also refuses a few requests to leave room for other accounts while engines have room; retries of
/// these succeed. The run of a plain service counts as a second, so that fewer refusals add servers there.
const MIN_REFUSED_PART: f64 = 0.05;

/// The time between two decisions.
pub const DECISION_INTERVAL: Duration = Duration::from_secs(1);

/// The number of waiting requests for each ready server from which on servers are added.
const MAX_WAITING_PART: f64 = 0.1;

/// The number of servers that are lost at once from which on more may be lost than is known.
const MASS_LOSS: u32 = 3;

/// How long no server is removed after a loss, in starts of a server.
const LOSS_BOOTS: u32 = 1;

/// How long no server is removed after a loss of [`MASS_LOSS`] servers, in starts of a server.
const MASS_LOSS_BOOTS: u32 = 2;

/// How long no server is removed after the end of a rollout, in starts of a server.
const ROLLOUT_BOOTS: u32 = 1;

/// The weight of the newest value in the moving averages of what changes slowly: the holder's own runs
/// of the last tens of seconds show the time of a run.
const NEWEST_WEIGHT: f64 = 0.05;

/// The longest time that a server may take to start.
const MAX_BOOT: Duration = Duration::from_secs(86_400);

/// Decides the number of one service's backend servers in each data centre.
#[derive(Debug, Default)]
pub struct Autoscaler {
    started: Option<Moment>,
    subjects: BTreeMap<DataCentre, Subject>,
    /// The demand of all data centres at the last decisions.
    recent: VecDeque<Demand>,
    /// The largest number of requests that a server is to run, as last known.
    most_runs: Option<f64>,
    /// The mean number of requests of a server.
    mean_runs: Option<f64>,
    /// The mean time of a generation without pauses, in times of a prefill.
    generation: Option<f64>,
    /// Until when no server is removed.
    hold_until: Moment,
    /// Since when the demand of nearly all nodes is known.
    known_since: Option<Moment>,
}

/// The demand for a service at one decision.
#[derive(Clone, Debug, Default)]
struct Demand {
    requests: BTreeMap<DataCentre, f64>,
    /// The estimated number of requests that began at the known nodes.
    started: f64,
    refused: u64,
    waiting: u64,
}

/// The wanted numbers of a service's servers, and the figures that decided them.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSize {
    /// The wanted number in each data centre; none while the service is only watched.
    pub wanted: BTreeMap<DataCentre, WantedServers>,
    /// The requests of all nodes that run, wait or were refused.
    pub demand: f64,
    /// The number of requests that a server is to run.
    pub target_runs: f64,
}

/// Bounds that allow no decision.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum BoundsError {
    /// The smallest number is above the largest.
    #[snafu(display("min {min} is above max {max}"))]
    MinAboveMax {
        /// The smallest number.
        min: u32,
        /// The largest number.
        max: u32,
    },
    /// The time until a new server takes requests is zero or longer than a day.
    #[snafu(display("boot of {} ms is zero or longer than a day", boot.as_millis()))]
    Boot {
        /// The time.
        boot: Duration,
    },
}

/// Adds a value to a moving average, and returns the average.
fn smooth(mean: &mut Option<f64>, value: f64) -> f64 {
    let old = mean.unwrap_or(value);
    *mean.insert(old + (value - old) * NEWEST_WEIGHT)
}

/// Checks the bounds of a service's size.
fn check(bounds: &ScaleBounds) -> Result<(), BoundsError> {
    let ScaleBounds { min, max, boot } = *bounds;
    if min > max {
        return Err(BoundsError::MinAboveMax { min, max });
    }
    if boot.is_zero() || boot > MAX_BOOT {
        return Err(BoundsError::Boot { boot });
    }
    Ok(())
}

impl Autoscaler {
    /// Decides the wanted numbers at one moment. Called once a second.
    ///
    /// # Errors
    ///
    /// Fails where the bounds are invalid; nothing changes then.
    pub fn decide(&mut self, input: &ServiceInput) -> Result<ServiceSize, BoundsError> {
        check(&input.bounds)?;
        let started = *self.started.get_or_insert(input.now);
        self.note_uncertainty(input);
        self.recent.push_back(Demand::of(input));
        if self.recent.len() > AVERAGED {
            self.recent.pop_front();
        }
        for (data_centre, part) in &input.data_centres {
            if part.listed > 0 {
                self.subjects.entry(data_centre.clone()).or_default();
            }
        }
        let demand = self.mean(|recent| recent.requests.values().sum());
        let Some(needed_servers) = self.needed_servers(demand, input) else {
            return Ok(ServiceSize::none());
        };
        let situation = Situation {
            now: input.now,
            started,
            bounds: input.bounds,
            is_pressed: self.is_pressed(input),
            known_since: self.known_since,
            hold_until: self.hold_until,
        };
        let base = needed_servers / self.subjects.len().max(1) as f64;
        let each = needed_servers * LOCAL_HEADROOM / self.headroom() / demand.max(1.0);
        let local: BTreeMap<DataCentre, f64> = self.local_demand();
        let mut wanted = BTreeMap::new();
        for (data_centre, subject) in &mut self.subjects {
            let own = local.get(data_centre).copied().unwrap_or_default();
            let needed = base.max(own * each);
            let none = DataCentreInput::default();
            let part = input.data_centres.get(data_centre).unwrap_or(&none);
            if let Some(decided) = subject.decide(needed, part, &situation) {
                wanted.insert(data_centre.clone(), decided);
            }
        }
        Ok(ServiceSize {
            wanted,
            demand,
            target_runs: demand / needed_servers.max(1.0),
        })
    }

    /// Returns the number of servers that the demand needs, with headroom; `None` where no server is known.
    ///
    /// Engines are sized by the part of their time that prefills take, which the number of requests that
    /// they run shows: it grows faster than that part.
    fn needed_servers(&mut self, demand: f64, input: &ServiceInput) -> Option<f64> {
        let headroom = self.headroom();
        self.most_runs = input.most_runs(headroom).or(self.most_runs);
        let most = self.most_runs?;
        let Some(engine) = input.engine else {
            return Some(demand / most);
        };
        let ready = input.ready().max(1) as f64;
        let runs = demand / ready;
        let mean_runs = smooth(&mut self.mean_runs, runs);
        if let Some(generation) = engine.generation(mean_runs) {
            smooth(&mut self.generation, generation);
        }
        let Some(generation) = self.generation else {
            return Some(demand / most.min(ASSUMED_RUNS));
        };
        let part = prefill_part(most, generation).min(1.0 / headroom);
        Some(ready * prefill_part(runs, generation) / part)
    }

    /// Records what postpones the removal of servers.
    fn note_uncertainty(&mut self, input: &ServiceInput) {
        let boot = input.bounds.boot;
        let lost: u32 = input.data_centres.values().map(|part| part.lost).sum();
        if lost > 0 {
            let boots = if lost < MASS_LOSS {
                LOSS_BOOTS
            } else {
                MASS_LOSS_BOOTS
            };
            self.hold_until = self.hold_until.max(input.now + boot * boots);
        }
        if input.is_rolling_out {
            self.hold_until = self.hold_until.max(input.now + boot * ROLLOUT_BOOTS);
        }
        if input.coverage.is_enough() {
            self.known_since.get_or_insert(input.now);
        } else {
            self.known_since = None;
        }
    }

    /// Reports whether requests are refused or wait for want of servers.
    fn is_pressed(&self, input: &ServiceInput) -> bool {
        let refused: u64 = self.recent.iter().map(|demand| demand.refused).sum();
        let ready = input.sum(|part| u64::from(part.ready)) as f64;
        let most = (ready * MAX_WAITING_PART).max(1.0);
        let is_waiting = |demand: &Demand| demand.waiting as f64 > most;
        let last = self.recent.iter().rev().take(2);
        let started: f64 = self.recent.iter().map(|demand| demand.started).sum();
        let is_refusing = refused >= MIN_REFUSED && refused as f64 >= started * MIN_REFUSED_PART;
        is_refusing || (self.recent.len() > 1 && last.clone().all(is_waiting))
    }

    /// Returns the factor over the demand that servers are kept for.
    fn headroom(&self) -> f64 {
        let parts = self.subjects.len() as f64;
        if parts < 2.0 {
            return BURST_HEADROOM;
        }
        BURST_HEADROOM.max(LOSS_HEADROOM * parts / (parts - 1.0))
    }

    /// Returns the mean demand of each data centre.
    fn local_demand(&self) -> BTreeMap<DataCentre, f64> {
        let of = |name: &DataCentre| {
            self.mean(|recent| recent.requests.get(name).copied().unwrap_or_default())
        };
        let names = self.subjects.keys();
        names.map(|name| (name.clone(), of(name))).collect()
    }

    /// Returns the mean of a figure of the last decisions.
    fn mean<F>(&self, figure: F) -> f64
    where
        F: Fn(&Demand) -> f64,
    {
        let sum: f64 = self.recent.iter().map(figure).sum();
        sum / self.recent.len().max(1) as f64
    }
}

impl Demand {
    /// Returns the demand of all nodes. A refused request would have run for the time of a run.
    fn of(input: &ServiceInput) -> Demand {
        let factor = input.coverage.factor();
        let run = input.run_time().as_secs_f64();
        let requests = |part: &DataCentreInput| {
            let open = (part.running + part.waiting) as f64;
            open + part.refused as f64 * run
        };
        let known: f64 = input.data_centres.values().map(requests).sum();
        let parts = input.data_centres.iter();
        Demand {
            requests: parts
                .map(|(name, part)| (name.clone(), requests(part) * factor))
                .collect(),
            // Little's law: the requests in a service are their rate times the time of a run.
            started: known * DECISION_INTERVAL.as_secs_f64() / run,
            refused: input.sum(|part| part.refused),
            waiting: input.sum(|part| part.waiting),
        }
    }
}

impl ServiceSize {
    /// Returns the size of a service of which no server is known.
    fn none() -> ServiceSize {
        ServiceSize {
            wanted: BTreeMap::new(),
            demand: 0.0,
            target_runs: 0.0,
        }
    }
}
