//! Weighted fair scheduling by virtual time.

use std::{
    collections::{BTreeSet, HashMap},
    hash::Hash,
};

/// Units of virtual time per unit of cost at weight 1.
const VIRTUAL_TIME_SCALE: f64 = 1024.0;
/// The smallest weight; smaller ones are raised to it.
const MIN_WEIGHT: f64 = 1e-3;

/// How far an idle key may fall behind virtual time, as the cost that it can then catch up at
/// weight 1: a few requests. Without this credit, a key that rarely has more than one request
/// queued loses the turns between two requests to the keys that always have some.
const MAX_CREDIT_TOKENS: u64 = 8_192;
/// Idle keys that are kept for each active key, in addition to [`MIN_IDLE_KEYS`].
const IDLE_KEYS_PER_ACTIVE: usize = 4;
/// Idle keys that may be kept regardless of the number of active keys.
const MIN_IDLE_KEYS: usize = 64;

/// Start-time fair queueing (Goyal, Vin and Cheng 1996) over keys.
///
/// Each key has a tag that grows by the cost it is charged divided by its weight; the active key
/// with the lowest tag is next. A key that becomes active again starts at most a fixed credit
/// behind virtual time, so that a long pause earns no more than a short one. A key that became idle
/// in debt keeps its debt.
#[derive(Clone, Debug)]
pub(super) struct FairSchedule<K> {
    virtual_time: u64,
    active: BTreeSet<(u64, K)>,
    tags: HashMap<K, u64>,
    // Inactive keys whose tags still differ from the initial tag of a new key.
    idle: BTreeSet<(u64, K)>,
}

impl<K> Default for FairSchedule<K> {
    fn default() -> FairSchedule<K> {
        FairSchedule {
            virtual_time: 0,
            active: BTreeSet::new(),
            tags: HashMap::new(),
            idle: BTreeSet::new(),
        }
    }
}

impl<K> FairSchedule<K>
where
    K: Clone + Eq + Hash + Ord,
{
    /// Marks a key as active.
    pub(super) fn activate(&mut self, key: &K) {
        let known_tag = self.tags.get(key).copied();
        if known_tag.is_some_and(|tag| self.active.contains(&(tag, key.clone()))) {
            return;
        }
        if let Some(tag) = known_tag {
            self.idle.remove(&(tag, key.clone()));
        }
        let tag = known_tag.unwrap_or(0).max(self.initial_tag());
        self.tags.insert(key.clone(), tag);
        self.active.insert((tag, key.clone()));
    }

    /// Marks a key as inactive. Its tag is kept while it is above the initial tag of a new key.
    pub(super) fn deactivate(&mut self, key: &K) {
        let Some(&tag) = self.tags.get(key) else {
            return;
        };
        if self.active.remove(&(tag, key.clone())) {
            self.idle.insert((tag, key.clone()));
        }
        self.prune();
    }

    /// Charges a key for work. If the key is being served, virtual time advances to its tag.
    pub(super) fn charge(&mut self, key: &K, cost: u64, weight: f64, served: bool) {
        let Some(&tag) = self.tags.get(key) else {
            return;
        };
        if served {
            self.virtual_time = self.virtual_time.max(tag);
        }
        let step = (cost as f64 * VIRTUAL_TIME_SCALE / weight.max(MIN_WEIGHT)) as u64;
        let next = tag.saturating_add(step);
        self.tags.insert(key.clone(), next);
        for set in [&mut self.active, &mut self.idle] {
            if set.remove(&(tag, key.clone())) {
                set.insert((next, key.clone()));
            }
        }
        self.prune();
    }

    /// Iterates over the active keys in the order in which they are served.
    pub(super) fn in_order(&self) -> impl Iterator<Item = &K> {
        self.active.iter().map(|(_, key)| key)
    }

    /// Returns the number of tracked keys, active or idle.
    pub(super) fn len(&self) -> usize {
        self.tags.len()
    }

    /// Returns the cost that a key of the given weight may use until it has caught up with virtual
    /// time.
    pub(super) fn lag(&self, key: &K, weight: f64) -> u64 {
        let tag = self
            .tags
            .get(key)
            .copied()
            .unwrap_or(0)
            .max(self.initial_tag());
        (self.virtual_time.saturating_sub(tag) as f64 * weight / VIRTUAL_TIME_SCALE) as u64
    }

    /// Returns the tag that a new key starts with.
    fn initial_tag(&self) -> u64 {
        self.virtual_time
            .saturating_sub(MAX_CREDIT_TOKENS * VIRTUAL_TIME_SCALE as u64)
    }

    /// Reports whether a key is tracked.
    pub(super) fn contains(&self, key: &K) -> bool {
        self.tags.contains_key(key)
    }

    /// Drops idle keys that no longer differ from new keys and, if too many are idle, those with
    /// the lowest tags. Drops all keys if none is active, since what they used then delayed no one.
    fn prune(&mut self) {
        if self.active.is_empty() {
            self.tags.clear();
            self.idle.clear();
            return;
        }
        let initial = self.initial_tag();
        let max_idle = IDLE_KEYS_PER_ACTIVE * self.active.len() + MIN_IDLE_KEYS;
        while self.idle.first().is_some_and(|(tag, _)| *tag <= initial)
            || self.idle.len() > max_idle
        {
            if let Some((_, key)) = self.idle.pop_first() {
                self.tags.remove(&key);
            }
        }
    }
}
