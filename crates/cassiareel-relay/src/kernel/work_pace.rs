//! How long work takes at a backend server at this moment, by its reports.

use std::time::Duration;

use crate::clock::Moment;

/// The age at which half of a report's deviation from the usual is believed. Machines change their
/// speed each 50 to 200 ms; with 100 ms, nodes of a small fleet follow reports that no longer hold.
const HALF_LIFE: Duration = Duration::from_millis(50);

/// The age from which on a report says nothing.
const MAX_AGE: Duration = Duration::from_millis(300);

/// The range of believed factors. A wrong report of a very short time would draw all requests to one
/// backend server, and one of a very long time would keep them all away.
const FACTOR_RANGE: (f64, f64) = (0.25, 8.0);

/// How long work takes at one backend server at this moment, as a factor of its own mean.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cassiareel_relay::kernel::WorkPace;
///
/// let mut pace = WorkPace::default();
/// assert_eq!(pace.factor(Duration::ZERO), None);
/// pace.record(Some(200), Duration::ZERO);
/// assert_eq!(pace.factor(Duration::ZERO), Some(2.0));
/// assert_eq!(pace.factor(Duration::from_secs(1)), Some(1.0));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkPace {
    factor: Option<f64>,
    at: Moment,
}

impl WorkPace {
    /// Records what a load report says: the work time in hundredths of the usual one, if any.
    pub fn record(&mut self, percent: Option<u32>, now: Moment) {
        if let Some(percent) = percent {
            let (least, most) = FACTOR_RANGE;
            self.factor = Some((f64::from(percent) / 100.0).clamp(least, most));
            self.at = now;
        }
    }

    /// Returns the believed factor, which approaches 1 as the report ages; `None` if the backend
    /// server has never reported a work time.
    pub fn factor(&self, now: Moment) -> Option<f64> {
        let factor = self.factor?;
        let age = now.saturating_sub(self.at);
        if age > MAX_AGE {
            return Some(1.0);
        }
        let belief = 0.5f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        Some(1.0 + (factor - 1.0) * belief)
    }
}
