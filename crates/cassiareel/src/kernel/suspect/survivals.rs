use std::{collections::HashMap, hash::Hash};

use super::{Time, EXONERATION_TIME};

/// Number of survived runs that are kept for each half of [`EXONERATION_TIME`].
const MAX_SURVIVALS: usize = 4096;

/// What servers survived recently, in two maps that each cover half of [`EXONERATION_TIME`].
#[derive(Clone, Debug)]
pub(super) struct Survivals<Key> {
    newer_since: Time,
    newer: HashMap<Key, Time>,
    older: HashMap<Key, Time>,
}

impl<Key> Survivals<Key>
where
    Key: Eq + Hash,
{
    pub(super) fn record(&mut self, key: Key, now: Time) {
        if now.saturating_sub(self.newer_since) > EXONERATION_TIME / 2 {
            self.older = std::mem::take(&mut self.newer);
            self.newer_since = now;
        }
        if self.newer.len() < MAX_SURVIVALS {
            self.newer.insert(key, now);
        }
    }

    /// Reports whether a crash at a time doesn't count, since servers survived the same before it
    /// or at any time after.
    pub(super) fn clears(&self, key: &Key, at: Time) -> bool {
        let survived_at = self.newer.get(key).or_else(|| self.older.get(key));
        survived_at.is_some_and(|survived_at| at <= *survived_at + EXONERATION_TIME)
    }
}

impl<Key> Default for Survivals<Key> {
    fn default() -> Self {
        Survivals {
            newer_since: Time::ZERO,
            newer: HashMap::new(),
            older: HashMap::new(),
        }
    }
}
