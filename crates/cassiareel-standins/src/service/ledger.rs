//! The count of every run of each order.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
};

use serde::Serialize;

/// An order in the ledger.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Times that the order came.
    pub received: u32,
    /// Times that the order ran.
    pub runs: u32,
}

/// The ledger, shared by the backend servers of a service.
///
/// Runs are counted by the name that came with an order and by the number in its body, so that an
/// order which came twice under two names still shows as run twice.
#[derive(Clone, Debug, Default)]
pub struct Ledger(Arc<Mutex<LedgerState>>);

#[derive(Debug, Default)]
struct LedgerState {
    entries: BTreeMap<String, Entry>,
    runs_by_number: BTreeMap<String, u32>,
}

impl Ledger {
    /// Notes that an order came.
    pub(super) fn record_received(&self, key: &str) {
        let mut state = self.lock();
        state.entries.entry(key.to_owned()).or_default().received += 1;
    }

    /// Notes that an order ran, and tells how often it has; `number` is the one in its body.
    pub(super) fn record_run(&self, key: &str, number: Option<&str>) -> u32 {
        let mut state = self.lock();
        if let Some(number) = number {
            *state.runs_by_number.entry(number.to_owned()).or_default() += 1;
        }
        let entry = state.entries.entry(key.to_owned()).or_default();
        entry.runs += 1;
        entry.runs
    }

    /// An order's entry.
    pub fn entry(&self, key: &str) -> Option<Entry> {
        self.lock().entries.get(key).cloned()
    }

    /// How often an order ran.
    pub fn runs(&self, key: &str) -> u32 {
        self.entry(key).map_or(0, |entry| entry.runs)
    }

    /// How often the order of a number in its body ran, under whatever names.
    pub fn runs_of_number(&self, number: &str) -> u32 {
        self.lock().runs_by_number.get(number).copied().unwrap_or(0)
    }

    /// All orders by their names.
    pub fn entries(&self) -> BTreeMap<String, Entry> {
        self.lock().entries.clone()
    }

    fn lock(&self) -> MutexGuard<'_, LedgerState> {
        self.0.lock().expect("no holder panics")
    }
}
