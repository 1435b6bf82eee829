/*!
How many requests one node sends to a contended plain service.

A node of a large fleet sends a few requests a second to a backend server, so that what it knows of
the queue there is hundreds of milliseconds old. It learns from each of its own answers instead: an
answer says how many requests wait at that moment. The node bounds its sends within a short window.
An answer with a longer queue than the target lowers the bound by a factor, one with a shorter queue
raises it, and time raises it by a part of the demand, so that all nodes approach the same part of
their demands (additive increase, multiplicative decrease; Chiu and Jain 1989). There is no bound
before the first answer with a long queue, and none some time after the last one.
*/

use std::{f64::consts::LN_2, time::Duration};

use crate::clock::Moment;

/// The half-life of counted requests and sends.
const HALF_LIFE: Duration = Duration::from_millis(1000);

/// The relative change of the bound by all answers of one window that deviate from the target by
/// the whole target.
const GAIN: f64 = 1.0;

/// The largest relative change of the bound by one answer. Nodes of a large fleet get less than one
/// answer in a window.
const MAX_STEP: f64 = 0.5;

/// The part of the demand by which the bound rises in a second.
const RISE_PER_S: f64 = 0.05;

/// The smallest bound, in requests of a window, so that a node always sends now and then.
const MIN_BOUND: f64 = 0.3;

/// The bound is dropped this long after the last answer with a queue above the target. At 300 nodes,
/// a shorter time drops it amid a burst, and a longer one refuses requests after it.
const RELEASE_TIME: Duration = Duration::from_secs(4);

/// The target of the wait at a backend server, as a part of the longest wait of a request.
const TARGET_PART: f64 = 0.35;

/// The bound on one node's sends to a service.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cassiareel_relay::kernel::SendRate;
///
/// let mut rate = SendRate::default();
/// let now = Duration::from_secs(1);
/// assert!((0..10).all(|_| rate.admit(now, 0.5)));
/// rate.record_wait(Duration::from_millis(200), Duration::from_millis(70), now);
/// assert!(!rate.admit(now, 0.5));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SendRate {
    /// Requests that arrived in the window.
    demand: f64,
    /// Requests that were sent in the window.
    sent: f64,
    /// The bound on `sent`; `None` if the service is not contended.
    bound: Option<f64>,
    updated: Moment,
    /// When an answer last showed a queue above the target.
    contended_at: Moment,
}

impl SendRate {
    /// Counts a request that arrived and decides whether it may be sent; `random` is a number from
    /// 0 to 1.
    pub fn admit(&mut self, now: Moment, random: f64) -> bool {
        self.advance(now);
        self.demand += 1.0;
        let may_send = self.bound.is_none_or(|bound| self.sent + random <= bound);
        if may_send {
            self.sent += 1.0;
        }
        may_send
    }

    /// Records the wait at a backend server that an answer shows, for a request that may wait up to
    /// `max_wait`.
    pub fn record_wait(&mut self, wait: Duration, max_wait: Duration, now: Moment) {
        let target = max_wait.as_secs_f64() * TARGET_PART;
        let excess = wait.as_secs_f64() / target.max(f64::EPSILON) - 1.0;
        self.change_bound(excess.clamp(-1.0, 1.0), wait > max_wait, now);
    }

    /// Records that a backend server rejected a request because it was full.
    pub fn record_full(&mut self, now: Moment) {
        self.change_bound(1.0, true, now);
    }

    /// Reports whether sends are bounded.
    pub fn is_bounded(&self) -> bool {
        self.bound.is_some()
    }

    /// Returns the mean time between sends that the bound allows; zero without a bound.
    pub fn send_interval(&self) -> Duration {
        let window = HALF_LIFE.as_secs_f64() / LN_2;
        self.bound.map_or(Duration::ZERO, |bound| {
            Duration::from_secs_f64(window / bound)
        })
    }

    /// Changes the bound by an answer whose queue exceeds the target by the part `excess` of it.
    /// `late` tells that the queue makes requests late, which begins a bound.
    fn change_bound(&mut self, excess: f64, late: bool, now: Moment) {
        self.advance(now);
        if late && self.bound.is_none() {
            // Most of the window lies before the queue grew.
            self.bound = Some(self.sent);
        }
        let Some(bound) = &mut self.bound else {
            return;
        };
        if excess > 0.0 {
            self.contended_at = now;
        }
        let step = (GAIN / self.sent.max(1.0)).min(MAX_STEP) * excess;
        *bound = (*bound * (1.0 - step)).max(MIN_BOUND);
    }

    fn advance(&mut self, now: Moment) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        let factor = 0.5f64.powf(elapsed / HALF_LIFE.as_secs_f64());
        self.demand *= factor;
        self.sent *= factor;
        if let Some(bound) = &mut self.bound {
            *bound += self.demand * RISE_PER_S * elapsed;
        }
        if now.saturating_sub(self.contended_at) > RELEASE_TIME {
            self.bound = None;
        }
    }
}
