/*!
What a read of the configuration proves, where the store may have been restored from a copy.

Versions are the operator's and only rise, so that the newest one known stays in force whatever the
store holds. A read also proves that no later version was acknowledged before it began, which renews
the time for which keys may be trusted. After a restore it does not: a version that revoked a key may
have been acknowledged and lost before any node read it. For a short time after a node first sees an
era, only a version that is higher than the one in force renews that time, since the operator is
about to write lost versions again. After that any read does, also one with a lower version that
nobody has written again: otherwise keys would expire on all nodes until the next change.
*/

use std::{cmp::Ordering, time::Duration};

use crate::{clock::Moment, model::StoreEra};

/// How long the operator has to write lost versions again. With an outage of two seconds and the
/// time between reads it stays below the shortest bound on revoked keys.
const SETTLING_TIME: Duration = Duration::from_secs(1);

/// The eras in which a node read the configuration.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct ConfigEras {
    era: Option<StoreEra>,
    /// When the era counts as settled; `None` where it always did.
    settled_at: Option<Moment>,
    /// Whether the store held the version in force, or a higher one, in this era.
    is_stored: bool,
}

/// What a read of the configuration proves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigRead {
    /// Nothing: it is the late answer of an earlier state of the store.
    Late,
    /// What the store holds, but not that nothing later was acknowledged.
    Unsettled,
    /// That no later version was acknowledged before the read.
    Complete,
}

impl ConfigRead {
    /// Returns the name in logs.
    pub fn name(self) -> &'static str {
        match self {
            ConfigRead::Late => "nothing",
            ConfigRead::Unsettled => "contents",
            ConfigRead::Complete => "newest",
        }
    }
}

impl ConfigEras {
    /// Returns the latest era; `None` before the first read.
    pub fn era(&self) -> Option<StoreEra> {
        self.era
    }

    /// Records that the store is in an era at `now`. Earlier eras are ignored.
    pub fn record_era(&mut self, era: StoreEra, now: Moment) {
        if self.era.is_some_and(|known| era <= known) {
            return;
        }
        *self = ConfigEras {
            era: Some(era),
            settled_at: self.era.map(|_| now + SETTLING_TIME),
            is_stored: false,
        };
    }

    /// Records a read that began at `began` and returned a version at `now`, and returns what it
    /// proves. `order` is how that version compares with the one in force.
    pub fn record_read(
        &mut self,
        era: StoreEra,
        order: Ordering,
        began: Moment,
        now: Moment,
    ) -> ConfigRead {
        self.record_era(era, now);
        if self.era.is_some_and(|known| era < known) {
            return ConfigRead::Late;
        }
        match order {
            Ordering::Greater => {
                self.settled_at = None;
                self.is_stored = true;
            }
            Ordering::Equal => self.is_stored = true,
            Ordering::Less if self.is_stored => return ConfigRead::Late,
            Ordering::Less => {}
        }
        if self.settled_at.is_some_and(|settled| began < settled) {
            ConfigRead::Unsettled
        } else {
            ConfigRead::Complete
        }
    }
}
