//! The reply of a candidate to counts.

use serde::{Deserialize, Serialize};

use super::{TrueTime, WindowNumber};

/// What a candidate replies to a node that sent its counts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageReply {
    /// Distinguishes one run of the candidate's process from another: a process that restarted has lost
    /// the counts that its predecessor acknowledged.
    pub incarnation: u64,
    /// The sequence number that is acknowledged.
    pub sequence: u64,
    /// The median of the nodes' times of day when the reply was written.
    pub time: Option<TrueTime>,
    /// The number of nodes whose times of day are in the median.
    pub voters: u32,
    /// The last window that is known to be fixed.
    pub fixed: Option<WindowNumber>,
    /// Whether the candidate holds the duty.
    pub is_holder: bool,
}
