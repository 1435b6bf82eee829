/*!
When a kind of call to the store is retried after a failure.

One kind of call probes whether the store is available again, and the other kinds wait for its
notification: otherwise the calls of a whole fleet to an unavailable store would keep it
unavailable. The notification may arrive while another call is in progress, and that call may still
fail although the store is available. A call that fails after the notification therefore waits only
for a short pause. The time of the last notification is kept, so that a call that is not listening
at that moment does not miss it.
*/

use std::time::Duration;

use crate::clock::Moment;

/// The pause after the first failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(120);

/// The longest pause between failed calls.
const MAX_PAUSE: Duration = Duration::from_millis(480);

/// The longest time for which a failed call waits for a notification that the store is available.
const MAX_NOTIFICATION_WAIT: Duration = Duration::from_millis(2000);

/// The state of the store when a call fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreStatus {
    /// The failed call is of the kind that probes whether the store is available.
    Probing,
    /// The probing kind of call fails as well.
    Unreachable,
    /// The probing kind of call succeeds.
    Reachable,
}

/// The retry delays of one kind of call.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
    last_failure: Option<Moment>,
    next_call: Moment,
}

impl Backoff {
    /// Records an answered call, which resets the backoff.
    pub fn record_answer(&mut self) {
        *self = Backoff::default();
    }

    /// Records a failed call at `now`. The pause is multiplied by `factor`, which is larger for the
    /// nodes of a large fleet.
    pub fn record_failure(&mut self, now: Moment, store: StoreStatus, factor: f64) {
        let doubled = FIRST_PAUSE * 2u32.pow(self.failures.min(4));
        let pause = doubled.min(MAX_PAUSE).mul_f64(factor);
        self.failures += 1;
        self.last_failure = Some(now);
        self.next_call = now
            + match store {
                StoreStatus::Probing | StoreStatus::Reachable => pause,
                StoreStatus::Unreachable => pause.max(MAX_NOTIFICATION_WAIT),
            };
    }

    /// Reports whether a call may be made. `notified` is the time of the last notification that the
    /// store is available again.
    pub fn may_call(&self, now: Moment, notified: Moment) -> bool {
        let recovered = self.last_failure.is_some_and(|failed| notified > failed);
        self.last_failure.is_none() || recovered || now >= self.next_call
    }

    /// Returns the time until the next call.
    pub fn remaining(&self, now: Moment) -> Duration {
        self.next_call.saturating_sub(now)
    }
}
