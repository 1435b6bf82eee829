//! Outlier detection among the servers of one route.

use std::{collections::BTreeMap, time::Duration};

use super::{server::ServerRecord, Outcome, Stage};
use crate::kernel::{BackendId, Time};

/// Limits on ejection and return.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Consecutive failures that eject a server.
    pub consecutive_failures: u32,
    /// Calls before the failure rate is taken into account.
    pub min_samples: u32,
    /// How far above the group's median a failure rate must be to eject the server.
    pub excess_rate: f64,
    /// Median failure rate above which nothing is ejected.
    pub common_rate: f64,
    /// Fraction of the group that is never ejected.
    pub min_kept: f64,
    /// Duration of the first ejection; each further one lasts twice as long.
    pub base_ejection: Duration,
    /// The longest duration of an ejection.
    pub max_ejection: Duration,
    /// Successful trials that are required before a server returns.
    pub required_trials: u32,
    /// Time over which the weight of a returning server rises from [`Limits::start_weight`] to 1.
    pub ramp: Duration,
    /// The weight at the start of a return.
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
    /// The server is ejected.
    Ejected(BackendId),
    /// The server may be tried.
    Trial(BackendId),
    /// The server returns with a rising weight.
    Returning(BackendId),
    /// The server has its full weight again.
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
    servers: BTreeMap<BackendId, ServerRecord>,
}

impl Group {
    /// Creates a group without servers.
    pub fn new(limits: Limits) -> Group {
        Group {
            limits,
            servers: BTreeMap::new(),
        }
    }

    /// Sets the limits. Stages and records are kept.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Sets the servers. The records of servers that stay in the group are kept.
    pub fn set_servers(&mut self, servers: &[BackendId]) {
        self.servers.retain(|name, _| servers.contains(name));
        for name in servers {
            self.servers.entry(name.clone()).or_default();
        }
    }

    /// Records the outcome of a call and returns the resulting change, if any. An unknown server is
    /// ignored.
    pub fn record(&mut self, now: Time, server: &str, outcome: Outcome) -> Option<Change> {
        let limits = self.limits;
        let record = self.servers.get_mut(server)?;
        record.record_outcome(outcome);
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
                let is_ejectable = outcome != Outcome::Success && self.is_outlier(server);
                (is_ejectable && self.can_eject()).then(|| self.eject(now, server))
            }
        }
    }

    /// Advances servers whose ejection or return period has ended to their next stage.
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

    /// Starts a trial of a server if it may be tried and no trial is running, and reports whether
    /// it did.
    ///
    /// A call that is not idempotent is never used as a trial.
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

    /// Cancels a trial whose call gave no information about the server, for example because its
    /// caller disconnected.
    pub fn cancel_trial(&mut self, server: &str) {
        if let Some(record) = self.servers.get_mut(server) {
            if let Stage::Trial { running: out, .. } = &mut record.stage {
                *out = false;
            }
        }
    }

    /// Returns the fraction of its full weight that a server gets; 1 for an unknown server.
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

    /// Returns the stage of a server, or `None` if it is not in the group.
    pub fn stage(&self, server: &str) -> Option<Stage> {
        self.servers.get(server).map(|record| record.stage)
    }

    /// Reports whether a server fails far more often than its peers.
    fn is_outlier(&self, server: &str) -> bool {
        let Some(record) = self.servers.get(server) else {
            return false;
        };
        let median = self.median_failure_rate();
        if median > self.limits.common_rate {
            return false;
        }
        let by_rate = record.samples >= self.limits.min_samples
            && record.failure_rate > median + self.limits.excess_rate;
        by_rate || record.consecutive_failures >= self.limits.consecutive_failures
    }

    /// Reports whether one more server may be ejected.
    fn can_eject(&self) -> bool {
        let min_kept = (self.servers.len() as f64 * self.limits.min_kept).ceil() as usize;
        let ejected = self
            .servers
            .values()
            .filter(|s| matches!(s.stage, Stage::Ejected { .. } | Stage::Trial { .. }))
            .count();
        self.servers.len() - ejected > min_kept.max(1)
    }

    fn eject(&mut self, now: Time, server: &str) -> Change {
        let limits = self.limits;
        if let Some(record) = self.servers.get_mut(server) {
            let ejection = limits.base_ejection * 2u32.saturating_pow(record.ejections.min(16));
            record.ejections += 1;
            record.stage = Stage::Ejected {
                until: now + ejection.min(limits.max_ejection),
            };
        }
        Change::Ejected(server.into())
    }

    fn median_failure_rate(&self) -> f64 {
        let mut rates: Vec<f64> = self.servers.values().map(|s| s.failure_rate).collect();
        rates.sort_by(f64::total_cmp);
        // The lower median: if one of two servers fails, failure is not the common state.
        rates
            .get(rates.len().saturating_sub(1) / 2)
            .copied()
            .unwrap_or_default()
    }
}
