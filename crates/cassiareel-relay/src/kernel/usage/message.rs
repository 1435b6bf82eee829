//! The message by which a node sends its counts to a candidate.

use serde::{Deserialize, Serialize};

use super::{TrueTime, WindowCounts, WindowNumber};
use crate::model::DemandSample;

/// What a node sends to a candidate.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UsageMessage {
    /// The name of the node.
    pub sender: String,
    /// Distinguishes one run of the node's process from another.
    pub incarnation: u64,
    /// The sequence number up to which the node's counts are included or were acknowledged.
    pub sequence: u64,
    /// The node's time of day when the message was written, without jumps; `None` where it is not known.
    pub time: Option<TrueTime>,
    /// The counts that changed since the candidate acknowledged them.
    pub windows: Vec<WindowCounts>,
    /// The last window that the node knows to be fixed.
    pub fixed: Option<WindowNumber>,
    /// The demand that the node sees; `None` where it is the same as in the last message.
    pub demand: Option<Vec<DemandSample>>,
}
