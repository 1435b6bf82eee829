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
/// assert!(!authority.holds(Duration::ZERO));
/// authority.confirm(Duration::from_secs(10));
/// assert!(authority.holds(Duration::from_secs(14)));
/// assert!(!authority.holds(Duration::from_secs(15)));
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ConfigFreshness {
    bound: Duration,
    confirmed: Option<Moment>,
}

impl ConfigFreshness {
    /// Nothing is known yet, and keys hold for `bound` after they were taken away.
    pub fn new(bound: Duration) -> ConfigFreshness {
        ConfigFreshness {
            bound,
            confirmed: None,
        }
    }

    /// Takes in a whole read of the configuration that began at `began`.
    pub fn confirm(&mut self, began: Moment) {
        self.confirmed = Some(self.confirmed.map_or(began, |old| old.max(began)));
    }

    /// When the last whole read began.
    pub fn confirmed(&self) -> Option<Moment> {
        self.confirmed
    }

    /// The age of what is known.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.confirmed.map(|began| now.saturating_sub(began))
    }

    /// Reports whether requests with a key may be served.
    pub fn holds(&self, now: Moment) -> bool {
        self.age(now).is_some_and(|age| age + MARGIN < self.bound)
    }
}
