//! Rejects requests when a service can't serve them all, starting with the accounts that request
//! the most.

use std::{collections::HashMap, hash::Hash, time::Duration};

use crate::kernel::Time;

/// The half-life of recorded demand and service.
const HALF_LIFE: Duration = Duration::from_millis(1500);

/// Units admitted for each unit served, right after a unit was not served. It is above 1 so that
/// capacity that has become free is found.
const PROBE_FACTOR: f64 = 1.3;

/// The time without an unserved request after which twice as much is admitted.
const RAMP_DOUBLING_TIME: Duration = Duration::from_millis(400);

/// Units that each account may request however little was served, so that accounts with little
/// demand are not rejected.
const MIN_ALLOWANCE_UNITS: f64 = 2.0;

/// Recent unserved units up to which no request is rejected, since a single failure does not
/// predict the outcome of the next request.
const TOLERATED_UNSERVED_UNITS: f64 = 1.5;

/// The fraction of all demand above which an account must leave capacity to the others, and the
/// fraction at which the reserved part reaches its full size.
const DOMINANT_SHARE: std::ops::Range<f64> = 0.35..0.6;

/// What a dominant account leaves free for the others, as a multiple of their demand. It is above 1
/// because requests take longer on busy backend servers.
const RESERVE_FACTOR: f64 = 4.0;

/// The largest fraction of capacity that is kept free.
const MAX_RESERVE: f64 = 0.33;

/// Demand, in units, at or below which an account is dropped, and demand of the others at or below which
/// nothing is reserved for them.
const NEGLIGIBLE_UNITS: f64 = 0.01;

/// Recent demand and service of one account.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    /// Units requested, divided by the account's weight.
    requested: f64,
    /// The requested units that were not served in time, divided by the weight.
    unserved: f64,
    weight: f64,
}

/// The values that led to the rejection of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Throttled {
    /// Units that the account requested recently, divided by its weight.
    pub demand: f64,
    /// Units that can be served for each account, divided by its weight.
    pub allowance: f64,
    /// The fraction of all recent demand that was served.
    pub served_fraction: f64,
}

/// Adaptive throttling of one service, fair between accounts.
///
/// A node records the demand of its callers and the part of it that was not served in time. Nothing
/// is rejected while all demand is served. Once some is not, the node admits only slightly more
/// than was served recently, so that backend servers spend their time on answers that arrive in
/// time and not on refusals and late answers (client-side throttling, Beyer et al. 2016, chapter
/// 21). The capacity is divided by max-min fairness (water-filling): accounts that request less
/// than the allowance get everything, the others get the allowance each. Nodes neither exchange
/// messages for this nor know the capacity.
///
/// Long requests fill the backend servers before any request is refused. A large account therefore
/// always leaves some capacity to the others: [`Throttle::admit`] returns how much. Beyond that,
/// free capacity is open to every account.
///
/// This handles two kinds of load: more requests than the service can serve, and one account that
/// sends many times its typical load.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cassiareel::kernel::admission::Throttle;
///
/// let mut throttle = Throttle::default();
/// let now = Duration::from_secs(1);
/// for _ in 0..100 {
///     let _ = throttle.admit(&"large", 1.0, 1.0, now, 0.0);
///     throttle.record_unserved(&"large", 1.0, now);
/// }
/// assert!(throttle.admit(&"large", 1.0, 1.0, now, 0.5).is_err());
/// assert!(throttle.admit(&"small", 1.0, 1.0, now, 0.5).is_ok());
/// ```
#[derive(Clone, Debug)]
pub struct Throttle<K> {
    accounts: HashMap<K, Demand>,
    updated: Time,
    // When an admitted request last was not served.
    last_unserved: Time,
}

impl<K> Default for Throttle<K> {
    fn default() -> Throttle<K> {
        Throttle {
            accounts: HashMap::new(),
            updated: Time::ZERO,
            last_unserved: Time::ZERO,
        }
    }
}

impl<K> Throttle<K>
where
    K: Clone + Eq + Hash,
{
    /// Records a request of `units` and decides whether to admit it; `random` is a number from 0 to
    /// 1.
    ///
    /// Returns the fraction of a backend server's capacity that the request must leave free.
    ///
    /// # Errors
    ///
    /// Returns the values behind the decision if the account exceeds its allowance and the request
    /// is rejected.
    pub fn admit(
        &mut self,
        account: &K,
        weight: f64,
        units: f64,
        now: Time,
        random: f64,
    ) -> Result<f64, Throttled> {
        self.decay(now);
        let own = self.accounts.entry(account.clone()).or_default();
        own.weight = weight;
        own.requested += units / weight;
        let requested = own.requested;
        let (total_requested, total_served) = self.totals();
        // The request itself is not counted: at a node with few requests, it would make its own account
        // dominant.
        let earlier = requested * weight - units;
        let reserve = reserve(earlier, total_requested - units, total_served - units);
        if total_requested - total_served < TOLERATED_UNSERVED_UNITS {
            return Ok(reserve);
        }
        let ramp =
            now.saturating_sub(self.last_unserved).as_secs_f64() / RAMP_DOUBLING_TIME.as_secs_f64();
        let room = total_served * PROBE_FACTOR * ramp.exp2();
        let allowance = self
            .allowance(room)
            .map(|allowance| allowance.max(MIN_ALLOWANCE_UNITS / weight));
        let Some(allowance) = allowance.filter(|allowance| random >= allowance / requested) else {
            return Ok(reserve);
        };
        self.add_unserved(account, units);
        let served = total_served / total_requested;
        Err(Throttled {
            demand: requested,
            allowance,
            served_fraction: served,
        })
    }

    /// Records that an admitted request of `units` was not served in time.
    pub fn record_unserved(&mut self, account: &K, units: f64, now: Time) {
        self.decay(now);
        self.last_unserved = now;
        self.add_unserved(account, units);
    }

    fn add_unserved(&mut self, account: &K, units: f64) {
        if let Some(own) = self.accounts.get_mut(account) {
            own.unserved = (own.unserved + units / own.weight).min(own.requested);
        }
    }

    /// Returns the fraction of recent demand that was served, from 0 to 1.
    pub fn served_fraction(&mut self, now: Time) -> f64 {
        self.decay(now);
        let (requested, served) = self.totals();
        if requested > 0.0 {
            served / requested
        } else {
            1.0
        }
    }

    /// Returns the most that each account gets of `room`, divided by its weight, or `None` if all
    /// demand fits.
    fn allowance(&self, room: f64) -> Option<f64> {
        let mut demands: Vec<&Demand> = self.accounts.values().collect();
        demands.sort_by(|a, b| a.requested.total_cmp(&b.requested));
        let mut left = room;
        let mut weights: f64 = demands.iter().map(|demand| demand.weight).sum();
        for demand in demands {
            let allowance = left / weights;
            if demand.requested >= allowance {
                return Some(allowance);
            }
            left -= demand.requested * demand.weight;
            weights -= demand.weight;
        }
        None
    }

    /// Returns the units requested and the units served.
    fn totals(&self) -> (f64, f64) {
        self.accounts.values().fold((0.0, 0.0), |sum, demand| {
            let served = demand.requested - demand.unserved;
            (
                sum.0 + demand.requested * demand.weight,
                sum.1 + served * demand.weight,
            )
        })
    }

    /// Applies exponential decay to the recorded demand.
    fn decay(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.updated);
        if elapsed.is_zero() {
            return;
        }
        self.updated = now;
        let factor = 0.5f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.accounts.retain(|_, demand| {
            demand.requested *= factor;
            demand.unserved *= factor;
            demand.requested > NEGLIGIBLE_UNITS
        });
    }
}

/// Returns the fraction of capacity that an account must leave free if it requests `own` of
/// `requested` units, of which `served` were served.
fn reserve(own: f64, requested: f64, served: f64) -> f64 {
    let others = requested - own;
    if others <= NEGLIGIBLE_UNITS {
        return 0.0;
    }
    let dominance =
        (own / requested - DOMINANT_SHARE.start) / (DOMINANT_SHARE.end - DOMINANT_SHARE.start);
    let needed = RESERVE_FACTOR * others / served.max(others);
    needed.clamp(0.0, MAX_RESERVE) * dominance.clamp(0.0, 1.0)
}
