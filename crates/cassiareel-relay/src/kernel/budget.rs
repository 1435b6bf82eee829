/*!
How many repeats a node may send.

All nodes together may send a service only so many repeats for each request that callers sent. A node
spends a share of what its own callers sent, so that the sum over all nodes keeps the bound without
any talk between them. It answers the load of half a service failing: each request would otherwise
come twice to the half that is left.
*/

use std::{collections::VecDeque, time::Duration};

use crate::clock::Moment;

/// Parts into which the window is cut.
const SLICES: u32 = 10;

/// The share of the allowed ratio that is spent, since windows of the callers' requests and of the
/// repeats may lie a little apart.
const SPENT: f64 = 0.9;

/// Repeats that a node may send in a window whatever it was sent.
const FREE: f64 = 12.0;

/// Repeats to one service, within a sliding window.
#[derive(Debug)]
pub struct Budget {
    ratio: f64,
    slice: Duration,
    counts: VecDeque<(u128, Counts)>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    requests: u32,
    repeats: u32,
}

impl Budget {
    /// Allows `ratio` repeats for each request in each `window`.
    pub fn new(ratio: f64, window: Duration) -> Budget {
        Budget {
            ratio: ratio * SPENT,
            slice: (window / SLICES).max(Duration::from_millis(1)),
            counts: VecDeque::new(),
        }
    }

    /// Counts a request of a caller.
    pub fn request(&mut self, now: Moment) {
        self.slice_at(now).requests += 1;
    }

    /// Takes one repeat out of the budget; `false` where it is spent.
    pub fn repeat(&mut self, now: Moment) -> bool {
        self.slice_at(now);
        let total = self
            .counts
            .iter()
            .fold(Counts::default(), |sum, (_, c)| Counts {
                requests: sum.requests + c.requests,
                repeats: sum.repeats + c.repeats,
            });
        let allowed = f64::from(total.requests) * self.ratio + FREE;
        if f64::from(total.repeats) + 1.0 > allowed {
            return false;
        }
        self.slice_at(now).repeats += 1;
        true
    }

    /// Gives back a repeat that reached no backend server.
    pub fn refund(&mut self, now: Moment) {
        let counts = self.slice_at(now);
        counts.repeats = counts.repeats.saturating_sub(1);
    }

    /// The counts of the current slice, after those that left the window are dropped.
    fn slice_at(&mut self, now: Moment) -> &mut Counts {
        let number = now.as_millis() / self.slice.as_millis().max(1);
        while let Some((oldest, _)) = self.counts.front() {
            if oldest + u128::from(SLICES) > number {
                break;
            }
            self.counts.pop_front();
        }
        if self.counts.back().is_none_or(|(last, _)| *last < number) {
            self.counts.push_back((number, Counts::default()));
        }
        let last = self.counts.len() - 1;
        &mut self.counts[last].1
    }
}
