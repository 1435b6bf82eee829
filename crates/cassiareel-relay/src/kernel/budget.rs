/*!
How many repeats a node may send.

All nodes together may send a service only so many repeats for each request that callers sent. A node
spends a share of what its own callers sent, so that the sum over all nodes keeps the bound without
any talk between them. It answers the load of half a service failing: each request would otherwise
come twice to the half that is left.

On a large fleet a node's share comes to a repeat or two. A stream whose caller has part of it already
may take more, so that it is not cut off when it is lost twice. The fleet keeps its bound all the same:
while few backend servers are replaced few streams are lost, and when many are at once, each of their
streams is lost once before the registry tells, which is less than callers sent in a window.
*/

use std::{collections::VecDeque, time::Duration};

use crate::clock::Moment;

/// Parts into which the window is cut.
const SLICES: usize = 10;

/// The share of what is allowed that is spent, since the windows of nodes lie a little apart.
const SPENT: f64 = 0.85;

/// Repeats beyond a node's share that streams that have begun may take together in a window.
const BEGUN: f64 = 1.0;

/// The part of a service's backend servers that is replaced in a window from which on streams that
/// have begun get no more than the node's share.
const TURNOVER: f64 = 0.3;

/// What a repeat is for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetryCause {
    /// A request of which the caller has nothing.
    NotStarted,
    /// A stream of which the caller has part.
    Started {
        /// The part of the service's backend servers that was replaced lately.
        turnover: f64,
    },
}

/// Repeats to one service, within a sliding window.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    slice_length: Duration,
    slices: VecDeque<Slice>,
}

/// What was sent within one part of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    index: u128,
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    /// Allows `ratio` repeats for each request in each `window`.
    pub fn new(ratio: f64, window: Duration) -> RetryBudget {
        RetryBudget {
            ratio,
            slice_length: (window / SLICES as u32).max(Duration::from_millis(1)),
            slices: VecDeque::new(),
        }
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Moment) {
        self.slice_at(now).requests += 1;
    }

    /// Takes one repeat out of the budget; `false` where it is spent. `free` repeats are allowed in
    /// a window whatever callers sent.
    pub fn try_retry(&mut self, now: Moment, free: f64, cause: RetryCause) -> bool {
        let number = self.slice_at(now).index;
        let (recent, before): (Vec<&Slice>, Vec<&Slice>) = self
            .slices
            .iter()
            .partition(|slice| slice.index + SLICES as u128 > number);
        let repeats: u32 = recent.iter().map(|slice| slice.retries).sum();
        let requests = |slices: &[&Slice]| slices.iter().map(|slice| slice.requests).sum::<u32>();
        // Repeats follow the requests that they belong to: the window before counts as well.
        let requests = requests(&recent).max(requests(&before));
        let share = (f64::from(requests) * self.ratio + free) * SPENT;
        let allowed = match cause {
            RetryCause::Started { turnover } if turnover < TURNOVER => share.ceil() + BEGUN,
            RetryCause::Started { .. } | RetryCause::NotStarted => share,
        };
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        self.slice_at(now).retries += 1;
        true
    }

    /// Gives back a repeat that reached no backend server.
    pub fn refund(&mut self, now: Moment) {
        let slice = self.slice_at(now);
        slice.retries = slice.retries.saturating_sub(1);
    }

    /// The current slice, after those that left the window before the last one are dropped.
    fn slice_at(&mut self, now: Moment) -> &mut Slice {
        let number = now.as_millis() / self.slice_length.as_millis().max(1);
        self.slices
            .retain(|slice| slice.index + 2 * SLICES as u128 > number);
        if self.slices.back().is_none_or(|last| last.index < number) {
            self.slices.push_back(Slice {
                index: number,
                ..Slice::default()
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
