//! Limits on the requests and tokens of client accounts and their callers.

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

/// Number of shards of the table. Adding a scope copies one shard.
const SHARDS: usize = 256;
/// Time for which a scope is kept after its last use.
const IDLE_RETENTION: Duration = Duration::from_secs(60);
/// Retry delay when a concurrency limit is reached. It is constant because nothing predicts when a
/// running request will end.
const CONCURRENCY_RETRY: Duration = Duration::from_secs(1);
/// The burst of a rate limit, as seconds of its rate.
const BURST_SECONDS: f64 = 1.0;

/// The client account or caller that a set of limits applies to.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LimitScope {
    /// The client account.
    pub account: AccountId,
    /// The caller within the account; `None` for the account as a whole.
    pub caller: Option<CallerId>,
}

/// The limits of one scope. `None` means unlimited.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limits {
    /// Requests per second.
    pub request_rate: Option<f64>,
    /// Tokens of prompts and answers per second.
    pub token_rate: Option<f64>,
    /// Requests that run or wait at the same time.
    pub open_requests: Option<u64>,
    /// Tokens that running requests use or may use.
    pub open_tokens: Option<u64>,
}

/// The kind of a limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitKind {
    /// Requests per second.
    RequestRate,
    /// Tokens per second.
    TokenRate,
    /// Concurrent requests.
    OpenRequests,
    /// Concurrent tokens.
    OpenTokens,
}

impl LimitKind {
    /// Returns the name used in error messages to clients.
    pub fn name(self) -> &'static str {
        match self {
            LimitKind::RequestRate => "requests in a time",
            LimitKind::TokenRate => "tokens in a time",
            LimitKind::OpenRequests => "requests at one time",
            LimitKind::OpenTokens => "tokens at one time",
        }
    }
}

/// The error for a request that exceeds a limit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Exceeded {
    /// The scope whose limit is reached.
    pub scope: LimitScope,
    /// The limit that is reached.
    pub limit: LimitKind,
    /// The time after which a retry can succeed.
    pub retry_after: Duration,
}

/// The current usage of one scope.
#[derive(Debug, Default)]
struct Usage {
    requests: Bucket,
    tokens: Bucket,
    open_requests: InFlight,
    open_tokens: InFlight,
    // Time of the last use, in milliseconds.
    last_used_ms: AtomicU64,
}

/// One shard of the table.
type Shard = HashMap<LimitScope, Arc<Usage>>;

/// Enforces the limits of all client accounts and callers that were active recently.
///
/// A scope is added on its first request and removed once it has been idle for a while, so that
/// memory grows with the number of active callers and not with the number of configured ones.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cassiareel::kernel::admission::{LimitScope, Limiter, Limits};
///
/// let limiter = Limiter::default();
/// let scope = LimitScope { account: "shops".into(), caller: None };
/// let limits = Limits { open_requests: Some(1), ..Limits::default() };
/// let now = Duration::from_secs(1);
/// let permit = limiter.acquire(now, &[(scope.clone(), limits)], 100, 1.0).unwrap();
/// assert!(limiter.acquire(now, &[(scope.clone(), limits)], 100, 1.0).is_err());
/// drop(permit);
/// assert!(limiter.acquire(now, &[(scope, limits)], 100, 1.0).is_ok());
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
    /// Admits a request of `tokens` tokens in all scopes or in none.
    ///
    /// `part` is this node's fraction of limits that apply to the whole fleet.
    ///
    /// # Errors
    ///
    /// Returns the first scope whose limit is reached.
    pub fn acquire(
        &self,
        now: Time,
        scopes: &[(LimitScope, Limits)],
        tokens: u64,
        part: f64,
    ) -> Result<Permit, Exceeded> {
        let mut permit = Permit {
            charges: Vec::new(),
        };
        for (scope, limits) in scopes {
            if *limits == Limits::default() {
                continue;
            }
            let mut charge = ScopeCharge::new(self.usage(now, scope), scale_limits(limits, part));
            let acquired = charge.acquire(now, tokens);
            permit.charges.push(charge);
            if let Err((limit, retry_after)) = acquired {
                permit.refund();
                return Err(Exceeded {
                    scope: scope.clone(),
                    limit,
                    retry_after,
                });
            }
        }
        Ok(permit)
    }

    /// Removes the scopes that have been idle for a while, have no open requests and are not in
    /// debt.
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

    /// Returns the number of scopes in the table.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.load().len()).sum()
    }

    /// Reports whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn usage(&self, now: Time, scope: &LimitScope) -> Arc<Usage> {
        let mut hasher = DefaultHasher::new();
        scope.hash(&mut hasher);
        let shard = &self.shards[hasher.finish() as usize % SHARDS];
        let known = shard.load().get(scope).cloned();
        let usage = known.unwrap_or_else(|| {
            let fresh = Arc::new(Usage::default());
            shard.rcu(|old| {
                let mut shard = Shard::clone(old);
                shard.entry(scope.clone()).or_insert_with(|| fresh.clone());
                shard
            });
            // Another thread may have added it first.
            shard.load().get(scope).cloned().unwrap_or(fresh)
        });
        usage
            .last_used_ms
            .store(now.as_millis() as u64, Ordering::Relaxed);
        usage
    }
}

impl Usage {
    fn is_idle(&self, now: Time) -> bool {
        let last_used = Duration::from_millis(self.last_used_ms.load(Ordering::Relaxed));
        now.saturating_sub(last_used) > IDLE_RETENTION
            && self.open_requests.count() == 0
            && self.open_tokens.count() == 0
            && self.requests.is_full(now)
            && self.tokens.is_full(now)
    }
}

/// The usage that one admitted request accounts for. Dropping it releases the concurrency limits.
#[derive(Debug)]
pub struct Permit {
    charges: Vec<ScopeCharge>,
}

impl Permit {
    /// Refunds the rate limits too, for a request that did not run.
    pub fn refund(mut self) {
        self.charges.iter_mut().for_each(ScopeCharge::refund);
    }

    /// Charges or refunds the difference between the tokens used and the tokens estimated.
    pub fn settle(&mut self, now: Time, used: u64) {
        for charge in &mut self.charges {
            charge.settle(now, used);
        }
    }
}

/// What one request is charged in one scope.
#[derive(Debug)]
struct ScopeCharge {
    usage: Arc<Usage>,
    limits: Limits,
    requests: f64,
    tokens: f64,
    open_requests: u64,
    open_tokens: u64,
}

impl ScopeCharge {
    fn new(usage: Arc<Usage>, limits: Limits) -> ScopeCharge {
        ScopeCharge {
            usage,
            limits,
            requests: 0.0,
            tokens: 0.0,
            open_requests: 0,
            open_tokens: 0,
        }
    }

    fn acquire(&mut self, now: Time, tokens: u64) -> Result<(), (LimitKind, Duration)> {
        if let Some(bound) = self.limits.open_requests {
            if !self.usage.open_requests.try_acquire(1, bound) {
                return Err((LimitKind::OpenRequests, CONCURRENCY_RETRY));
            }
            self.open_requests = 1;
        }
        if let Some(bound) = self.limits.open_tokens {
            if !self.usage.open_tokens.try_acquire(tokens, bound) {
                return Err((LimitKind::OpenTokens, CONCURRENCY_RETRY));
            }
            self.open_tokens = tokens;
        }
        if let Some(rate) = self.limits.request_rate.map(rate_with_burst) {
            let taken = self.usage.requests.try_take(now, &rate, 1.0);
            taken.map_err(|retry_after| (LimitKind::RequestRate, retry_after))?;
            self.requests = 1.0;
        }
        if let Some(rate) = self.limits.token_rate.map(rate_with_burst) {
            let taken = self.usage.tokens.try_take(now, &rate, tokens as f64);
            taken.map_err(|retry_after| (LimitKind::TokenRate, retry_after))?;
            self.tokens = tokens as f64;
        }
        Ok(())
    }

    fn refund(&mut self) {
        if let Some(rate) = self.limits.request_rate.map(rate_with_burst) {
            self.usage.requests.refund(&rate, self.requests);
        }
        if let Some(rate) = self.limits.token_rate.map(rate_with_burst) {
            self.usage.tokens.refund(&rate, self.tokens);
        }
        (self.requests, self.tokens) = (0.0, 0.0);
    }

    fn settle(&mut self, now: Time, used: u64) {
        let Some(rate) = self.limits.token_rate.map(rate_with_burst) else {
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

impl Drop for ScopeCharge {
    fn drop(&mut self) {
        self.usage.open_requests.release(self.open_requests);
        self.usage.open_tokens.release(self.open_tokens);
    }
}

/// Returns a rate with a burst of [`BURST_SECONDS`], and of at least one unit.
fn rate_with_burst(per_second: f64) -> Rate {
    Rate {
        per_second,
        burst: (per_second * BURST_SECONDS).max(1.0),
    }
}

/// Scales limits to a node's part. A scaled count is at least 1, so that no node refuses every
/// request.
fn scale_limits(limits: &Limits, part: f64) -> Limits {
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
