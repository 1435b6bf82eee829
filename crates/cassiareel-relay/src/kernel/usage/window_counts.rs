//! The counts of one window in a message.

use serde::{Deserialize, Serialize};

use super::WindowNumber;
use crate::model::AccountId;

/// Cumulative counts of requests by client account in one window.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WindowCounts {
    /// The window.
    pub window: WindowNumber,
    /// The client accounts and all their requests in the window so far.
    pub counts: Vec<(AccountId, u64)>,
}
