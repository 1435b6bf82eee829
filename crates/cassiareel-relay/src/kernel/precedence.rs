/*!
Which requests go first where requests of several priorities compete for a service's engines.

A request of a higher priority often has a shorter objective, so that of equal waits it is the first
that can't be served in time. Under contention the others leave it room:

- They start only where the wait for earlier prompts is short enough for the shortest objective above
  theirs. Longer queues don't let engines serve more, since an engine prefills one prompt at a time.
- They leave a higher priority its part of an engine's places, as long as it does not use that part.
- A higher priority may fill a part of engines' memory that the others leave as a margin for wrong
  estimates. The margin holds about one run, so that a place becomes free for it within a run's time
  over the number of runs, and nothing is kept idle that the others use today.

The priorities and their objectives follow from the routes, since a node of a large fleet sees a
request of the highest priority once in half a minute. How much is asked at each priority follows
from the runs that engines list in their reports.
*/

use std::{collections::BTreeMap, time::Duration};

use super::{load::max_wait, PromptDemand};
use crate::clock::Moment;

/// The half-life of recorded demand.
const HALF_LIFE: Duration = Duration::from_millis(1500);

/// The weight of all recorded demand below which a part of it says nothing.
const MIN_DEMAND: f64 = 1.0;

/// The smallest part of the demand for which room is left.
const MIN_URGENT_PART: f64 = 0.01;

/// The largest part of the demand of a priority that goes first. A higher priority that asks for
/// most of the room is served as the others are, so that they are not starved.
const MAX_FIRST_PART: f64 = 0.5;

/// The part of the time left to it that a request which goes first may wait for earlier prompts.
/// Engines that order their prompts by priority make it wait for one of them only.
const FIRST_WAIT_PART: f64 = 0.8;

/// The part of engines' memory that is open to requests that go first alone.
const FIRST_FILL: f64 = 0.1;

/// The largest part of an engine's places that is left to higher priorities.
const MAX_LEFT_PART: f64 = 0.33;

/// The largest priority value that engines report.
const LOWEST_PRIORITY: u8 = 9;

/// The other priorities of a service by its routes, as one request sees them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Rivals {
    /// The shortest objective of a higher priority, if it is shorter than the request's own.
    pub shorter: Option<Duration>,
    /// Whether a lower priority has a longer objective.
    pub has_longer: bool,
}

impl Rivals {
    /// Returns the rivals of a request among a service's priorities and objectives.
    pub fn new(classes: &[(u8, Duration)], priority: u8, objective: Duration) -> Rivals {
        let higher = classes
            .iter()
            .filter(|(other, theirs)| *other < priority && *theirs < objective);
        Rivals {
            shorter: higher.map(|(_, theirs)| *theirs).min(),
            has_longer: classes
                .iter()
                .any(|(other, theirs)| *other > priority && *theirs > objective),
        }
    }
}

/// The recent demand for one service by priority.
#[derive(Clone, Debug, Default)]
pub struct PriorityDemand {
    counts: BTreeMap<u8, f64>,
    updated: Moment,
}

impl PriorityDemand {
    /// Records a request of a priority, or a run that an engine reported.
    pub fn record(&mut self, priority: u8, now: Moment) {
        self.decay(now);
        *self
            .counts
            .entry(priority.min(LOWEST_PRIORITY))
            .or_default() += 1.0;
    }

    /// Returns the parts of the recent demand of higher priorities and of lower ones.
    fn parts(&mut self, priority: u8, now: Moment) -> (f64, f64) {
        self.decay(now);
        let all: f64 = self.counts.values().sum();
        if all < MIN_DEMAND {
            return (0.0, 0.0);
        }
        let priority = priority.min(LOWEST_PRIORITY);
        let higher: f64 = self.counts.range(..priority).map(|(_, count)| count).sum();
        let lower: f64 = self
            .counts
            .range(priority + 1..)
            .map(|(_, count)| count)
            .sum();
        (higher / all, lower / all)
    }

    /// Returns how a request stands to its rivals.
    pub fn precedence(&mut self, rivals: Rivals, priority: u8, now: Moment) -> Precedence {
        if rivals == Rivals::default() {
            return Precedence::default();
        }
        let (higher, lower) = self.parts(priority, now);
        let yields = (MIN_URGENT_PART..=MAX_FIRST_PART).contains(&higher);
        Precedence {
            yields_to: rivals.shorter.filter(|_| yields),
            higher_part: if yields && rivals.shorter.is_some() {
                higher.min(MAX_LEFT_PART)
            } else {
                0.0
            },
            goes_first: rivals.has_longer && lower >= 1.0 - MAX_FIRST_PART,
        }
    }

    /// Applies exponential decay to the recorded demand.
    fn decay(&mut self, now: Moment) {
        let elapsed = now.saturating_sub(self.updated);
        self.updated = self.updated.max(now);
        let factor = 0.5f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.counts.values_mut().for_each(|count| *count *= factor);
    }
}

/// How a request stands to those of other priorities of its service now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Precedence {
    /// The shortest objective of a higher priority that has demand.
    pub yields_to: Option<Duration>,
    /// The part of engines' places that is left to higher priorities.
    pub higher_part: f64,
    /// Whether most of the demand is of lower priorities with longer objectives.
    pub goes_first: bool,
}

impl Precedence {
    /// Changes what a request needs of an engine. `left` is the time until its objective passes,
    /// less the time to read its prompt, and `part` the part of an objective that it may wait.
    pub fn apply(self, demand: PromptDemand, left: Duration, part: f64) -> PromptDemand {
        let mut demand = demand;
        if let Some(objective) = self.yields_to {
            let longest = max_wait(objective, Duration::ZERO, Duration::ZERO, part);
            demand.max_wait = demand.max_wait.min(longest);
            demand.left_part = self.higher_part;
        }
        if self.goes_first {
            demand.max_wait = demand.max_wait.max(left.mul_f64(FIRST_WAIT_PART));
            demand.extra_fill = FIRST_FILL;
            demand.reserved_part = 0.0;
        }
        demand
    }
}
