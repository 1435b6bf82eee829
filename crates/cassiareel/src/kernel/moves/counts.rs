//! Counts of outcomes that merge without a store.

use std::{collections::BTreeMap, ops::AddAssign, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::kernel::{AccountId, Incarnation, NodeId, VersionId};

/// A part of a service's traffic that is moved and judged for itself.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Cell {
    /// The client account.
    pub account: AccountId,
    /// The route: the path that callers use, and the data centre where it matters.
    pub route: Arc<str>,
}

/// How a request of a version ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// Whole and as fast as the version beside it.
    Good,
    /// A refusal or a failure.
    Error,
    /// A success that ended early.
    Early,
    /// Whole, but slow against the version beside it.
    Slow,
}

/// Counts of outcomes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Tally {
    /// Requests that began: faults come soon after, while whole answers may take minutes.
    pub requests: u32,
    /// Those with an error.
    pub errors: u32,
    /// Those that ended early.
    pub early: u32,
    /// Those that were slow.
    pub slow: u32,
}

impl Tally {
    /// Counts a request that begins.
    pub fn begin(&mut self) {
        self.requests += 1;
    }

    /// Counts how a request ended.
    pub fn end(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Good => {}
            Outcome::Error => self.errors += 1,
            Outcome::Early => self.early += 1,
            Outcome::Slow => self.slow += 1,
        }
    }

    /// The counts by kind of fault: errors, early ends, slow ones.
    pub fn faults(&self) -> [u32; 3] {
        [self.errors, self.early, self.slow]
    }

    /// The higher of each count.
    pub fn max(self, other: Tally) -> Tally {
        Tally {
            requests: self.requests.max(other.requests),
            errors: self.errors.max(other.errors),
            early: self.early.max(other.early),
            slow: self.slow.max(other.slow),
        }
    }

    /// What came after an earlier tally.
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

/// What a tally is of.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// The version.
    pub version: VersionId,
    /// The cell.
    pub cell: Cell,
    /// The backend server, hashed: a fault of one server is not one of its version.
    pub server: u16,
}

/// The tallies of every node, merged by maximum.
///
/// A node counts from zero in each life; the lives of a node are counted apart and added.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts {
    tallies: BTreeMap<(NodeId, Incarnation), BTreeMap<Key, Tally>>,
}

impl Counts {
    /// Takes a tally of a node; repeats and late ones change nothing.
    pub fn merge(&mut self, node: &NodeId, life: Incarnation, key: Key, tally: Tally) {
        let of_node = self.tallies.entry((node.clone(), life)).or_default();
        let kept = of_node.entry(key).or_default();
        *kept = kept.max(tally);
    }

    /// The tallies of a node's life.
    pub fn of_node(&self, node: &NodeId, life: Incarnation) -> Option<&BTreeMap<Key, Tally>> {
        self.tallies.get(&(node.clone(), life))
    }

    /// The sum over nodes.
    pub fn sum(&self) -> BTreeMap<Key, Tally> {
        let mut sum: BTreeMap<Key, Tally> = BTreeMap::new();
        for (key, tally) in self.tallies.values().flatten() {
            *sum.entry(key.clone()).or_default() += *tally;
        }
        sum
    }

    /// Forgets versions that no move is about.
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
