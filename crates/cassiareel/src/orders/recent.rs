//! Records that this node wrote recently, and the eras of the store.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

use crate::{
    kernel::order::{Record, State},
    store::StoreEra,
};

/// The most bytes of outcomes that are remembered; of further orders it is remembered that they ran.
const MAX_OUTCOME_BYTES: usize = 64 << 20;

/// Times that matter after the store was restored from a copy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct RestoreTimes {
    /// Time for which a node remembers a record. It covers the age of a copy and an outage.
    pub(super) memory: Duration,
    /// Time between two checks for a new era by a node that remembers records.
    pub(super) check: Duration,
    /// Time from the first sight of a new era until the nodes have written lost records again.
    pub(super) settling: Duration,
}

impl Default for RestoreTimes {
    /// Returns a memory of 60 seconds, checks each 3 seconds and a settling time of 30 seconds.
    fn default() -> RestoreTimes {
        RestoreTimes {
            memory: Duration::from_secs(60),
            check: Duration::from_secs(3),
            settling: Duration::from_secs(30),
        }
    }
}

/// A record, and whether the store has it.
#[derive(Clone, Debug)]
struct RecentRecord {
    record: Record,
    since: Instant,
    /// The era in which the store acknowledged it, if it did.
    stored_in: Option<StoreEra>,
}

impl RecentRecord {
    fn outcome_bytes(&self) -> usize {
        match &self.record.state {
            State::Done { outcome } => outcome.body.len(),
            _ => 0,
        }
    }
}

/// The records that a node wrote recently, by the name of their object.
#[derive(Debug)]
pub(super) struct RecentRecords {
    times: RestoreTimes,
    state: Mutex<Recent>,
}

#[derive(Debug, Default)]
struct Recent {
    era: StoreEra,
    settled_at: Option<Instant>,
    records: HashMap<String, RecentRecord>,
    // The names in the order of `since`; an entry of another time than the record's is outdated.
    ages: VecDeque<(Instant, String)>,
    outcome_bytes: usize,
}

impl RecentRecords {
    /// Creates an empty memory of a node that has seen no era yet.
    pub(super) fn new(times: RestoreTimes) -> RecentRecords {
        RecentRecords {
            times,
            state: Mutex::default(),
        }
    }

    /// Returns the time between two checks for a new era.
    pub(super) fn check_interval(&self) -> Duration {
        self.times.check
    }

    /// Notes the store's era; returns the earlier one if this one is new.
    pub(super) fn observe_era(&self, era: StoreEra) -> Option<StoreEra> {
        let mut state = self.lock();
        let before = state.era;
        if era <= before {
            return None;
        }
        state.era = era;
        state.settled_at = Some(Instant::now() + self.times.settling);
        Some(before)
    }

    /// Returns the time until which records of earlier calls may be missing; `None` if the store was
    /// never restored.
    pub(super) fn settled_at(&self) -> Option<Instant> {
        self.lock().settled_at
    }

    /// Remembers a record; `stored_in` is the era in which the store acknowledged it, if it did.
    ///
    /// An attempt that sent nothing needs no record, and is forgotten. The record of an attempt that
    /// may have sent is not replaced by that of another one, whose claim a restored store took.
    pub(super) fn remember(&self, name: &str, record: &Record, stored_in: Option<StoreEra>) {
        let mut state = self.lock();
        state.remove_older_than(self.times.memory);
        if state.is_held_by_other(name, record) {
            return;
        }
        state.remove(name);
        if record.state == State::NotRun {
            return;
        }
        let since = Instant::now();
        let mut recent = RecentRecord {
            record: record.clone(),
            since,
            stored_in,
        };
        if state.outcome_bytes + recent.outcome_bytes() > MAX_OUTCOME_BYTES {
            recent.record.state = State::Expired { ran: Some(true) };
        }
        state.outcome_bytes += recent.outcome_bytes();
        state.records.insert(name.to_owned(), recent);
        state.ages.push_back((since, name.to_owned()));
    }

    /// Remembers the claim of an order that is about to be sent, unless its write was acknowledged.
    pub(super) fn remember_claim(&self, name: &str, claim: &Record) {
        let is_known = self.lock().records.contains_key(name);
        if !is_known {
            self.remember(name, claim, None);
        }
    }

    /// Notes that the store has a record, or one that replaces it, in an era.
    pub(super) fn confirm(&self, name: &str, era: StoreEra) {
        if let Some(recent) = self.lock().records.get_mut(name) {
            recent.stored_in = Some(era);
        }
    }

    /// Returns the name of a remembered record, if there is one.
    pub(super) fn any_name(&self) -> Option<String> {
        let mut state = self.lock();
        state.remove_older_than(self.times.memory);
        state.records.keys().next().cloned()
    }

    /// Returns the records that the store has not acknowledged in its current era, the newest first,
    /// since a copy lacks the newest ones.
    pub(super) fn unconfirmed(&self) -> Vec<(String, Record)> {
        let state = self.lock();
        let is_current = |recent: &RecentRecord| recent.stored_in == Some(state.era);
        let mut found: Vec<_> = state
            .records
            .iter()
            .filter(|(_, recent)| !is_current(recent))
            .collect();
        found.sort_by_key(|(_, recent)| std::cmp::Reverse(recent.since));
        found
            .into_iter()
            .map(|(name, recent)| (name.clone(), recent.record.clone()))
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, Recent> {
        self.state.lock().expect("the lock is not poisoned")
    }
}

impl Recent {
    fn is_held_by_other(&self, name: &str, record: &Record) -> bool {
        self.records
            .get(name)
            .is_some_and(|recent| recent.record.attempt != record.attempt)
    }

    fn remove(&mut self, name: &str) {
        if let Some(recent) = self.records.remove(name) {
            self.outcome_bytes -= recent.outcome_bytes();
        }
    }

    fn remove_older_than(&mut self, age: Duration) {
        while let Some((since, name)) = self.ages.pop_front() {
            if since.elapsed() < age {
                self.ages.push_front((since, name));
                return;
            }
            if self.records.get(&name).is_some_and(|r| r.since == since) {
                self.remove(&name);
            }
        }
    }
}
