//! When changes of a limit are passed on to other nodes.

use std::{collections::HashMap, time::Duration};

use super::super::{suspect::ProcessKey, Time};

/// The shortest interval between two changes of one process's limit that a node passes on. A
/// process may name another limit in each answer.
const SPREAD_INTERVAL: Duration = Duration::from_secs(1);

/// What was passed on of one process's limit.
#[derive(Clone, Copy, Debug)]
struct Passed {
    at: Time,
    /// Whether this node learnt of a later change itself, which is not passed on yet.
    is_outdated: bool,
}

/// Bounds how often a node passes changes on, since each one costs a message to each node.
#[derive(Clone, Debug, Default)]
pub struct Spread {
    passed: HashMap<ProcessKey, Passed>,
    /// When this node last exchanged all that it knows with another one.
    exchanged: Option<Time>,
}

impl Spread {
    /// Reports whether a change that was received from another node is to be passed on. If not, the
    /// nodes that miss it learn of it with permits or from answers.
    pub fn accept(&mut self, process: ProcessKey, now: Time) -> bool {
        let last = self.passed.get(&process);
        if last.is_some_and(|last| now < last.at + SPREAD_INTERVAL) {
            return false;
        }
        let passed = Passed {
            at: now,
            is_outdated: false,
        };
        self.passed.insert(process, passed);
        true
    }

    /// Reports whether a change that this node learnt of itself is to be passed on now. If not, the
    /// process becomes due later.
    pub fn begin(&mut self, process: ProcessKey, now: Time) -> bool {
        let is_accepted = self.accept(process, now);
        if let Some(passed) = self.passed.get_mut(&process).filter(|_| !is_accepted) {
            passed.is_outdated = true;
        }
        is_accepted
    }

    /// Returns the processes whose limit is to be passed on now, since it changed again.
    pub fn take_due(&mut self, now: Time) -> Vec<ProcessKey> {
        let is_due = |passed: &Passed| passed.is_outdated && now >= passed.at + SPREAD_INTERVAL;
        let mut due = Vec::new();
        for (process, passed) in &mut self.passed {
            if is_due(passed) {
                due.push(*process);
                *passed = Passed {
                    at: now,
                    is_outdated: false,
                };
            }
        }
        self.passed
            .retain(|_, passed| passed.is_outdated || now < passed.at + SPREAD_INTERVAL);
        due
    }

    /// Reports whether this node may exchange all that it knows with another one now.
    pub fn accept_exchange(&mut self, now: Time) -> bool {
        let last = self.exchanged;
        let is_accepted = last.is_none_or(|last| now >= last + SPREAD_INTERVAL);
        if is_accepted {
            self.exchanged = Some(now);
        }
        is_accepted
    }

    /// Reports whether a change is still to be passed on.
    pub fn is_pending(&self) -> bool {
        self.passed.values().any(|passed| passed.is_outdated)
    }
}
