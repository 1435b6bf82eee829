/*!
How long recent runs took, by route and by service.

A node that stops has to know whether a run can end before the node exits. The runs of a route are
alike, so the times of recent ones answer this; a run that was given up counts as one without end.
*/

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// The number of runs that are remembered by route and by service.
const MAX_RUNS: usize = 64;

/// The number of runs from which on the slowest of them stands for a slow run.
const MIN_RUNS: usize = 4;

/// The next run may be slower than all that are remembered, by this factor.
const SLOW_FACTOR: f64 = 1.25;

/// The largest number of routes, and of services, of which runs are remembered.
const MAX_NAMES: usize = 1000;

/// The times that a run is expected to take, as far as they are known.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ExpectedTimes {
    /// The time of a usual run.
    pub usual: Option<Duration>,
    /// The time of a slow run.
    pub slow: Option<Duration>,
}

/// The times of recent runs by route and by service.
#[derive(Debug, Default)]
pub struct RunTimes {
    routes: RunsByName,
    services: RunsByName,
}

impl RunTimes {
    /// Records how long a run took, or that it did not end in its time.
    pub fn record(&mut self, route: &str, service: &str, took: Option<Duration>) {
        let took = took.unwrap_or(Duration::MAX);
        self.routes.record(route, took);
        self.services.record(service, took);
    }

    /// Returns the time of a usual run of a service; `None` before one ended, or where most were given up.
    pub fn usual(&self, service: &str) -> Option<Duration> {
        let usual = self.services.0.get(service).and_then(RecentRuns::median);
        usual.filter(|usual| *usual < Duration::MAX)
    }

    /// Returns the times that a run is expected to take. Other routes of its service tell how long a
    /// usual run takes, but not a slow one.
    pub fn expected(&self, route: &str, service: &str) -> ExpectedTimes {
        let (route, service) = (self.routes.0.get(route), self.services.0.get(service));
        ExpectedTimes {
            usual: route.or(service).and_then(RecentRuns::median),
            slow: route.and_then(RecentRuns::slow),
        }
    }
}

/// Recent runs by a name.
#[derive(Debug, Default)]
struct RunsByName(HashMap<String, RecentRuns>);

impl RunsByName {
    fn record(&mut self, name: &str, took: Duration) {
        if let Some(runs) = self.0.get_mut(name) {
            return runs.record(took);
        }
        if self.0.len() >= MAX_NAMES {
            // Names that are still in use come back with their next runs.
            self.0.clear();
        }
        self.0.entry(name.to_owned()).or_default().record(took);
    }
}

/// The times of recent runs, the oldest first.
#[derive(Debug, Default)]
struct RecentRuns(VecDeque<Duration>);

impl RecentRuns {
    fn record(&mut self, took: Duration) {
        if self.0.len() >= MAX_RUNS {
            self.0.pop_front();
        }
        self.0.push_back(took);
    }

    /// Returns the time that half of the runs exceed.
    fn median(&self) -> Option<Duration> {
        let mut sorted: Vec<Duration> = self.0.iter().copied().collect();
        sorted.sort_unstable();
        sorted.get(sorted.len() / 2).copied()
    }

    /// Returns the time of a slow run, or `None` if too few runs are known.
    fn slow(&self) -> Option<Duration> {
        let slowest = self.0.iter().max().filter(|_| self.0.len() >= MIN_RUNS)?;
        let seconds = slowest.as_secs_f64() * SLOW_FACTOR;
        Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }
}
