//! A ledger that counts every run of each order.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
};

use serde::Serialize;

/// The counts of an order in the ledger.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// How many times the order was received.
    pub received: u32,
    /// How many times the order ran.
    pub runs: u32,
}

/// A ledger that the backend servers of a service share. Clones refer to the same ledger.
///
/// Runs are counted by the key of an order and also by the number in its body, so that an order that
/// was received with two different keys is still counted as run twice.
#[derive(Clone, Debug, Default)]
pub struct Ledger(Arc<Mutex<LedgerState>>);

#[derive(Debug, Default)]
struct LedgerState {
    entries: BTreeMap<String, Entry>,
    runs_by_number: BTreeMap<String, u32>,
}

impl Ledger {
    /// Records that an order was received.
    pub(super) fn record_received(&self, key: &str) {
        let mut state = self.lock();
        state.entries.entry(key.to_owned()).or_default().received += 1;
    }

    /// Records that an order ran, and returns how often its key has run. `number` is the order number
    /// in its body.
    pub(super) fn record_run(&self, key: &str, number: Option<&str>) -> u32 {
        let mut state = self.lock();
        if let Some(number) = number {
            *state.runs_by_number.entry(number.to_owned()).or_default() += 1;
        }
        let entry = state.entries.entry(key.to_owned()).or_default();
        entry.runs += 1;
        entry.runs
    }

    /// Returns the entry of an order, if it was received or ran.
    pub fn entry(&self, key: &str) -> Option<Entry> {
        self.lock().entries.get(key).cloned()
    }

    /// Returns how often the order with this key ran.
    pub fn runs(&self, key: &str) -> u32 {
        self.entry(key).map_or(0, |entry| entry.runs)
    }

    /// Returns how often the order with this number in its body ran, with any key.
    pub fn runs_of_number(&self, number: &str) -> u32 {
        self.lock().runs_by_number.get(number).copied().unwrap_or(0)
    }

    /// Returns the entries of all orders by key.
    pub fn entries(&self) -> BTreeMap<String, Entry> {
        self.lock().entries.clone()
    }

    fn lock(&self) -> MutexGuard<'_, LedgerState> {
        self.0.lock().expect("no holder panics")
    }
}
