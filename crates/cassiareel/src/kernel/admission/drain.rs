//! How fast a queue drains.

use std::time::Duration;

use crate::kernel::Time;

/// Time over which the rate is averaged.
const SPAN: Duration = Duration::from_secs(2);
/// Time that must be seen before the rate counts.
const LEAST: Duration = Duration::from_millis(500);

/// The rate at which cost left a queue while there was something to take.
#[derive(Clone, Debug, Default)]
pub(super) struct Drain {
    rate: Option<f64>,
    since: Option<Time>,
    taken: u64,
}

impl Drain {
    /// Notes that a busy period begins.
    pub(super) fn start(&mut self, now: Time) {
        self.since.get_or_insert(now);
    }

    /// Notes that the queue is empty.
    pub(super) fn stop(&mut self) {
        self.since = None;
        self.taken = 0;
    }

    /// Notes that cost left.
    pub(super) fn take(&mut self, now: Time, cost: u64) {
        self.taken += cost;
        self.update(now);
    }

    /// Tokens a second, once known.
    pub(super) fn rate(&mut self, now: Time) -> Option<f64> {
        self.update(now);
        self.rate.filter(|&rate| rate > 0.0)
    }

    fn update(&mut self, now: Time) {
        let Some(since) = self.since else {
            return;
        };
        let span = now.saturating_sub(since);
        if span < LEAST {
            return;
        }
        let seen = self.taken as f64 / span.as_secs_f64();
        let gain = (span.as_secs_f64() / SPAN.as_secs_f64()).min(1.0);
        self.rate = Some(self.rate.map_or(seen, |rate| rate + gain * (seen - rate)));
        self.since = Some(now);
        self.taken = 0;
    }
}
