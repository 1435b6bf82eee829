//! The servers of one route, judged against each other.

use std::{collections::BTreeMap, time::Duration};

use super::{server::Server, Outcome, Stage};
use crate::kernel::{BackendId, Time};

/// Bounds on ejection and return.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Failures in a row that eject.
    pub consecutive_failures: u32,
    /// Calls before the failure rate counts.
    pub min_samples: u32,
    /// Failure rate above the group's median that ejects.
    pub excess_rate: f64,
    /// Median failure rate above which nothing is ejected.
    pub common_rate: f64,
    /// Share of the group that is never ejected.
    pub min_kept: f64,
    /// Time of a first ejection; each further one takes twice as long.
    pub base_ejection: Duration,
    /// Longest time of an ejection.
    pub max_ejection: Duration,
    /// Trials that must go well before a server returns.
    pub required_trials: u32,
    /// Time in which a returning server's weight rises from [`Limits::start_weight`] to 1.
    pub ramp: Duration,
    /// Weight at the start of a return.
    pub start_weight: f32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            consecutive_failures: 3,
            min_samples: 10,
            excess_rate: 0.3,
            common_rate: 0.3,
            min_kept: 0.5,
            base_ejection: Duration::from_secs(5),
            max_ejection: Duration::from_secs(300),
            required_trials: 2,
            ramp: Duration::from_secs(10),
            start_weight: 0.1,
        }
    }
}

/// A change of a server's stage.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// It is ejected.
    Ejected(BackendId),
    /// It may be tried.
    Trial(BackendId),
    /// It returns.
    Returning(BackendId),
    /// It has its full weight again.
    Healthy(BackendId),
}

/// The servers of one route of one version.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cassiareel::kernel::health::{Group, Limits, Outcome};
///
/// let mut group = Group::new(Limits::default());
/// group.set_servers(&["a".into(), "b".into()]);
/// let now = Duration::ZERO;
/// for _ in 0..3 {
///     group.record(now, "a", Outcome::Lost);
/// }
/// assert_eq!(group.weight(now, "a"), 0.0);
/// assert_eq!(group.weight(now, "b"), 1.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Group {
    limits: Limits,
    servers: BTreeMap<BackendId, Server>,
}

impl Group {
    /// Makes a group without servers.
    pub fn new(limits: Limits) -> Group {
        Group {
            limits,
            servers: BTreeMap::new(),
        }
    }

    /// Sets the bounds; stages and records stay.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Sets the servers; records of those that stay are kept.
    pub fn set_servers(&mut self, servers: &[BackendId]) {
        self.servers.retain(|name, _| servers.contains(name));
        for name in servers {
            self.servers.entry(name.clone()).or_default();
        }
    }

    /// Takes a call's outcome; an unknown server is ignored.
    pub fn record(&mut self, now: Time, server: &str, outcome: Outcome) -> Option<Change> {
        let limits = self.limits;
        let record = self.servers.get_mut(server)?;
        record.count(outcome);
        match record.stage {
            Stage::Trial { passed, .. } if outcome == Outcome::Success => {
                let passed = passed + 1;
                if passed < limits.required_trials {
                    record.stage = Stage::Trial {
                        running: false,
                        passed,
                    };
                    return None;
                }
                record.clear();
                record.stage = Stage::Returning { since: now };
                Some(Change::Returning(server.into()))
            }
            Stage::Trial { .. } => Some(self.eject(now, server)),
            Stage::Ejected { .. } => None,
            Stage::Healthy | Stage::Returning { .. } => {
                let bad = outcome != Outcome::Success && self.is_outlier(server);
                (bad && self.may_eject()).then(|| self.eject(now, server))
            }
        }
    }

    /// Moves servers whose time has come to their next stage.
    pub fn tick(&mut self, now: Time) -> Vec<Change> {
        let limits = self.limits;
        let mut changes = Vec::new();
        for (name, record) in &mut self.servers {
            match record.stage {
                Stage::Ejected { until } if now >= until => {
                    record.stage = Stage::Trial {
                        running: false,
                        passed: 0,
                    };
                    changes.push(Change::Trial(name.clone()));
                }
                Stage::Returning { since } if now >= since + limits.ramp => {
                    record.stage = Stage::Healthy;
                    record.ejections = 0;
                    changes.push(Change::Healthy(name.clone()));
                }
                _ => {}
            }
        }
        changes
    }

    /// Takes the one trial of a server, if there is one to take.
    ///
    /// A call that is not idempotent never is a trial.
    pub fn start_trial(&mut self, server: &str, idempotent: bool) -> bool {
        let Some(record) = self.servers.get_mut(server) else {
            return false;
        };
        match &mut record.stage {
            Stage::Trial { running: out, .. } if idempotent && !*out => {
                *out = true;
                true
            }
            _ => false,
        }
    }

    /// Gives back a trial whose call told nothing of the server, such as one that its caller left.
    pub fn cancel_trial(&mut self, server: &str) {
        if let Some(record) = self.servers.get_mut(server) {
            if let Stage::Trial { running: out, .. } = &mut record.stage {
                *out = false;
            }
        }
    }

    /// The share of its full weight that a server may get; an unknown one gets it all.
    pub fn weight(&self, now: Time, server: &str) -> f32 {
        let Some(record) = self.servers.get(server) else {
            return 1.0;
        };
        match record.stage {
            Stage::Healthy => 1.0,
            Stage::Ejected { .. } | Stage::Trial { .. } => 0.0,
            Stage::Returning { since } => {
                let passed = now.saturating_sub(since).as_secs_f32();
                let part = (passed / self.limits.ramp.as_secs_f32()).min(1.0);
                self.limits.start_weight + (1.0 - self.limits.start_weight) * part
            }
        }
    }

    /// Where a server stands.
    pub fn stage(&self, server: &str) -> Option<Stage> {
        self.servers.get(server).map(|record| record.stage)
    }

    /// Reports whether a server fails far more than its peers.
    fn is_outlier(&self, server: &str) -> bool {
        let Some(record) = self.servers.get(server) else {
            return false;
        };
        let median = self.median_rate();
        if median > self.limits.common_rate {
            return false;
        }
        let by_rate = record.samples >= self.limits.min_samples
            && record.rate > median + self.limits.excess_rate;
        by_rate || record.failures >= self.limits.consecutive_failures
    }

    /// Reports whether one more server may be ejected.
    fn may_eject(&self) -> bool {
        let kept = (self.servers.len() as f64 * self.limits.min_kept).ceil() as usize;
        let out = self
            .servers
            .values()
            .filter(|s| matches!(s.stage, Stage::Ejected { .. } | Stage::Trial { .. }))
            .count();
        self.servers.len() - out > kept.max(1)
    }

    fn eject(&mut self, now: Time, server: &str) -> Change {
        let limits = self.limits;
        if let Some(record) = self.servers.get_mut(server) {
            let doubled = limits.base_ejection * 2u32.saturating_pow(record.ejections.min(16));
            record.ejections += 1;
            record.stage = Stage::Ejected {
                until: now + doubled.min(limits.max_ejection),
            };
        }
        Change::Ejected(server.into())
    }

    fn median_rate(&self) -> f64 {
        let mut rates: Vec<f64> = self.servers.values().map(|s| s.rate).collect();
        rates.sort_by(f64::total_cmp);
        // The lower middle: of two servers, one that fails is not the common state.
        rates
            .get(rates.len().saturating_sub(1) / 2)
            .copied()
            .unwrap_or_default()
    }
}
