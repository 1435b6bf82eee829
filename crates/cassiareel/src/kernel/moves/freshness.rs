//! Whether a node can still know of a verdict.

use std::time::Duration;

use crate::kernel::Time;

/// How long a node may go without news before it goes back to the proven version.
const BOUND: Duration = Duration::from_secs(5);

/// A node's last news.
///
/// News is an answer of the store, or word of more than half of the nodes that the view holds, own
/// or passed on by others. A minority that is cut off could be the only part without a verdict.
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
    /// A node that had no news yet.
    pub fn stale() -> Freshness {
        Freshness { last: None }
    }

    /// The store answered.
    pub fn record_store_answer(&mut self, now: Time) {
        self.last = self.last.max(Some(now));
    }

    /// `heard` of `members` nodes, this one included, gave word of late.
    pub fn record_peers(&mut self, now: Time, heard: usize, members: usize) {
        if 2 * heard > members {
            self.last = self.last.max(Some(now));
        }
    }

    /// Reports whether new versions may still be given new work.
    pub fn is_fresh(&self, now: Time) -> bool {
        self.last.is_some_and(|last| now < last + BOUND)
    }
}
