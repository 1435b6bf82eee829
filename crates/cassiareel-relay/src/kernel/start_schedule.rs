/*!
When a node that starts reads the store itself.

Where all nodes of a large fleet start at once, the first few read the store, and the others get its
contents from them. Those that get none read the store one after another, so that the lists of the
first ones among them can reach the others before their turns.
*/

use std::time::Duration;

/// The size of a fleet up to which all nodes read the store when they start.
const MAX_DIRECT_NODES: usize = 16;

/// How long a node waits for the lists of its peers, from its start. A first reader on a fast link
/// takes about as long to read 3,000 entries, one on a slow link twice as long.
const PEER_WAIT: Duration = Duration::from_millis(700);

/// The time between the first turns of nodes that got no lists.
const FIRST_STEP: Duration = Duration::from_millis(75);

/// The longest time that the first steps add up to.
const MAX_FIRST_STEPS: Duration = Duration::from_millis(2800);

/// The time between the turns of any two nodes: the store serves 6,000 calls a second, of which a
/// node's first reads take about eight.
const STEP: Duration = Duration::from_millis(3);

/// How long a node waits after it learnt that a peer has lists, but that its link is busy.
const BUSY_WAIT: Duration = Duration::from_millis(600);

/// The longest time from its start for which a node waits for such peers.
const MAX_BUSY_WAIT: Duration = Duration::from_millis(3500);

/// How long a node that was suspended waits for the updates of its peers: these take two hops.
const WAKE_WAIT: Duration = Duration::from_millis(300);

/// The turns of the nodes of a fleet that starts.
///
/// # Examples
///
/// ```
/// use cassiareel_relay::kernel::StartSchedule;
///
/// let schedule = StartSchedule { nodes: 300, first_readers: 4 };
/// assert!(schedule.read_after(3).is_zero());
/// assert!(schedule.read_after(4) < schedule.read_after(5));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StartSchedule {
    /// The number of nodes.
    pub nodes: usize,
    /// The number of nodes that read the store at once.
    pub first_readers: usize,
}

impl StartSchedule {
    /// Returns how long after a suspension the node at a position reads the store, unless it got
    /// updates from a peer before. Many nodes may have been suspended together.
    pub fn read_after_wake(self, position: usize) -> Duration {
        if self.nodes <= MAX_DIRECT_NODES || position < self.first_readers {
            return Duration::ZERO;
        }
        let turn = u32::try_from(position - self.first_readers).unwrap_or(u32::MAX);
        WAKE_WAIT + STEP.saturating_mul(turn)
    }

    /// Returns how long after its start the node at a position in the order of all nodes reads the
    /// store, unless it got lists from a peer before.
    pub fn read_after(self, position: usize) -> Duration {
        if self.nodes <= MAX_DIRECT_NODES || position < self.first_readers {
            return Duration::ZERO;
        }
        let turn = u32::try_from(position - self.first_readers).unwrap_or(u32::MAX);
        let first_steps = FIRST_STEP.saturating_mul(turn).min(MAX_FIRST_STEPS);
        PEER_WAIT + first_steps + STEP.saturating_mul(turn)
    }

    /// Reports whether a node that started `spent` ago still waits for lists. `busy` is how long ago
    /// a peer answered that it has lists: these are about to arrive, and a read of the store would
    /// take longer.
    pub fn waits(self, position: usize, spent: Duration, busy: Option<Duration>) -> bool {
        let read_after = self.read_after(position);
        let is_near = busy.is_some_and(|busy| busy < BUSY_WAIT) && spent < MAX_BUSY_WAIT;
        !read_after.is_zero() && (spent < read_after || is_near)
    }
}
