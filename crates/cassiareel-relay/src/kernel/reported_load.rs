//! The load that one backend server has reported.

use std::time::Duration;

use super::WorkPace;
use crate::clock::Moment;

/// The weight of the newest report in the usual number of others' requests.
const NEWEST_WEIGHT: f64 = 0.2;

/// The age of the last report at which the usual number counts half. Without this, a node would
/// never again send to a backend server that was once far more loaded than the others.
const USUAL_HALF_LIFE: Duration = Duration::from_secs(10);

/// What a node knows of the load at one backend server by the reports that came with its answers.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cassiareel_relay::kernel::ReportedLoad;
///
/// let mut load = ReportedLoad::default();
/// load.record(7, 2, None, Duration::from_secs(1));
/// assert_eq!(load.others(), 5);
/// assert_eq!(load.age(Duration::from_secs(3)), Duration::from_secs(2));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportedLoad {
    others: u32,
    usual: Option<f64>,
    at: Moment,
    pace: WorkPace,
}

impl ReportedLoad {
    /// Records a report of `requests` that run or wait, of which `own` are the node's, and of the
    /// work time in hundredths of the usual one, if any.
    pub fn record(&mut self, requests: u32, own: u32, percent: Option<u32>, now: Moment) {
        self.others = requests.saturating_sub(own);
        let others = f64::from(self.others);
        let usual = self.usual.unwrap_or(others);
        self.usual = Some(usual + (others - usual) * NEWEST_WEIGHT);
        self.at = now;
        self.pace.record(percent, now);
    }

    /// Returns the number of other nodes' requests in the last report.
    pub fn others(&self) -> u32 {
        self.others
    }

    /// Returns the number of other nodes' requests that is usual by the reports so far.
    pub fn usual_others(&self, now: Moment) -> f64 {
        let half_lives = self.age(now).as_secs_f64() / USUAL_HALF_LIFE.as_secs_f64();
        self.usual.unwrap_or(0.0) * (-half_lives).exp2()
    }

    /// Returns the age of the last report.
    pub fn age(&self, now: Moment) -> Duration {
        now.saturating_sub(self.at)
    }

    /// Returns how long work takes at this moment, as a factor of the mean; `None` if the backend
    /// server has never reported it.
    pub fn work_factor(&self, now: Moment) -> Option<f64> {
        self.pace.factor(now)
    }
}
