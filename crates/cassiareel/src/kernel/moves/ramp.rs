//! The share of a cell's traffic that the new version gets.

use std::{collections::HashMap, time::Duration};

use super::Cell;
use crate::kernel::Time;

/// The share until the new version has shown itself on a cell.
pub const CANARY_SHARE: f64 = 0.04;

/// A step of a move.
#[derive(Clone, Copy, Debug)]
struct Step {
    /// The share of the cell's traffic.
    share: f64,
    /// The latest start of the step, as a part of the move's time.
    latest: f64,
    /// Requests of the new version that the step before must have seen.
    evidence: u32,
}

/// The steps.
///
/// The version beside it keeps more than half of the traffic up to the last step, as the judge
/// compares with it; only time leads to the last one. Its latest start leaves the last tenth of the
/// time to the slowest node.
const STEPS: [Step; 4] = [
    Step {
        share: CANARY_SHARE,
        latest: 0.0,
        evidence: 0,
    },
    Step {
        share: 0.15,
        latest: 0.6,
        evidence: 150,
    },
    Step {
        share: 0.4,
        latest: 0.75,
        evidence: 100,
    },
    Step {
        share: 1.0,
        latest: 0.9,
        evidence: u32::MAX,
    },
];

/// The shortest time in a step.
const DWELL: Duration = Duration::from_secs(10);

/// Suspicion from which a cell waits for its latest start.
const SUSPECT: f64 = 0.3;

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
/// assert_eq!(ramp.share(), CANARY_SHARE, "too little was seen");
/// ramp.advance(Duration::from_secs(540), within, 50, 0.0);
/// assert_eq!(ramp.share(), 1.0, "the time asked for is near");
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ramp {
    step: usize,
    entered: Time,
    seen: u32,
}

impl Ramp {
    /// A ramp at its first step; `now` counts from the move's start.
    pub fn new(now: Time) -> Ramp {
        Ramp {
            step: 0,
            entered: now,
            seen: 0,
        }
    }

    /// The share of the new version, from 0 to 1.
    pub fn share(&self) -> f64 {
        STEPS[self.step].share
    }

    /// Goes on where the evidence or the time asks for it.
    ///
    /// `requests` is the count of the new version's requests on the cell since the start, and
    /// `suspicion` the judge's word on it.
    pub fn advance(&mut self, now: Time, within: Duration, requests: u32, suspicion: f64) {
        let due = STEPS
            .iter()
            .rposition(|step| now >= within.mul_f64(step.latest))
            .unwrap_or(0);
        let next = self.step + 1;
        let shown = STEPS.get(next).is_some_and(|step| {
            now >= self.entered + DWELL
                && requests >= self.seen.saturating_add(step.evidence)
                && suspicion < SUSPECT
        });
        let to = if shown {
            next.max(due)
        } else {
            self.step.max(due)
        };
        if to > self.step {
            *self = Ramp {
                step: to,
                entered: now,
                seen: requests,
            };
        }
    }

    /// Reports whether the cell has arrived at the new version.
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
    /// The share of a cell; one not met yet is at the step that the time asks for.
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

    /// Lets a cell go on; see [`Ramp::advance`].
    pub fn advance(&mut self, cell: &Cell, now: Time, within: Duration, seen: u32, suspicion: f64) {
        self.ramps
            .entry(cell.clone())
            .or_insert_with(|| Ramp::new(Time::ZERO))
            .advance(now, within, seen, suspicion);
    }

    /// Reports whether every cell has arrived.
    pub fn is_done(&self, now: Time, within: Duration) -> bool {
        let rest = STEPS[STEPS.len() - 1].latest;
        now >= within.mul_f64(rest)
            || !self.ramps.is_empty() && self.ramps.values().all(Ramp::is_done)
    }
}
