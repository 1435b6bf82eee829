//! The share of a cell's traffic that the new version receives.

use std::{collections::HashMap, time::Duration};

use super::Cell;
use crate::kernel::Time;

/// The new version's first share of a cell's traffic.
pub const CANARY_SHARE: f64 = 0.04;

/// A step of a move.
#[derive(Clone, Copy, Debug)]
struct Step {
    /// The share of the cell's traffic.
    share: f64,
    /// The latest start of the step, as a fraction of the move's time limit.
    latest_start: f64,
    /// The requests to the new version that are required during the previous step.
    min_requests: u32,
}

/// The steps of a ramp.
///
/// The proven version keeps more than half of the traffic until the last step, because the judge
/// compares the new version with it. Only the time limit leads to the last step; its latest start
/// leaves the last tenth of the time to the slowest node.
const STEPS: [Step; 4] = [
    Step {
        share: CANARY_SHARE,
        latest_start: 0.0,
        min_requests: 0,
    },
    Step {
        share: 0.15,
        latest_start: 0.6,
        min_requests: 150,
    },
    Step {
        share: 0.4,
        latest_start: 0.75,
        min_requests: 100,
    },
    Step {
        share: 1.0,
        latest_start: 0.9,
        min_requests: u32::MAX,
    },
];

/// The shortest duration of a step that ends by its evidence.
const MIN_STEP_TIME: Duration = Duration::from_secs(10);

/// The suspicion from which a cell advances only at the latest start of the next step.
const MAX_SUSPICION: f64 = 0.3;

/// The ramp of one cell.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cassiareel::kernel::moves::{Ramp, CANARY_SHARE};
///
/// let within = Duration::from_secs(600);
/// let mut ramp = Ramp::new(Duration::ZERO);
/// assert_eq!(ramp.share(), CANARY_SHARE);
/// ramp.advance(Duration::from_secs(300), within, 50, 0.0);
/// assert_eq!(ramp.share(), CANARY_SHARE, "too few requests");
/// ramp.advance(Duration::from_secs(540), within, 50, 0.0);
/// assert_eq!(ramp.share(), 1.0, "the time limit is near");
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ramp {
    step: usize,
    entered_at: Time,
    requests_at_entry: u32,
}

impl Ramp {
    /// Creates a ramp at its first step; `now` counts from the move's start.
    pub fn new(now: Time) -> Ramp {
        Ramp {
            step: 0,
            entered_at: now,
            requests_at_entry: 0,
        }
    }

    /// Returns the share of the new version, from 0 to 1.
    pub fn share(&self) -> f64 {
        STEPS[self.step].share
    }

    /// Advances to a later step if the evidence allows it or the time limit requires it.
    ///
    /// `now` counts from the move's start, `within` is its time limit, `requests` is the number of
    /// requests to the new version on the cell since the start, and `suspicion` is the judge's
    /// estimate from 0 to 1.
    pub fn advance(&mut self, now: Time, within: Duration, requests: u32, suspicion: f64) {
        let due = STEPS
            .iter()
            .rposition(|step| now >= within.mul_f64(step.latest_start))
            .unwrap_or(0);
        let next = self.step + 1;
        let has_evidence = STEPS.get(next).is_some_and(|step| {
            now >= self.entered_at + MIN_STEP_TIME
                && requests >= self.requests_at_entry.saturating_add(step.min_requests)
                && suspicion < MAX_SUSPICION
        });
        let to = if has_evidence {
            next.max(due)
        } else {
            self.step.max(due)
        };
        if to > self.step {
            *self = Ramp {
                step: to,
                entered_at: now,
                requests_at_entry: requests,
            };
        }
    }

    /// Reports whether the ramp is at its last step, where all traffic of the cell has moved.
    pub fn is_done(&self) -> bool {
        self.step + 1 == STEPS.len()
    }
}

/// The ramps of a move's cells.
#[derive(Clone, Debug, Default)]
pub struct Ramps {
    ramps: HashMap<Cell, Ramp>,
}

impl Ramps {
    /// Returns the share of a cell; a cell without traffic so far is at the step that the time
    /// requires.
    pub fn share(&self, cell: &Cell, now: Time, within: Duration) -> f64 {
        self.ramps.get(cell).map_or_else(
            || {
                let mut ramp = Ramp::new(Time::ZERO);
                ramp.advance(now, within, 0, 1.0);
                ramp.share()
            },
            Ramp::share,
        )
    }

    /// Advances the ramp of a cell; see [`Ramp::advance`].
    pub fn advance(
        &mut self,
        cell: &Cell,
        now: Time,
        within: Duration,
        requests: u32,
        suspicion: f64,
    ) {
        self.ramps
            .entry(cell.clone())
            .or_insert_with(|| Ramp::new(Time::ZERO))
            .advance(now, within, requests, suspicion);
    }

    /// Reports whether every cell has reached the last step.
    pub fn is_done(&self, now: Time, within: Duration) -> bool {
        let last_start = STEPS[STEPS.len() - 1].latest_start;
        now >= within.mul_f64(last_start)
            || !self.ramps.is_empty() && self.ramps.values().all(Ramp::is_done)
    }
}
