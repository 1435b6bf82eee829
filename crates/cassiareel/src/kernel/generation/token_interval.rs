//! The recent time between the tokens of an engine.

use std::time::Duration;

use crate::kernel::Time;

/// The weight of a new interval in the average is 1 divided by this.
const AVERAGE_DIVISOR: u32 = 8;

/// Number of average intervals without a token after which an engine counts as silent.
const SILENT_INTERVALS: u32 = 4;

/// A moving average of the intervals between the tokens of one attempt.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cassiareel::kernel::generation::TokenInterval;
///
/// let min = Duration::from_millis(1200);
/// let max = Duration::from_secs(10);
/// let mut interval = TokenInterval::default();
/// for i in 0..100 {
///     interval.record_arrival(Duration::from_millis(600 * i));
/// }
/// assert_eq!(interval.silence_timeout(min, max), Duration::from_millis(2400));
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct TokenInterval {
    last_arrival: Option<Time>,
    average: Duration,
}

impl TokenInterval {
    /// Records an arrival of tokens.
    pub fn record_arrival(&mut self, now: Time) {
        if let Some(last) = self.last_arrival.replace(now) {
            let interval = now.saturating_sub(last);
            self.average = if self.average.is_zero() {
                interval
            } else {
                (self.average * (AVERAGE_DIVISOR - 1) + interval) / AVERAGE_DIVISOR
            };
        }
    }

    /// Discards the last arrival, so that a pause not caused by the engine is not counted.
    pub fn reset_last_arrival(&mut self) {
        self.last_arrival = None;
    }

    /// Returns the time without a token after which the engine counts as silent, between `min` and
    /// `max`.
    pub fn silence_timeout(&self, min: Duration, max: Duration) -> Duration {
        (self.average * SILENT_INTERVALS).clamp(min, max)
    }
}
