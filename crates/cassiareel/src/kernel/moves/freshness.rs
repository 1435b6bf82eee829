//! The age of a node's last update, which limits how late it learns of a verdict.

use std::time::Duration;

use crate::kernel::Time;

/// The time without updates after which a node returns to the proven version.
const MAX_AGE: Duration = Duration::from_secs(5);

/// The time of a node's last update.
///
/// An update is an answer of the store, or recent contact with more than half of the nodes in this
/// node's view, direct or relayed by others. A partitioned minority of the nodes could be the only
/// part of the fleet that lacks a verdict.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cassiareel::kernel::moves::Freshness;
///
/// let mut freshness = Freshness::stale();
/// assert!(!freshness.is_fresh(Duration::ZERO));
/// freshness.record_peers(Duration::from_secs(3), 4, 6);
/// assert!(freshness.is_fresh(Duration::from_secs(7)));
/// freshness.record_peers(Duration::from_secs(7), 3, 6);
/// assert!(!freshness.is_fresh(Duration::from_secs(8)));
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Freshness {
    last: Option<Time>,
}

impl Freshness {
    /// Returns the state of a node that has not received an update yet.
    pub fn stale() -> Freshness {
        Freshness { last: None }
    }

    /// Records that the store answered.
    pub fn record_store_answer(&mut self, now: Time) {
        self.last = self.last.max(Some(now));
    }

    /// Records that `reached` of `members` nodes, this one included, were in contact recently.
    pub fn record_peers(&mut self, now: Time, reached: usize, members: usize) {
        if 2 * reached > members {
            self.last = self.last.max(Some(now));
        }
    }

    /// Reports whether new versions may still receive new work.
    pub fn is_fresh(&self, now: Time) -> bool {
        self.last.is_some_and(|last| now < last + MAX_AGE)
    }
}
