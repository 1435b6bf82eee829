//! Counts of outcomes that nodes merge without a store.

use std::{collections::BTreeMap, ops::AddAssign, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::kernel::{AccountId, Incarnation, NodeId, VersionId};

/// A part of a service's traffic that is moved and judged separately.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Cell {
    /// The client account.
    pub account: AccountId,
    /// The route: the path that callers use, and the data centre where it matters.
    pub route: Arc<str>,
}

/// The outcome of a request to a version.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// Complete, and as fast as answers of the proven version.
    Good,
    /// Rejected or failed.
    Error,
    /// Successful, but ended early.
    Early,
    /// Complete, but slow compared with the proven version.
    Slow,
}

/// Counts of outcomes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Tally {
    /// Requests that started. They are counted at the start because faults occur soon after it,
    /// while a complete answer may take minutes.
    pub requests: u32,
    /// Requests that ended with an error.
    pub errors: u32,
    /// Requests that ended early.
    pub early: u32,
    /// Requests that were slow.
    pub slow: u32,
}

impl Tally {
    /// Counts the start of a request.
    pub fn begin(&mut self) {
        self.requests += 1;
    }

    /// Counts the outcome of a request.
    pub fn end(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Good => {}
            Outcome::Error => self.errors += 1,
            Outcome::Early => self.early += 1,
            Outcome::Slow => self.slow += 1,
        }
    }

    /// Returns the counts by kind of fault: errors, early ends, slow answers.
    pub fn faults(&self) -> [u32; 3] {
        [self.errors, self.early, self.slow]
    }

    /// Returns the maximum of each count.
    pub fn max(self, other: Tally) -> Tally {
        Tally {
            requests: self.requests.max(other.requests),
            errors: self.errors.max(other.errors),
            early: self.early.max(other.early),
            slow: self.slow.max(other.slow),
        }
    }

    /// Returns the counts since an earlier tally.
    pub fn since(self, earlier: Tally) -> Tally {
        Tally {
            requests: self.requests.saturating_sub(earlier.requests),
            errors: self.errors.saturating_sub(earlier.errors),
            early: self.early.saturating_sub(earlier.early),
            slow: self.slow.saturating_sub(earlier.slow),
        }
    }
}

impl AddAssign for Tally {
    fn add_assign(&mut self, other: Tally) {
        self.requests += other.requests;
        self.errors += other.errors;
        self.early += other.early;
        self.slow += other.slow;
    }
}

/// The key of a tally.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// The version.
    pub version: VersionId,
    /// The cell.
    pub cell: Cell,
    /// The hash of the backend server: a fault of one server is not a fault of its version.
    pub server: u16,
}

/// The tallies of every node, merged by maximum.
///
/// A node counts from zero in each incarnation; its incarnations are counted separately and added.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts {
    tallies: BTreeMap<(NodeId, Incarnation), BTreeMap<Key, Tally>>,
}

impl Counts {
    /// Merges a tally of a node; repeated and outdated tallies have no effect.
    pub fn merge(&mut self, node: &NodeId, incarnation: Incarnation, key: Key, tally: Tally) {
        let of_node = self.tallies.entry((node.clone(), incarnation)).or_default();
        let merged = of_node.entry(key).or_default();
        *merged = merged.max(tally);
    }

    /// Returns the tallies of a node's incarnation.
    pub fn of_node(
        &self,
        node: &NodeId,
        incarnation: Incarnation,
    ) -> Option<&BTreeMap<Key, Tally>> {
        self.tallies.get(&(node.clone(), incarnation))
    }

    /// Returns the sum over all nodes and incarnations.
    pub fn sum(&self) -> BTreeMap<Key, Tally> {
        let mut sum: BTreeMap<Key, Tally> = BTreeMap::new();
        for (key, tally) in self.tallies.values().flatten() {
            *sum.entry(key.clone()).or_default() += *tally;
        }
        sum
    }

    /// Removes the tallies whose key `keep` rejects.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&Key) -> bool,
    {
        for of_node in self.tallies.values_mut() {
            of_node.retain(|key, _| keep(key));
        }
        self.tallies.retain(|_, of_node| !of_node.is_empty());
    }
}
