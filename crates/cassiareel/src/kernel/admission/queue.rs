//! What waits for a version's backend servers.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use super::{
    account::{Account, Caller, Key},
    drain::Drain,
    schedule::Schedule,
    Job, Refusal, Refused, Requester,
};
use crate::kernel::{AccountId, CallerId, Time};

/// Bounds on what waits, in jobs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueLimits {
    /// Of all accounts.
    pub jobs: usize,
    /// Of one account.
    pub account: usize,
    /// Of one caller.
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

/// Accounts whose first job is looked at when earlier ones do not fit.
const TRIES: usize = 8;
/// Times that a job may be passed over by ones that fit before it holds up the queue.
const PASSES: u32 = 64;
/// Factor on the time to come back, for the work of others that comes in between.
const RETRY_MARGIN: f64 = 1.1;
/// Shortest time to come back that a refusal names.
const LEAST_RETRY: Duration = Duration::from_millis(500);
/// Longest time to come back that a refusal names.
const MOST_RETRY: Duration = Duration::from_secs(60);

/// A hierarchical fair queue: client account, then caller, then priority and deadline.
///
/// An account's part of what is served is in proportion to its weight among the accounts that wait,
/// and a caller's likewise beneath its account, counted in tokens. It is work-conserving: an account
/// that asks for less leaves the rest to the others.
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
    bounds: QueueLimits,
    accounts: HashMap<AccountId, Account<T>>,
    schedule: Schedule<AccountId>,
    deadlines: BTreeSet<(Time, u64)>,
    places: HashMap<u64, (AccountId, CallerId, Key)>,
    drain: Drain,
    arrivals: u64,
}

impl<T> FairQueue<T> {
    /// Makes an empty queue.
    pub fn new(bounds: QueueLimits) -> FairQueue<T> {
        FairQueue {
            bounds,
            accounts: HashMap::new(),
            schedule: Schedule::default(),
            deadlines: BTreeSet::new(),
            places: HashMap::new(),
            drain: Drain::default(),
            arrivals: 0,
        }
    }

    /// The count of jobs that wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Reports whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Accounts that are remembered; it is bounded by what waits and what was served just now.
    pub fn account_count(&self) -> usize {
        self.accounts.len().max(self.schedule.len())
    }

    /// Puts a job in, and returns the one that had to leave for it, if any.
    ///
    /// In a full queue the last job of the account, and within it of the caller, with the largest
    /// part of the queue leaves, so that a large account can't keep a small one out.
    ///
    /// # Errors
    ///
    /// Returns the job itself where its turn would come too late, or where its own account or
    /// caller has the largest part of a full queue.
    pub fn push(&mut self, now: Time, job: Job<T>) -> Result<Option<Refused<T>>, Refused<T>> {
        let wait = self.estimated_wait(now, &job.requester, job.priority);
        if wait > job.deadline.saturating_sub(now) {
            let over = wait - job.deadline.saturating_sub(now);
            let why = Refusal::Late(retry(over));
            return Err(Refused { job, reason: why });
        }
        let full = Refusal::Full(retry(wait));
        let (jobs, own) = self.counts(&job.requester);
        if own >= self.bounds.caller || jobs >= self.bounds.account && own > 0 {
            return Err(Refused { job, reason: full });
        }
        let id = self.insert(now, job);
        if self.len() <= self.bounds.jobs && jobs < self.bounds.account {
            return Ok(None);
        }
        let victim = if jobs >= self.bounds.account {
            let account = self.places[&id].0.clone();
            self.last_of(&account)
        } else {
            self.largest().and_then(|account| self.last_of(&account))
        };
        let Some(victim) = victim else {
            return Ok(None);
        };
        match self.remove(victim) {
            Some(job) if victim == id => Err(Refused { job, reason: full }),
            Some(job) => Ok(Some(Refused { job, reason: full })),
            None => Ok(None),
        }
    }

    /// Takes the next job.
    pub fn pop(&mut self, now: Time) -> Option<Job<T>> {
        self.pop_fitting(now, |_| true)
    }

    /// Takes the next job that fits.
    ///
    /// The first jobs of a few accounts are looked at, so that a large job does not hold up small
    /// ones; one that was passed over often holds up the queue until it fits, so that small ones do
    /// not starve it.
    pub fn pop_fitting<F>(&mut self, now: Time, mut fits: F) -> Option<Job<T>>
    where
        F: FnMut(&Job<T>) -> bool,
    {
        let mut passed = Vec::new();
        let mut found = None;
        for name in self.schedule.order().take(TRIES) {
            let account = &self.accounts[name];
            let Some(caller) = account.schedule.order().next() else {
                continue;
            };
            let Some((key, waiting)) = account.callers[caller].jobs.first_key_value() else {
                continue;
            };
            if fits(&waiting.job) {
                found = Some(key.2);
                break;
            }
            passed.push(key.2);
            if waiting.passes >= PASSES {
                break;
            }
        }
        let id = found?;
        for id in passed {
            self.note_pass(id);
        }
        let job = self.serve(id)?;
        self.drain.take(now, job.cost);
        if self.is_empty() {
            self.drain.stop();
        }
        Some(job)
    }

    /// Takes out the jobs whose deadline has passed.
    pub fn remove_expired(&mut self, now: Time) -> Vec<Refused<T>> {
        let mut gone = Vec::new();
        while let Some(&(deadline, id)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            if let Some(job) = self.remove(id) {
                let wait = self.estimated_wait(now, &job.requester, job.priority);
                let why = Refusal::Expired(retry(wait));
                gone.push(Refused { job, reason: why });
            } else {
                self.deadlines.pop_first();
            }
        }
        gone
    }

    /// When the next deadline passes.
    pub fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|&(deadline, _)| deadline)
    }

    /// Charges what a job cost above its estimate; its account and caller wait longer for it.
    pub fn charge(&mut self, who: &Requester, cost: u64) {
        self.schedule
            .charge(&who.account, cost, who.account_weight, false);
        if let Some(account) = self.accounts.get_mut(&who.account) {
            account
                .schedule
                .charge(&who.caller, cost, who.caller_weight, false);
        }
    }

    /// The time that a new job of a caller would wait, as far as the rate is known.
    pub fn estimated_wait(&mut self, now: Time, who: &Requester, priority: i32) -> Duration {
        let Some(rate) = self.drain.rate(now) else {
            return Duration::ZERO;
        };
        let Some(account) = self.accounts.get(&who.account) else {
            return Duration::ZERO;
        };
        let Some(caller) = account.callers.get(&who.caller) else {
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
        // All that waits bounds the wait too: a part that others leave is served to the rest.
        let lag = account.schedule.lag(&who.caller, caller.weight);
        let own = caller.cost_before(priority).saturating_sub(lag) as f64 / part;
        let all: u64 = self.accounts.values().map(|a| a.cost).sum();
        Duration::try_from_secs_f64(own.min(all as f64) / rate).unwrap_or(MOST_RETRY)
    }

    /// The count of jobs of an account and of a caller.
    fn counts(&self, who: &Requester) -> (usize, usize) {
        let Some(account) = self.accounts.get(&who.account) else {
            return (0, 0);
        };
        let own = account.callers.get(&who.caller).map_or(0, |c| c.jobs.len());
        (account.jobs, own)
    }

    fn insert(&mut self, now: Time, job: Job<T>) -> u64 {
        self.drain.start(now);
        self.arrivals += 1;
        let id = self.arrivals;
        let key = (job.priority, job.deadline, id);
        let who = &job.requester;
        self.deadlines.insert((job.deadline, id));
        self.places
            .insert(id, (who.account.clone(), who.caller.clone(), key));
        self.schedule.activate(&who.account);
        let account = self
            .accounts
            .entry(who.account.clone())
            .or_insert_with(Account::new);
        account.weight = who.account_weight;
        account.insert(key, job);
        id
    }

    /// Takes a job out and charges it.
    fn serve(&mut self, id: u64) -> Option<Job<T>> {
        let (account, caller, _) = self.places.get(&id)?.clone();
        let waiting = self.accounts.get(&account)?.callers.get(&caller)?;
        let (cost, caller_weight) = (waiting.jobs.first_key_value()?.1.job.cost, waiting.weight);
        let node = self.accounts.get_mut(&account)?;
        node.schedule.charge(&caller, cost, caller_weight, true);
        let weight = node.weight;
        self.schedule.charge(&account, cost, weight, true);
        self.remove(id)
    }

    /// Takes a job out.
    fn remove(&mut self, id: u64) -> Option<Job<T>> {
        let (name, caller, key) = self.places.remove(&id)?;
        self.deadlines.remove(&(key.1, id));
        let account = self.accounts.get_mut(&name)?;
        let job = account.remove(&caller, &key)?;
        if account.jobs == 0 {
            self.schedule.deactivate(&name);
        }
        // An account without jobs stays while it has callers in debt, until its own debt is over.
        let schedule = &self.schedule;
        if self.accounts.len() > 2 * schedule.len() + TRIES {
            self.accounts
                .retain(|name, account| account.jobs > 0 || schedule.remembers(name));
        }
        Some(job)
    }

    fn note_pass(&mut self, id: u64) {
        let Some((account, caller, key)) = self.places.get(&id) else {
            return;
        };
        let caller = self
            .accounts
            .get_mut(account)
            .and_then(|a| a.callers.get_mut(caller));
        if let Some(waiting) = caller.and_then(|c| c.jobs.get_mut(key)) {
            waiting.passes += 1;
        }
    }

    /// The account with the largest part of the queue for its weight.
    fn largest(&self) -> Option<AccountId> {
        let part = |a: &Account<T>| a.cost as f64 / a.weight;
        self.accounts
            .iter()
            .filter(|(_, a)| a.jobs > 0)
            .max_by(|a, b| part(a.1).total_cmp(&part(b.1)).then_with(|| b.0.cmp(a.0)))
            .map(|(name, _)| name.clone())
    }

    /// The last job of the account's caller with the largest part of its queue.
    fn last_of(&self, account: &AccountId) -> Option<u64> {
        let part = |c: &Caller<T>| c.cost as f64 / c.weight;
        let callers = &self.accounts.get(account)?.callers;
        let (_, caller) = callers
            .iter()
            .max_by(|a, b| part(a.1).total_cmp(&part(b.1)).then_with(|| b.0.cmp(a.0)))?;
        caller.jobs.last_key_value().map(|(key, _)| key.2)
    }
}

/// A time to come back that is worth naming.
fn retry(wait: Duration) -> Duration {
    wait.mul_f64(RETRY_MARGIN).clamp(LEAST_RETRY, MOST_RETRY)
}
