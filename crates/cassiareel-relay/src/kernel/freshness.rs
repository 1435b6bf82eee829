/*!
How long a node may go by the keys that it knows.

A key that was taken away must not work for longer than a bound, on any node: also on one that is cut
off from the store, was suspended, or hears nothing on a connection that looks open. A node therefore
counts from the start of its last whole read of the configuration, since a read that begins after a
change was acknowledged contains it.
*/

use std::time::Duration;

use crate::clock::Moment;

/// Spare time before the bound, for timers that fire late.
const MARGIN: Duration = Duration::from_millis(150);

/// The freshness of what a node knows of the configuration.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cassiareel_relay::kernel::ConfigFreshness;
///
/// let mut authority = ConfigFreshness::new(Duration::from_secs(5));
/// assert!(!authority.is_fresh(Duration::ZERO));
/// authority.record_read(Duration::from_secs(10));
/// assert!(authority.is_fresh(Duration::from_secs(14)));
/// assert!(!authority.is_fresh(Duration::from_secs(15)));
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ConfigFreshness {
    bound: Duration,
    last_read: Option<Moment>,
}

impl ConfigFreshness {
    /// Nothing is known yet, and keys hold for `bound` after they were taken away.
    pub fn new(bound: Duration) -> ConfigFreshness {
        ConfigFreshness {
            bound,
            last_read: None,
        }
    }

    /// Takes in a whole read of the configuration that began at `began`.
    pub fn record_read(&mut self, began: Moment) {
        self.last_read = Some(self.last_read.map_or(began, |old| old.max(began)));
    }

    /// When the last whole read began.
    pub fn last_read(&self) -> Option<Moment> {
        self.last_read
    }

    /// The age of what is known.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.last_read.map(|began| now.saturating_sub(began))
    }

    /// Reports whether requests with a key may be served.
    pub fn is_fresh(&self, now: Moment) -> bool {
        self.age(now).is_some_and(|age| age + MARGIN < self.bound)
    }
}
