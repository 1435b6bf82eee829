//! The largest of the values of a recent time.

use std::{collections::VecDeque, time::Duration};

use crate::clock::Moment;

/// The largest of the values of a recent time.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentPeak {
    /// Values that no later one exceeds, the largest first.
    values: VecDeque<(Moment, f64)>,
}

impl RecentPeak {
    /// Records a value and forgets those older than `span`; returns the largest.
    pub(super) fn record(&mut self, value: f64, now: Moment, span: Duration) -> f64 {
        while self.values.back().is_some_and(|(_, last)| *last < value) {
            self.values.pop_back();
        }
        self.values.push_back((now, value));
        let is_old = |at: Moment| now.saturating_sub(at) > span;
        while self.values.front().is_some_and(|(at, _)| is_old(*at)) {
            self.values.pop_front();
        }
        self.values.front().map_or(value, |(_, largest)| *largest)
    }

    /// Returns how long ago the largest value was recorded.
    pub(super) fn age(&self, now: Moment) -> Duration {
        let largest = self.values.front();
        largest.map_or(Duration::ZERO, |(at, _)| now.saturating_sub(*at))
    }
}
