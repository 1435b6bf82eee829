//! An engine's recent time between tokens.

use std::time::Duration;

use crate::kernel::Time;

/// The share of a new gap in the average, as a divisor.
const WEIGHT: u32 = 8;

/// Recent times between tokens that an engine may stay away before it counts as silent.
const PATIENCE: u32 = 4;

/// An average of the gaps between the tokens of one attempt.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cassiareel::kernel::generation::TokenInterval;
///
/// let floor = Duration::from_millis(1200);
/// let ceiling = Duration::from_secs(10);
/// let mut interval = TokenInterval::default();
/// for i in 0..100 {
///     interval.record_arrival(Duration::from_millis(600 * i));
/// }
/// assert_eq!(interval.silence_timeout(floor, ceiling), Duration::from_millis(2400));
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct TokenInterval {
    last: Option<Time>,
    gap: Duration,
}

impl TokenInterval {
    /// Notes an arrival of tokens.
    pub fn record_arrival(&mut self, now: Time) {
        if let Some(last) = self.last.replace(now) {
            let gap = now.saturating_sub(last);
            self.gap = if self.gap.is_zero() {
                gap
            } else {
                (self.gap * (WEIGHT - 1) + gap) / WEIGHT
            };
        }
    }

    /// Forgets the last arrival, as after a pause that is not the engine's.
    pub fn interrupt(&mut self) {
        self.last = None;
    }

    /// Time without a token after which the engine counts as silent.
    pub fn silence_timeout(&self, floor: Duration, ceiling: Duration) -> Duration {
        (self.gap * PATIENCE).clamp(floor, ceiling)
    }
}
