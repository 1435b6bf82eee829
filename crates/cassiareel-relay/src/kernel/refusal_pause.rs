/*!
How long a node makes no calls after the store has refused one because of its rate limit.

Each refused call is priced, and all nodes share the limit. A refusal therefore applies to all of a
node's calls, whichever task makes them, and the pause grows with the size of the fleet.
*/

use std::time::Duration;

use crate::clock::Moment;

/// The pause after the first refusal.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// The longest pause, before it is multiplied by the factor.
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// The largest factor by which the pause grows with the fleet.
const MAX_FACTOR: f64 = 5.0;

/// The pause of all calls of a node.
#[derive(Clone, Copy, Debug, Default)]
pub struct RefusalPause {
    until: Moment,
    refusals: u32,
}

impl RefusalPause {
    /// Records a refusal; reports whether it begins a pause. Calls that were under way when a pause
    /// began do not make it longer. `factor` is larger for the nodes of a large fleet, and random.
    pub fn record_refusal(&mut self, now: Moment, factor: f64) -> bool {
        if now < self.until {
            return false;
        }
        let pause = (FIRST_PAUSE * 2u32.pow(self.refusals.min(4))).min(MAX_PAUSE);
        self.refusals = self.refusals.saturating_add(1);
        self.until = now + pause.mul_f64(factor.clamp(0.0, MAX_FACTOR));
        true
    }

    /// Records an answered call. One that was under way when a pause began does not end it.
    pub fn record_answer(&mut self, now: Moment) {
        if now >= self.until {
            self.refusals = 0;
        }
    }

    /// Returns the time until a call may be made.
    pub fn remaining(&self, now: Moment) -> Duration {
        self.until.saturating_sub(now)
    }
}
