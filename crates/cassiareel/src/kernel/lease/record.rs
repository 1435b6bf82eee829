//! What the object of a lease holds, and the times that its holders agree on.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::kernel::{Fence, Incarnation, NodeId};

/// The record of a lease.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Record {
    /// The holder; none after a planned stop.
    pub holder: Option<NodeId>,
    /// The holder's incarnation, so that a restarted node does not take itself for the holder.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Rises by one each time the lease is taken.
    pub fence: Fence,
    /// Rises with each renewal.
    pub renewal: u64,
}

/// The times of a lease, the same on every candidate.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Timing {
    /// How long a write holds.
    pub duration: Duration,
    /// How much earlier the holder stops, and how much longer others wait; it covers the
    /// difference in rate of two monotonic clocks.
    pub margin: Duration,
    /// The longest that an action of a holder can take from its start to its last effect.
    pub max_action: Duration,
}

impl Timing {
    /// How often the holder renews.
    pub fn renewal_interval(&self) -> Duration {
        self.duration / 3
    }
}

impl Default for Timing {
    /// Ten seconds, one second of margin, actions of at most five seconds.
    fn default() -> Timing {
        Timing {
            duration: Duration::from_secs(10),
            margin: Duration::from_secs(1),
            max_action: Duration::from_secs(5),
        }
    }
}
