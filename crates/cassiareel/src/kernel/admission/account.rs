//! The queued jobs of one client account.

use std::collections::{BTreeMap, HashMap};

use super::{schedule::FairSchedule, Job};
use crate::kernel::{CallerId, Time};

/// The sort key of a job among the jobs of its caller: priority, then deadline, then arrival.
pub(super) type JobKey = (i32, Time, u64);

/// The queue of a client account that has queued jobs, or whose callers are still in debt.
#[derive(Clone, Debug)]
pub(super) struct AccountQueue<T> {
    pub(super) weight: f64,
    pub(super) callers: HashMap<CallerId, CallerQueue<T>>,
    pub(super) schedule: FairSchedule<CallerId>,
    pub(super) jobs: usize,
    pub(super) cost: u64,
}

/// The queue of a caller with at least one queued job.
#[derive(Clone, Debug)]
pub(super) struct CallerQueue<T> {
    pub(super) weight: f64,
    pub(super) jobs: BTreeMap<JobKey, QueuedJob<T>>,
    pub(super) cost: u64,
}

/// A job with the number of times that it was skipped in favour of a job that fit.
#[derive(Clone, Debug)]
pub(super) struct QueuedJob<T> {
    pub(super) job: Job<T>,
    pub(super) skips: u32,
}

impl<T> AccountQueue<T> {
    pub(super) fn new() -> AccountQueue<T> {
        AccountQueue {
            weight: 1.0,
            callers: HashMap::new(),
            schedule: FairSchedule::default(),
            jobs: 0,
            cost: 0,
        }
    }

    pub(super) fn insert(&mut self, key: JobKey, job: Job<T>) {
        self.jobs += 1;
        self.cost += job.cost;
        self.schedule.activate(&job.requester.caller);
        let caller = self
            .callers
            .entry(job.requester.caller.clone())
            .or_insert_with(|| CallerQueue {
                weight: 1.0,
                jobs: BTreeMap::new(),
                cost: 0,
            });
        caller.weight = job.requester.caller_weight;
        caller.cost += job.cost;
        caller.jobs.insert(key, QueuedJob { job, skips: 0 });
    }

    pub(super) fn remove(&mut self, name: &CallerId, key: &JobKey) -> Option<Job<T>> {
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

impl<T> CallerQueue<T> {
    /// Returns the cost of the jobs that would run before a new job of the given priority.
    pub(super) fn cost_before(&self, priority: i32) -> u64 {
        let last = (priority, Time::MAX, u64::MAX);
        self.jobs
            .range(..=last)
            .map(|(_, queued)| queued.job.cost)
            .sum()
    }
}
