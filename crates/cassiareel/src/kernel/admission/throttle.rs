//! Turns requests away where a service can't serve all, of those accounts first that ask for most.

use std::{collections::HashMap, hash::Hash, time::Duration};

use crate::kernel::Time;

/// The time after which what was asked and served counts half.
const HALF_LIFE: Duration = Duration::from_millis(1500);

/// What is let in for each unit that was served, right after one was not: more than one, so that room
/// that has come free is found.
const PROBE: f64 = 1.3;

/// The time without a request that was not served after which twice as much is let in.
const RAMP: Duration = Duration::from_millis(400);

/// Units that each account may ask for whatever was served: none that asks for little is turned away.
const LEAST: f64 = 2.0;

/// Units that were not served lately up to which nobody is held back: a single failure says nothing
/// about the next request.
const TOLERATED: f64 = 1.5;

/// The part of all demand from which an account leaves room to the others, and at which it leaves as
/// much as it ever does.
const DOMINANT: std::ops::Range<f64> = 0.35..0.6;

/// What a dominant account leaves free for the others, in parts of what these ask for: requests take
/// longer where backend servers are crowded.
const RESERVED: f64 = 4.0;

/// The largest part of the room that is kept free.
const MOST_RESERVED: f64 = 0.33;

/// A demand that is forgotten, in units.
const NOTHING: f64 = 0.01;

/// Demand and service of one account.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    /// Units asked for, divided by the account's weight.
    asked: f64,
    /// Those of them that were not served in time.
    unserved: f64,
    weight: f64,
}

/// Why a request was turned away.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Throttled {
    /// Units that the account asked for lately, divided by its weight.
    pub demand: f64,
    /// Units of each account that can be served, divided by its weight.
    pub allowance: f64,
    /// The part of all demand that was served lately.
    pub served_fraction: f64,
}

/// Adaptive throttling of one service, fair between accounts.
///
/// A node counts what its callers ask for and what of it was not served in time. While all is served
/// nothing is held back. Once some is not, only a little more is let in than was served lately, so
/// that backend servers spend their time on answers that come in time, and not on refusals and late
/// answers (client-side throttling, Beyer et al. 2016, chapter 21). What can be served is divided by
/// water-filling: accounts that ask for less than the level get all, the others the level each. No
/// talk between nodes is needed, and none knows the capacity.
///
/// Requests that run for long fill backend servers before any is refused. A large account therefore
/// always leaves some room to the others: [`Throttle::admit`] tells how much. Where places are free
/// beyond that, it holds nobody back.
///
/// It answers two loads: more requests than a service can serve, and one account among others that
/// sends many times its usual.
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
    at: Time,
    // When a request that was let in was last not served.
    failed: Time,
}

impl<K> Default for Throttle<K> {
    fn default() -> Throttle<K> {
        Throttle {
            accounts: HashMap::new(),
            at: Time::ZERO,
            failed: Time::ZERO,
        }
    }
}

impl<K> Throttle<K>
where
    K: Clone + Eq + Hash,
{
    /// Counts a request of `units`, and lets it in or not; `random` is a number from 0 to 1.
    ///
    /// Returns the part of a backend server's room that the request has to leave free.
    ///
    /// # Errors
    ///
    /// Fails with what decided where the account asks for more than its level.
    pub fn admit(
        &mut self,
        account: &K,
        weight: f64,
        units: f64,
        now: Time,
        random: f64,
    ) -> Result<f64, Throttled> {
        self.age(now);
        let own = self.accounts.entry(account.clone()).or_default();
        own.weight = weight;
        own.asked += units / weight;
        let asked = own.asked;
        let (asked_all, served_all) = self.totals();
        let reserve = reserve(asked * weight, asked_all, served_all);
        if asked_all - served_all < TOLERATED {
            return Ok(reserve);
        }
        let ramp = now.saturating_sub(self.failed).as_secs_f64() / RAMP.as_secs_f64();
        let room = served_all * PROBE * ramp.exp2();
        let level = self.level(room).map(|level| level.max(LEAST / weight));
        let Some(level) = level.filter(|level| random >= level / asked) else {
            return Ok(reserve);
        };
        self.leave(account, units);
        let served = served_all / asked_all;
        Err(Throttled {
            demand: asked,
            allowance: level,
            served_fraction: served,
        })
    }

    /// Notes that a request of `units` that was let in was not served in time.
    pub fn record_unserved(&mut self, account: &K, units: f64, now: Time) {
        self.age(now);
        self.failed = now;
        self.leave(account, units);
    }

    fn leave(&mut self, account: &K, units: f64) {
        if let Some(own) = self.accounts.get_mut(account) {
            own.unserved = (own.unserved + units / own.weight).min(own.asked);
        }
    }

    /// The part of the demand that was served lately, from 0 to 1.
    pub fn served_fraction(&mut self, now: Time) -> f64 {
        self.age(now);
        let (asked, served) = self.totals();
        if asked > 0.0 {
            served / asked
        } else {
            1.0
        }
    }

    /// What each account gets of `room` at most, divided by its weight; `None` where all demand fits.
    fn level(&self, room: f64) -> Option<f64> {
        let mut demands: Vec<&Demand> = self.accounts.values().collect();
        demands.sort_by(|a, b| a.asked.total_cmp(&b.asked));
        let mut left = room;
        let mut weights: f64 = demands.iter().map(|demand| demand.weight).sum();
        for demand in demands {
            let level = left / weights;
            if demand.asked >= level {
                return Some(level);
            }
            left -= demand.asked * demand.weight;
            weights -= demand.weight;
        }
        None
    }

    /// Units that were asked for, and those that were served.
    fn totals(&self) -> (f64, f64) {
        self.accounts.values().fold((0.0, 0.0), |sum, demand| {
            let served = demand.asked - demand.unserved;
            (
                sum.0 + demand.asked * demand.weight,
                sum.1 + served * demand.weight,
            )
        })
    }

    /// Lets older demand count less.
    fn age(&mut self, now: Time) {
        let spent = now.saturating_sub(self.at);
        if spent.is_zero() {
            return;
        }
        self.at = now;
        let part = 0.5f64.powf(spent.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.accounts.retain(|_, demand| {
            demand.asked *= part;
            demand.unserved *= part;
            demand.asked > NOTHING
        });
    }
}

/// The part of the room that an account leaves free that asks for `own` of `asked` units, of which
/// `served` were served.
fn reserve(own: f64, asked: f64, served: f64) -> f64 {
    let dominance = (own / asked - DOMINANT.start) / (DOMINANT.end - DOMINANT.start);
    let others = asked - own;
    let needed = RESERVED * others / served.max(others);
    needed.clamp(0.0, MOST_RESERVED) * dominance.clamp(0.0, 1.0)
}
