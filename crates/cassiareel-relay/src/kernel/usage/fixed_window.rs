//! What is reported for one window.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::WindowNumber;
use crate::model::AccountId;

/// The counts that are reported for one window, and no others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FixedWindow {
    /// The window.
    pub window: WindowNumber,
    /// The requests of each client account.
    pub counts: BTreeMap<AccountId, u64>,
    /// Whether the platform accepted the report.
    #[serde(rename = "answered")]
    pub is_answered: bool,
}

impl FixedWindow {
    /// Returns the requests of all client accounts.
    pub fn requests(&self) -> u64 {
        self.counts.values().sum()
    }
}
