//! Limits of client accounts and of their callers, in requests and tokens.

use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    time::Duration,
};

use arc_swap::ArcSwap;

use super::{Bucket, InFlight, Rate};
use crate::kernel::{AccountId, CallerId, Time};

/// Parts of the table; adding a level copies one part.
const SHARDS: usize = 256;
/// Time that a level is kept after its last use.
const KEPT: Duration = Duration::from_secs(60);
/// Time to come back where a concurrency limit is reached: nobody knows when a request will end.
const OPEN_RETRY: Duration = Duration::from_secs(1);
/// Seconds of a rate that may come at once.
const BURST_SECONDS: f64 = 1.0;

/// Whose limits they are.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LimitScope {
    /// The client account.
    pub account: AccountId,
    /// The caller beneath it; none for the account as a whole.
    pub caller: Option<CallerId>,
}

/// The limits of one level; what is none is not limited.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limits {
    /// Requests a second.
    pub request_rate: Option<f64>,
    /// Tokens of prompts and answers a second.
    pub token_rate: Option<f64>,
    /// Requests that run or wait.
    pub open_requests: Option<u64>,
    /// Tokens that running requests hold or may hold.
    pub open_tokens: Option<u64>,
}

/// Which limit is reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitKind {
    /// Requests in a time.
    RequestRate,
    /// Tokens in a time.
    TokenRate,
    /// Requests at one time.
    OpenRequests,
    /// Tokens at one time.
    OpenTokens,
}

impl LimitKind {
    /// The name in refusals.
    pub fn name(self) -> &'static str {
        match self {
            LimitKind::RequestRate => "requests in a time",
            LimitKind::TokenRate => "tokens in a time",
            LimitKind::OpenRequests => "requests at one time",
            LimitKind::OpenTokens => "tokens at one time",
        }
    }
}

/// A refusal by a limit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Exceeded {
    /// Whose limit.
    pub scope: LimitScope,
    /// Which limit.
    pub limit: LimitKind,
    /// The time after which a retry can succeed.
    pub retry_after: Duration,
}

/// What one level uses.
#[derive(Debug, Default)]
struct Usage {
    requests: Bucket,
    tokens: Bucket,
    open: InFlight,
    open_tokens: InFlight,
    // Milliseconds of the last use.
    used: AtomicU64,
}

/// A part of the table.
type Shard = HashMap<LimitScope, Arc<Usage>>;

/// The use of every account and caller that was seen lately.
///
/// Levels are added when they are first met and forgotten when they have not been used for a while,
/// so that memory follows the callers that call and not those that exist.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cassiareel::kernel::admission::{LimitScope, Limiter, Limits};
///
/// let limiter = Limiter::default();
/// let level = LimitScope { account: "shops".into(), caller: None };
/// let limits = Limits { open_requests: Some(1), ..Limits::default() };
/// let now = Duration::from_secs(1);
/// let permit = limiter.acquire(now, &[(level.clone(), limits)], 100, 1.0).unwrap();
/// assert!(limiter.acquire(now, &[(level.clone(), limits)], 100, 1.0).is_err());
/// drop(permit);
/// assert!(limiter.acquire(now, &[(level, limits)], 100, 1.0).is_ok());
/// ```
#[derive(Debug)]
pub struct Limiter {
    shards: Box<[ArcSwap<Shard>]>,
}

impl Default for Limiter {
    fn default() -> Limiter {
        Limiter {
            shards: (0..SHARDS).map(|_| ArcSwap::default()).collect(),
        }
    }
}

impl Limiter {
    /// Takes a request of some tokens in at every level, or at none.
    ///
    /// `part` is this node's part of limits that hold for the fleet.
    ///
    /// # Errors
    ///
    /// Returns the first level whose limit is reached.
    pub fn acquire(
        &self,
        now: Time,
        levels: &[(LimitScope, Limits)],
        tokens: u64,
        part: f64,
    ) -> Result<Permit, Exceeded> {
        let mut permit = Permit { held: Vec::new() };
        for (level, limits) in levels {
            if *limits == Limits::default() {
                continue;
            }
            let mut held = Held::new(self.usage(now, level), scaled(limits, part));
            let taken = held.take(now, tokens);
            permit.held.push(held);
            if let Err((reached, retry)) = taken {
                permit.refund();
                return Err(Exceeded {
                    scope: level.clone(),
                    limit: reached,
                    retry_after: retry,
                });
            }
        }
        Ok(permit)
    }

    /// Forgets levels that are not in use, have not been for a while and owe nothing.
    pub fn remove_idle(&self, now: Time) {
        for shard in &self.shards {
            let idle = |usage: &Usage| usage.is_idle(now);
            if shard.load().values().any(|usage| idle(usage)) {
                shard.rcu(|old| {
                    let kept = old.iter().filter(|(_, usage)| !idle(usage));
                    kept.map(|(id, usage)| (id.clone(), usage.clone()))
                        .collect::<Shard>()
                });
            }
        }
    }

    /// Levels that are remembered.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.load().len()).sum()
    }

    /// Reports whether no level is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn usage(&self, now: Time, level: &LimitScope) -> Arc<Usage> {
        let mut hasher = DefaultHasher::new();
        level.hash(&mut hasher);
        let shard = &self.shards[hasher.finish() as usize % SHARDS];
        let known = shard.load().get(level).cloned();
        let usage = known.unwrap_or_else(|| {
            let fresh = Arc::new(Usage::default());
            shard.rcu(|old| {
                let mut shard = Shard::clone(old);
                shard.entry(level.clone()).or_insert_with(|| fresh.clone());
                shard
            });
            // Another thread may have added it first.
            shard.load().get(level).cloned().unwrap_or(fresh)
        });
        usage.used.store(now.as_millis() as u64, Ordering::Relaxed);
        usage
    }
}

impl Usage {
    fn is_idle(&self, now: Time) -> bool {
        let used = Duration::from_millis(self.used.load(Ordering::Relaxed));
        now.saturating_sub(used) > KEPT
            && self.open.count() == 0
            && self.open_tokens.count() == 0
            && self.requests.is_full(now)
            && self.tokens.is_full(now)
    }
}

/// A request's place within the limits, given back when dropped.
#[derive(Debug)]
pub struct Permit {
    held: Vec<Held>,
}

impl Permit {
    /// Gives back all that was taken, for a request that did not run.
    pub fn refund(mut self) {
        self.held.iter_mut().for_each(Held::refund);
    }

    /// Charges or gives back the difference between the tokens that were used and those estimated.
    pub fn settle(&mut self, now: Time, used: u64) {
        for held in &mut self.held {
            held.settle(now, used);
        }
    }
}

/// What a request holds of one level.
#[derive(Debug)]
struct Held {
    usage: Arc<Usage>,
    limits: Limits,
    requests: f64,
    tokens: f64,
    open: u64,
    open_tokens: u64,
}

impl Held {
    fn new(usage: Arc<Usage>, limits: Limits) -> Held {
        Held {
            usage,
            limits,
            requests: 0.0,
            tokens: 0.0,
            open: 0,
            open_tokens: 0,
        }
    }

    fn take(&mut self, now: Time, tokens: u64) -> Result<(), (LimitKind, Duration)> {
        if let Some(bound) = self.limits.open_requests {
            if !self.usage.open.try_acquire(1, bound) {
                return Err((LimitKind::OpenRequests, OPEN_RETRY));
            }
            self.open = 1;
        }
        if let Some(bound) = self.limits.open_tokens {
            if !self.usage.open_tokens.try_acquire(tokens, bound) {
                return Err((LimitKind::OpenTokens, OPEN_RETRY));
            }
            self.open_tokens = tokens;
        }
        if let Some(rate) = self.limits.request_rate.map(rate) {
            let taken = self.usage.requests.try_take(now, &rate, 1.0);
            taken.map_err(|retry| (LimitKind::RequestRate, retry))?;
            self.requests = 1.0;
        }
        if let Some(rate) = self.limits.token_rate.map(rate) {
            let taken = self.usage.tokens.try_take(now, &rate, tokens as f64);
            taken.map_err(|retry| (LimitKind::TokenRate, retry))?;
            self.tokens = tokens as f64;
        }
        Ok(())
    }

    fn refund(&mut self) {
        if let Some(rate) = self.limits.request_rate.map(rate) {
            self.usage.requests.refund(&rate, self.requests);
        }
        if let Some(rate) = self.limits.token_rate.map(rate) {
            self.usage.tokens.refund(&rate, self.tokens);
        }
        (self.requests, self.tokens) = (0.0, 0.0);
    }

    fn settle(&mut self, now: Time, used: u64) {
        let Some(rate) = self.limits.token_rate.map(rate) else {
            return;
        };
        let over = used as f64 - self.tokens;
        if over > 0.0 {
            self.usage.tokens.charge(now, &rate, over);
        } else {
            self.usage.tokens.refund(&rate, -over);
        }
        self.tokens = used as f64;
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.usage.open.release(self.open);
        self.usage.open_tokens.release(self.open_tokens);
    }
}

/// A rate with its burst: a second's worth, and one request at least.
fn rate(per_second: f64) -> Rate {
    Rate {
        per_second,
        burst: (per_second * BURST_SECONDS).max(1.0),
    }
}

/// A node's part of limits; a part of a count is one at least, so that no node refuses everything.
fn scaled(limits: &Limits, part: f64) -> Limits {
    let count = |bound: u64| match bound {
        0 => 0,
        bound => ((bound as f64 * part) as u64).max(1),
    };
    Limits {
        request_rate: limits.request_rate.map(|rate| rate * part),
        token_rate: limits.token_rate.map(|rate| rate * part),
        open_requests: limits.open_requests.map(count),
        open_tokens: limits.open_tokens.map(count),
    }
}
