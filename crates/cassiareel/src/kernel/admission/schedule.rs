//! Turns in proportion to weights, by virtual time.

use std::{
    collections::{BTreeSet, HashMap},
    hash::Hash,
};

/// Units of virtual time for one unit of cost at weight 1.
const SCALE: f64 = 1024.0;
/// The smallest weight; a smaller one counts as this.
const LEAST_WEIGHT: f64 = 1e-3;

/// Virtual time that a key which was idle may lag behind, as the cost that it can catch up at weight
/// 1: a few requests. Without it, a key that seldom has more than one request waiting loses the
/// turns between two of them to the keys that always have some.
const CREDIT: u64 = 8_192;
/// Idle keys that are remembered for each active one, and beside these.
const IDLE_FACTOR: usize = 4;
const IDLE_LEAST: usize = 64;

/// Start-time fair queueing (Goyal, Vin and Cheng 1996) over keys.
///
/// Each key has a tag that rises with what it is charged, divided by its weight; the active key with
/// the lowest tag is next. A key that comes back from a pause starts a bounded credit behind virtual
/// time, so that a long pause earns no more than a short one, and one that went idle in debt finds
/// its debt again.
#[derive(Clone, Debug)]
pub(super) struct Schedule<K> {
    now: u64,
    active: BTreeSet<(u64, K)>,
    tags: HashMap<K, u64>,
    // Keys that are not active and whose tags still differ from a newcomer's.
    idle: BTreeSet<(u64, K)>,
}

impl<K> Default for Schedule<K> {
    fn default() -> Schedule<K> {
        Schedule {
            now: 0,
            active: BTreeSet::new(),
            tags: HashMap::new(),
            idle: BTreeSet::new(),
        }
    }
}

impl<K> Schedule<K>
where
    K: Clone + Eq + Hash + Ord,
{
    /// Makes a key active.
    pub(super) fn activate(&mut self, key: &K) {
        let kept = self.tags.get(key).copied();
        if kept.is_some_and(|tag| self.active.contains(&(tag, key.clone()))) {
            return;
        }
        if let Some(tag) = kept {
            self.idle.remove(&(tag, key.clone()));
        }
        let tag = kept.unwrap_or(0).max(self.newcomer());
        self.tags.insert(key.clone(), tag);
        self.active.insert((tag, key.clone()));
    }

    /// Makes a key inactive; its tag is kept while it is in debt.
    pub(super) fn deactivate(&mut self, key: &K) {
        let Some(&tag) = self.tags.get(key) else {
            return;
        };
        if self.active.remove(&(tag, key.clone())) {
            self.idle.insert((tag, key.clone()));
        }
        self.forget();
    }

    /// Charges a key for work, and brings virtual time up to it where it is the one served.
    pub(super) fn charge(&mut self, key: &K, cost: u64, weight: f64, served: bool) {
        let Some(&tag) = self.tags.get(key) else {
            return;
        };
        if served {
            self.now = self.now.max(tag);
        }
        let step = (cost as f64 * SCALE / weight.max(LEAST_WEIGHT)) as u64;
        let next = tag.saturating_add(step);
        self.tags.insert(key.clone(), next);
        for set in [&mut self.active, &mut self.idle] {
            if set.remove(&(tag, key.clone())) {
                set.insert((next, key.clone()));
            }
        }
        self.forget();
    }

    /// The active keys, the next one first.
    pub(super) fn order(&self) -> impl Iterator<Item = &K> {
        self.active.iter().map(|(_, key)| key)
    }

    /// Keys that are remembered, active or not.
    pub(super) fn len(&self) -> usize {
        self.tags.len()
    }

    /// The cost that a key can catch up before it has had its part, at a weight.
    pub(super) fn lag(&self, key: &K, weight: f64) -> u64 {
        let tag = self
            .tags
            .get(key)
            .copied()
            .unwrap_or(0)
            .max(self.newcomer());
        (self.now.saturating_sub(tag) as f64 * weight / SCALE) as u64
    }

    /// The tag of a key that is not remembered.
    fn newcomer(&self) -> u64 {
        self.now.saturating_sub(CREDIT * SCALE as u64)
    }

    /// Reports whether a key is remembered.
    pub(super) fn remembers(&self, key: &K) -> bool {
        self.tags.contains_key(key)
    }

    /// Forgets idle keys that are no different from newcomers, those nearest to it where too many
    /// are idle, and all when none is active: then nobody waited for what they got.
    fn forget(&mut self) {
        if self.active.is_empty() {
            self.tags.clear();
            self.idle.clear();
            return;
        }
        let newcomer = self.newcomer();
        let most = IDLE_FACTOR * self.active.len() + IDLE_LEAST;
        while self.idle.first().is_some_and(|(tag, _)| *tag <= newcomer) || self.idle.len() > most {
            if let Some((_, key)) = self.idle.pop_first() {
                self.tags.remove(&key);
            }
        }
    }
}
