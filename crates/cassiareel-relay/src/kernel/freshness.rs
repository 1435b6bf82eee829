/*!
How long a node may accept keys without a new read of the configuration.

A revoked key must stop working on every node within a bound, also on a node that is cut off from
the store, was suspended, or receives nothing on a connection that looks open. A node therefore
counts from the start of its last complete read of the configuration, since a read that begins after
a change was acknowledged contains that change.
*/

use std::time::Duration;

use crate::clock::Moment;

/// A margin before the bound, for timers that fire late.
const MARGIN: Duration = Duration::from_millis(150);

/// The freshness of a node's configuration.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cassiareel_relay::kernel::ConfigFreshness;
///
/// let mut freshness = ConfigFreshness::new(Duration::from_secs(5));
/// assert!(!freshness.is_fresh(Duration::ZERO));
/// freshness.record_read(Duration::from_secs(10));
/// assert!(freshness.is_fresh(Duration::from_secs(14)));
/// assert!(!freshness.is_fresh(Duration::from_secs(15)));
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ConfigFreshness {
    bound: Duration,
    last_read: Option<Moment>,
}

impl ConfigFreshness {
    /// Returns the freshness before the first read, for keys that may work for up to `bound` after
    /// their revocation.
    pub fn new(bound: Duration) -> ConfigFreshness {
        ConfigFreshness {
            bound,
            last_read: None,
        }
    }

    /// Records a complete read of the configuration that began at `began`.
    pub fn record_read(&mut self, began: Moment) {
        self.last_read = Some(self.last_read.map_or(began, |old| old.max(began)));
    }

    /// Returns when the last complete read began.
    pub fn last_read(&self) -> Option<Moment> {
        self.last_read
    }

    /// Returns the time since the start of the last complete read.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.last_read.map(|began| now.saturating_sub(began))
    }

    /// Reports whether requests with a key may be served.
    pub fn is_fresh(&self, now: Moment) -> bool {
        self.age(now).is_some_and(|age| age + MARGIN < self.bound)
    }
}
