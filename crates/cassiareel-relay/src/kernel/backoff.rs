/*!
When a kind of call is made again that the store did not answer.

One kind of call finds out when the store is back, and the others wait for its word: the calls of a
whole fleet at a store that is away would otherwise keep it away. The word may come while another call
is still under way, and that call may then fail though the store is back. So a call that fails after
the word waits only a short pause, and no word is lost to a call that does not listen for it at the
moment.
*/

use std::time::Duration;

use crate::clock::Moment;

/// Pause after the first call that failed.
const FIRST: Duration = Duration::from_millis(120);

/// The longest pause between calls that fail.
const LONGEST: Duration = Duration::from_millis(480);

/// How long calls that failed wait at most for word that the store is back.
const WITHOUT_WORD: Duration = Duration::from_millis(2000);

/// What is known of the store when a call fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreStatus {
    /// This kind of call finds out whether it answers.
    Probing,
    /// The kind of call that finds out is not answered either.
    Unreachable,
    /// The kind of call that finds out is answered.
    Reachable,
}

/// The pauses of one kind of call.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
    last_failure: Option<Moment>,
    next_call: Moment,
}

impl Backoff {
    /// Notes an answer.
    pub fn record_answer(&mut self) {
        *self = Backoff::default();
    }

    /// Notes a failure at `now`. Pauses are `times` as long, for a node of a large fleet.
    pub fn record_failure(&mut self, now: Moment, store: StoreStatus, times: f64) {
        let doubled = FIRST * 2u32.pow(self.failures.min(4));
        let pause = doubled.min(LONGEST).mul_f64(times);
        self.failures += 1;
        self.last_failure = Some(now);
        self.next_call = now
            + match store {
                StoreStatus::Probing | StoreStatus::Reachable => pause,
                StoreStatus::Unreachable => pause.max(WITHOUT_WORD),
            };
    }

    /// Reports whether a call may be made, where word that the store is back came last at `word`.
    pub fn may_call(&self, now: Moment, word: Moment) -> bool {
        let told = self.last_failure.is_some_and(|failed| word > failed);
        self.last_failure.is_none() || told || now >= self.next_call
    }

    /// The time until the next call.
    pub fn remaining(&self, now: Moment) -> Duration {
        self.next_call.saturating_sub(now)
    }
}
