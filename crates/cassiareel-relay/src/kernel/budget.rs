/*!
How many retries a node may send.

All nodes together may send a service only a limited number of retries for each request of callers.
Each node spends a share of what its own callers sent, so that the sum over all nodes keeps the
limit without any coordination. The limit protects a service of which half the backend servers fail:
without it, each failed request would be sent a second time to the half that is left.

On a large fleet a node's share is only a retry or two. A stream of which the caller already has
part may exceed the share, so that it is not cut off when it is lost twice. The fleet still keeps
its limit: while few backend servers are replaced, few streams are lost; and when many are replaced
at once, each of their streams is lost once before the registry shows it, which is fewer retries
than the requests that callers send in a window.
*/

use std::{collections::VecDeque, time::Duration};

use crate::clock::Moment;

/// The number of slices into which the window is divided.
const SLICES: usize = 10;

/// The part of the allowed retries that is used, since the windows of different nodes are not
/// aligned.
const USED_PART: f64 = 0.85;

/// Retries beyond a node's share that all started streams together may take in a window.
const EXTRA_FOR_STARTED: f64 = 1.0;

/// The part of a service's backend servers that was replaced within a window from which on started
/// streams get no more than the node's share.
const MAX_TURNOVER: f64 = 0.3;

/// The kind of request that is retried.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetryCause {
    /// A request of whose answer the caller has nothing yet.
    NotStarted,
    /// A stream of which the caller has part.
    Started {
        /// The part of the service's backend servers that was replaced recently.
        turnover: f64,
    },
}

/// The retries to one service within a sliding window.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    slice_length: Duration,
    slices: VecDeque<Slice>,
}

/// The requests and retries sent within one slice of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    index: u128,
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    /// Returns a budget of `ratio` retries for each request within a window.
    pub fn new(ratio: f64, window: Duration) -> RetryBudget {
        RetryBudget {
            ratio,
            slice_length: (window / SLICES as u32).max(Duration::from_millis(1)),
            slices: VecDeque::new(),
        }
    }

    /// Records a caller's request.
    pub fn record_request(&mut self, now: Moment) {
        self.slice_at(now).requests += 1;
    }

    /// Takes one retry from the budget; returns `false` if the budget is spent. `free` retries are
    /// allowed in a window regardless of the number of requests.
    pub fn try_retry(&mut self, now: Moment, free: f64, cause: RetryCause) -> bool {
        let current = self.slice_at(now).index;
        let (recent, before): (Vec<&Slice>, Vec<&Slice>) = self
            .slices
            .iter()
            .partition(|slice| slice.index + SLICES as u128 > current);
        let retries: u32 = recent.iter().map(|slice| slice.retries).sum();
        let requests = |slices: &[&Slice]| slices.iter().map(|slice| slice.requests).sum::<u32>();
        // A retry may come a window after its request, so the previous window counts as well.
        let requests = requests(&recent).max(requests(&before));
        let share = (f64::from(requests) * self.ratio + free) * USED_PART;
        let allowed = match cause {
            RetryCause::Started { turnover } if turnover < MAX_TURNOVER => {
                share.ceil() + EXTRA_FOR_STARTED
            }
            RetryCause::Started { .. } | RetryCause::NotStarted => share,
        };
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.slice_at(now).retries += 1;
        true
    }

    /// Returns a retry that reached no backend server to the budget.
    pub fn refund(&mut self, now: Moment) {
        let slice = self.slice_at(now);
        slice.retries = slice.retries.saturating_sub(1);
    }

    /// Returns the current slice, after dropping the slices older than two windows.
    fn slice_at(&mut self, now: Moment) -> &mut Slice {
        let index = now.as_millis() / self.slice_length.as_millis().max(1);
        self.slices
            .retain(|slice| slice.index + 2 * SLICES as u128 > index);
        if self.slices.back().is_none_or(|last| last.index < index) {
            self.slices.push_back(Slice {
                index,
                ..Slice::default()
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
