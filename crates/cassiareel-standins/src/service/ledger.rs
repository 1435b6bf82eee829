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
#[derive(Clone, Debug, Default)]
pub struct Ledger(Arc<Mutex<BTreeMap<String, Entry>>>);

impl Ledger {
    /// Notes that an order came.
    pub(super) fn receive(&self, key: &str) {
        self.lock().entry(key.to_owned()).or_default().received += 1;
    }

    /// Notes that an order ran, and tells how often it has.
    pub(super) fn run(&self, key: &str) -> u32 {
        let mut entries = self.lock();
        let entry = entries.entry(key.to_owned()).or_default();
        entry.runs += 1;
        entry.runs
    }

    /// An order's entry.
    pub fn entry(&self, key: &str) -> Option<Entry> {
        self.lock().get(key).cloned()
    }

    /// How often an order ran.
    pub fn runs(&self, key: &str) -> u32 {
        self.entry(key).map_or(0, |entry| entry.runs)
    }

    /// All orders by their names.
    pub fn entries(&self) -> BTreeMap<String, Entry> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Entry>> {
        self.0.lock().expect("no holder panics")
    }
}
