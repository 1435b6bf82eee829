//! The record of a lease, and the times that all candidates use.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::kernel::{Fence, Incarnation, NodeId};

/// The record of a lease.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Record {
    /// The holder; `None` after a planned stop.
    pub holder: Option<NodeId>,
    /// The holder's incarnation, so that a restarted node does not treat itself as the holder.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The fencing number; increases by one each time the lease is acquired.
    pub fence: Fence,
    /// The number of renewals since the lease was acquired.
    pub renewal: u64,
}

/// The times of a lease, which must be the same on every candidate.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Timing {
    /// The time for which a write grants the lease.
    pub duration: Duration,
    /// The time by which the holder stops earlier and others wait longer. It covers the difference
    /// in rate between two monotonic clocks.
    pub margin: Duration,
    /// The longest time from the start of a holder's action to its last effect.
    pub max_action: Duration,
}

impl Timing {
    /// Returns the time between two renewals by the holder.
    pub fn renewal_interval(&self) -> Duration {
        self.duration / 3
    }
}

impl Default for Timing {
    /// Returns a duration of ten seconds, a margin of one second and actions of at most five
    /// seconds.
    fn default() -> Timing {
        Timing {
            duration: Duration::from_secs(10),
            margin: Duration::from_secs(1),
            max_action: Duration::from_secs(5),
        }
    }
}
