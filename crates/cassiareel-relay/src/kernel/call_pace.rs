//! The pace of calls under a rate limit.

use std::time::Duration;

use crate::clock::Moment;

/// The used part of the rate limit. The rest covers differences between the times at which calls are
/// sent and those at which they arrive.
const USED_PART: f64 = 0.8;

/// The pause after a call that the rate limit refused: the limit counts calls a second.
const LIMITED_PAUSE: Duration = Duration::from_secs(1);

/// The pause after a call that failed.
const FAILED_PAUSE: Duration = Duration::from_millis(500);

/// The times of calls under a rate limit.
#[derive(Clone, Debug)]
pub struct CallPace {
    interval: Duration,
    next: Moment,
    last: Option<Moment>,
}

impl CallPace {
    /// Creates the pace for a number of calls a second.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use cassiareel_relay::kernel::CallPace;
    ///
    /// let mut pace = CallPace::new(5.0);
    /// assert!(pace.wait(Duration::ZERO).is_zero());
    /// pace.record_start(Duration::ZERO);
    /// assert_eq!(pace.wait(Duration::ZERO), Duration::from_millis(250));
    /// ```
    pub fn new(calls_per_s: f64) -> CallPace {
        CallPace {
            interval: Duration::from_secs_f64(1.0 / (USED_PART * calls_per_s)),
            next: Moment::ZERO,
            last: None,
        }
    }

    /// Returns the time until the next call may be sent.
    pub fn wait(&self, now: Moment) -> Duration {
        self.next.saturating_sub(now)
    }

    /// Records that a call is sent.
    pub fn record_start(&mut self, now: Moment) {
        self.next = now + self.interval;
        self.last = Some(now);
    }

    /// Records that the rate limit refused a call.
    pub fn record_limited(&mut self, now: Moment) {
        self.next = self.next.max(now + LIMITED_PAUSE);
    }

    /// Records that a call failed otherwise.
    pub fn record_failed(&mut self, now: Moment) {
        self.next = self.next.max(now + FAILED_PAUSE);
    }

    /// Returns the time until calls of another node no longer count together with the last one.
    pub fn hand_over_wait(&self, now: Moment) -> Duration {
        let end = self.last.map(|last| last + LIMITED_PAUSE);
        end.unwrap_or_default().saturating_sub(now)
    }
}
