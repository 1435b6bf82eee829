//! The queue of requests that wait for the backend servers of a version.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use super::{
    account::{AccountQueue, CallerQueue, JobKey},
    drain::DrainRate,
    schedule::FairSchedule,
    Job, Refusal, Refused, Requester,
};
use crate::kernel::{AccountId, CallerId, Time};

/// Limits on the length of the queue, in jobs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueLimits {
    /// Jobs of all accounts.
    pub jobs: usize,
    /// Jobs of one account.
    pub account: usize,
    /// Jobs of one caller.
    pub caller: usize,
}

impl Default for QueueLimits {
    fn default() -> QueueLimits {
        QueueLimits {
            jobs: 4096,
            account: 1024,
            caller: 256,
        }
    }
}

/// Accounts whose first job is tried when the jobs of earlier accounts do not fit.
const MAX_ACCOUNTS_TRIED: usize = 8;
/// Times that a job may be skipped in favour of jobs that fit before it blocks the queue.
const MAX_SKIPS: u32 = 64;
/// Factor on the retry delay, which allows for the work of others that arrives in the meantime.
const RETRY_MARGIN: f64 = 1.1;
/// The shortest retry delay in a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// The longest retry delay in a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// A hierarchical fair queue: client account, then caller, then priority and deadline.
///
/// Each account is served in proportion to its weight among the accounts with queued jobs, and each
/// caller likewise within its account, counted in tokens. The queue is work-conserving: what an
/// account does not use goes to the others.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cassiareel::kernel::admission::{QueueLimits, FairQueue, Job, Requester};
///
/// let mut queue = FairQueue::new(QueueLimits::default());
/// let now = Duration::ZERO;
/// let job = |account: &str, item| Job {
///     requester: Requester {
///         account: account.into(),
///         caller: "c".into(),
///         account_weight: 1.0,
///         caller_weight: 1.0,
///     },
///     priority: 0,
///     cost: 100,
///     deadline: Duration::from_secs(5),
///     item,
/// };
/// for i in 0..10 {
///     queue.push(now, job("large", i)).unwrap();
/// }
/// queue.push(now, job("small", 99)).unwrap();
/// let first_two = [queue.pop(now).unwrap().item, queue.pop(now).unwrap().item];
/// assert!(first_two.contains(&99));
/// ```
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    limits: QueueLimits,
    accounts: HashMap<AccountId, AccountQueue<T>>,
    schedule: FairSchedule<AccountId>,
    deadlines: BTreeSet<(Time, u64)>,
    locations: HashMap<u64, (AccountId, CallerId, JobKey)>,
    drain: DrainRate,
    last_id: u64,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    pub fn new(limits: QueueLimits) -> FairQueue<T> {
        FairQueue {
            limits,
            accounts: HashMap::new(),
            schedule: FairSchedule::default(),
            deadlines: BTreeSet::new(),
            locations: HashMap::new(),
            drain: DrainRate::default(),
            last_id: 0,
        }
    }

    /// Returns the number of queued jobs.
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Reports whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// Returns the number of tracked accounts, which is bounded by the number of queued and
    /// recently served jobs.
    pub fn account_count(&self) -> usize {
        self.accounts.len().max(self.schedule.len())
    }

    /// Adds a job and returns the job that was evicted for it, if any.
    ///
    /// A full queue evicts the last job of the account, and within it of the caller, that uses the
    /// largest part of the queue, so that a large account can't keep a small one out.
    ///
    /// # Errors
    ///
    /// Returns the job itself if it would be served after its deadline, or if the queue is full and
    /// the job's own account or caller uses the largest part of it.
    pub fn push(&mut self, now: Time, job: Job<T>) -> Result<Option<Refused<T>>, Refused<T>> {
        let wait = self.estimated_wait(now, &job.requester, job.priority);
        if wait > job.deadline.saturating_sub(now) {
            let over = wait - job.deadline.saturating_sub(now);
            let reason = Refusal::Late(retry_after(over));
            return Err(Refused { job, reason });
        }
        let full = Refusal::Full(retry_after(wait));
        let (jobs, own) = self.counts(&job.requester);
        if own >= self.limits.caller || jobs >= self.limits.account && own > 0 {
            return Err(Refused { job, reason: full });
        }
        let id = self.insert(now, job);
        if self.len() <= self.limits.jobs && jobs < self.limits.account {
            return Ok(None);
        }
        let evicted = if jobs >= self.limits.account {
            let account = self.locations[&id].0.clone();
            self.last_job_of(&account)
        } else {
            self.largest_account()
                .and_then(|account| self.last_job_of(&account))
        };
        let Some(evicted) = evicted else {
            return Ok(None);
        };
        match self.remove(evicted) {
            Some(job) if evicted == id => Err(Refused { job, reason: full }),
            Some(job) => Ok(Some(Refused { job, reason: full })),
            None => Ok(None),
        }
    }

    /// Removes and returns the next job.
    pub fn pop(&mut self, now: Time) -> Option<Job<T>> {
        self.pop_fitting(now, |_| true)
    }

    /// Removes and returns the next job that fits.
    ///
    /// The first jobs of several accounts are tried, so that a large job does not block small ones.
    /// A job that was skipped too often blocks the queue until it fits, so that small jobs do not
    /// starve it.
    pub fn pop_fitting<F>(&mut self, now: Time, mut fits: F) -> Option<Job<T>>
    where
        F: FnMut(&Job<T>) -> bool,
    {
        let mut skipped = Vec::new();
        let mut found = None;
        for name in self.schedule.in_order().take(MAX_ACCOUNTS_TRIED) {
            let account = &self.accounts[name];
            let Some(caller) = account.schedule.in_order().next() else {
                continue;
            };
            let Some((key, queued)) = account.callers[caller].jobs.first_key_value() else {
                continue;
            };
            if fits(&queued.job) {
                found = Some(key.2);
                break;
            }
            skipped.push(key.2);
            if queued.skips >= MAX_SKIPS {
                break;
            }
        }
        let id = found?;
        for id in skipped {
            self.record_skip(id);
        }
        let job = self.serve(id)?;
        self.drain.record(now, job.cost);
        if self.is_empty() {
            self.drain.stop();
        }
        Some(job)
    }

    /// Removes and returns the jobs whose deadline has passed.
    pub fn remove_expired(&mut self, now: Time) -> Vec<Refused<T>> {
        let mut expired = Vec::new();
        while let Some(&(deadline, id)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            if let Some(job) = self.remove(id) {
                let wait = self.estimated_wait(now, &job.requester, job.priority);
                let reason = Refusal::Expired(retry_after(wait));
                expired.push(Refused { job, reason });
            } else {
                self.deadlines.pop_first();
            }
        }
        expired
    }

    /// Returns the earliest deadline, if any.
    pub fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|&(deadline, _)| deadline)
    }

    /// Charges the cost of a job above its estimate, which delays later jobs of its account and
    /// caller.
    pub fn charge(&mut self, requester: &Requester, cost: u64) {
        self.schedule
            .charge(&requester.account, cost, requester.account_weight, false);
        if let Some(account) = self.accounts.get_mut(&requester.account) {
            account
                .schedule
                .charge(&requester.caller, cost, requester.caller_weight, false);
        }
    }

    /// Estimates how long a new job of a caller would wait. Returns zero while the drain rate is
    /// unknown.
    pub fn estimated_wait(&mut self, now: Time, requester: &Requester, priority: i32) -> Duration {
        let Some(rate) = self.drain.rate(now) else {
            return Duration::ZERO;
        };
        let Some(account) = self.accounts.get(&requester.account) else {
            return Duration::ZERO;
        };
        let Some(caller) = account.callers.get(&requester.caller) else {
            return Duration::ZERO;
        };
        let accounts: f64 = self
            .accounts
            .values()
            .filter(|a| a.jobs > 0)
            .map(|a| a.weight)
            .sum();
        let callers: f64 = account.callers.values().map(|c| c.weight).sum();
        let part = (account.weight / accounts) * (caller.weight / callers);
        // The cost of the whole queue bounds the wait too, since capacity that others leave unused
        // goes to the remaining callers.
        let lag = account.schedule.lag(&requester.caller, caller.weight);
        let own = caller.cost_before(priority).saturating_sub(lag) as f64 / part;
        let all: u64 = self.accounts.values().map(|a| a.cost).sum();
        Duration::try_from_secs_f64(own.min(all as f64) / rate).unwrap_or(MAX_RETRY_AFTER)
    }

    /// Returns the number of queued jobs of the account and of the caller.
    fn counts(&self, requester: &Requester) -> (usize, usize) {
        let Some(account) = self.accounts.get(&requester.account) else {
            return (0, 0);
        };
        let own = account
            .callers
            .get(&requester.caller)
            .map_or(0, |c| c.jobs.len());
        (account.jobs, own)
    }

    fn insert(&mut self, now: Time, job: Job<T>) -> u64 {
        self.drain.start(now);
        self.last_id += 1;
        let id = self.last_id;
        let key = (job.priority, job.deadline, id);
        let requester = &job.requester;
        self.deadlines.insert((job.deadline, id));
        self.locations.insert(
            id,
            (requester.account.clone(), requester.caller.clone(), key),
        );
        self.schedule.activate(&requester.account);
        let account = self
            .accounts
            .entry(requester.account.clone())
            .or_insert_with(AccountQueue::new);
        account.weight = requester.account_weight;
        account.insert(key, job);
        id
    }

    /// Removes a job and charges its account and caller for it.
    fn serve(&mut self, id: u64) -> Option<Job<T>> {
        let (account, caller, _) = self.locations.get(&id)?.clone();
        let queued = self.accounts.get(&account)?.callers.get(&caller)?;
        let (cost, caller_weight) = (queued.jobs.first_key_value()?.1.job.cost, queued.weight);
        let queue = self.accounts.get_mut(&account)?;
        queue.schedule.charge(&caller, cost, caller_weight, true);
        let weight = queue.weight;
        self.schedule.charge(&account, cost, weight, true);
        self.remove(id)
    }

    /// Removes a job.
    fn remove(&mut self, id: u64) -> Option<Job<T>> {
        let (name, caller, key) = self.locations.remove(&id)?;
        self.deadlines.remove(&(key.1, id));
        let account = self.accounts.get_mut(&name)?;
        let job = account.remove(&caller, &key)?;
        if account.jobs == 0 {
            self.schedule.deactivate(&name);
        }
        // An account without jobs is kept, with the debts of its callers, until its own debt is
        // paid.
        let schedule = &self.schedule;
        if self.accounts.len() > 2 * schedule.len() + MAX_ACCOUNTS_TRIED {
            self.accounts
                .retain(|name, account| account.jobs > 0 || schedule.contains(name));
        }
        Some(job)
    }

    fn record_skip(&mut self, id: u64) {
        let Some((account, caller, key)) = self.locations.get(&id) else {
            return;
        };
        let caller = self
            .accounts
            .get_mut(account)
            .and_then(|a| a.callers.get_mut(caller));
        if let Some(queued) = caller.and_then(|c| c.jobs.get_mut(key)) {
            queued.skips += 1;
        }
    }

    /// Returns the account with the largest queued cost relative to its weight.
    fn largest_account(&self) -> Option<AccountId> {
        let part = |a: &AccountQueue<T>| a.cost as f64 / a.weight;
        self.accounts
            .iter()
            .filter(|(_, a)| a.jobs > 0)
            .max_by(|a, b| part(a.1).total_cmp(&part(b.1)).then_with(|| b.0.cmp(a.0)))
            .map(|(name, _)| name.clone())
    }

    /// Returns the last job of the account's caller with the largest queued cost relative to its
    /// weight.
    fn last_job_of(&self, account: &AccountId) -> Option<u64> {
        let part = |c: &CallerQueue<T>| c.cost as f64 / c.weight;
        let callers = &self.accounts.get(account)?.callers;
        let (_, caller) = callers
            .iter()
            .max_by(|a, b| part(a.1).total_cmp(&part(b.1)).then_with(|| b.0.cmp(a.0)))?;
        caller.jobs.last_key_value().map(|(key, _)| key.2)
    }
}

/// Returns the retry delay for an estimated wait, within the allowed range.
fn retry_after(wait: Duration) -> Duration {
    wait.mul_f64(RETRY_MARGIN)
        .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
