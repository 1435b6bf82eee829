//! The rate at which a queue drains.

use std::time::Duration;

use crate::kernel::Time;

/// Time over which the rate is averaged exponentially.
const AVERAGING_TIME: Duration = Duration::from_secs(2);
/// The shortest window from which a rate is measured.
const MIN_WINDOW: Duration = Duration::from_millis(500);

/// The rate at which cost leaves a queue, measured only while the queue is not empty.
#[derive(Clone, Debug, Default)]
pub(super) struct DrainRate {
    rate: Option<f64>,
    window_start: Option<Time>,
    drained: u64,
}

impl DrainRate {
    /// Starts a busy period unless one is in progress.
    pub(super) fn start(&mut self, now: Time) {
        self.window_start.get_or_insert(now);
    }

    /// Ends the busy period, since the queue is empty.
    pub(super) fn stop(&mut self) {
        self.window_start = None;
        self.drained = 0;
    }

    /// Records cost that left the queue.
    pub(super) fn record(&mut self, now: Time, cost: u64) {
        self.drained += cost;
        self.update(now);
    }

    /// Returns the rate in tokens per second, or `None` until it is known.
    pub(super) fn rate(&mut self, now: Time) -> Option<f64> {
        self.update(now);
        self.rate.filter(|&rate| rate > 0.0)
    }

    fn update(&mut self, now: Time) {
        let Some(window_start) = self.window_start else {
            return;
        };
        let span = now.saturating_sub(window_start);
        if span < MIN_WINDOW {
            return;
        }
        let measured = self.drained as f64 / span.as_secs_f64();
        let gain = (span.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).min(1.0);
        self.rate = Some(
            self.rate
                .map_or(measured, |rate| rate + gain * (measured - rate)),
        );
        self.window_start = Some(now);
        self.drained = 0;
    }
}
