//! What waits of one client account.

use std::collections::{BTreeMap, HashMap};

use super::{schedule::Schedule, Job};
use crate::kernel::{CallerId, Time};

/// A job's place among its caller's: by priority, then by deadline, then by arrival.
pub(super) type Key = (i32, Time, u64);

/// A client account with something that waits, or a debt.
#[derive(Clone, Debug)]
pub(super) struct Account<T> {
    pub(super) weight: f64,
    pub(super) callers: HashMap<CallerId, Caller<T>>,
    pub(super) schedule: Schedule<CallerId>,
    pub(super) jobs: usize,
    pub(super) cost: u64,
}

/// A caller with something that waits.
#[derive(Clone, Debug)]
pub(super) struct Caller<T> {
    pub(super) weight: f64,
    pub(super) jobs: BTreeMap<Key, Waiting<T>>,
    pub(super) cost: u64,
}

/// A job and how often others that fit were taken before it.
#[derive(Clone, Debug)]
pub(super) struct Waiting<T> {
    pub(super) job: Job<T>,
    pub(super) passes: u32,
}

impl<T> Account<T> {
    pub(super) fn new() -> Account<T> {
        Account {
            weight: 1.0,
            callers: HashMap::new(),
            schedule: Schedule::default(),
            jobs: 0,
            cost: 0,
        }
    }

    pub(super) fn insert(&mut self, key: Key, job: Job<T>) {
        self.jobs += 1;
        self.cost += job.cost;
        self.schedule.activate(&job.requester.caller);
        let caller = self
            .callers
            .entry(job.requester.caller.clone())
            .or_insert_with(|| Caller {
                weight: 1.0,
                jobs: BTreeMap::new(),
                cost: 0,
            });
        caller.weight = job.requester.caller_weight;
        caller.cost += job.cost;
        caller.jobs.insert(key, Waiting { job, passes: 0 });
    }

    pub(super) fn remove(&mut self, name: &CallerId, key: &Key) -> Option<Job<T>> {
        let caller = self.callers.get_mut(name)?;
        let job = caller.jobs.remove(key)?.job;
        caller.cost -= job.cost;
        self.cost -= job.cost;
        self.jobs -= 1;
        if caller.jobs.is_empty() {
            self.callers.remove(name);
            self.schedule.deactivate(name);
        }
        Some(job)
    }
}

impl<T> Caller<T> {
    /// What waits before a new job of a priority.
    pub(super) fn cost_before(&self, priority: i32) -> u64 {
        let last = (priority, Time::MAX, u64::MAX);
        self.jobs
            .range(..=last)
            .map(|(_, waiting)| waiting.job.cost)
            .sum()
    }
}
