//! What nodes report of the operator's orders to roll services out.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Revision, Version};

/// The state of a rollout, as reported to the operator.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum RolloutState {
    /// Traffic is split between the old and the new version.
    Running,
    /// All traffic goes to the new version.
    Completed,
    /// All traffic goes to the old version, and the new one is no longer used.
    RolledBack,
}

impl RolloutState {
    /// Reports whether the rollout has ended.
    pub fn is_end(self) -> bool {
        self != RolloutState::Running
    }
}

/// A reported state, and the order that it is about. It may be an earlier one than that of the
/// object.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct RolloutStatus {
    /// The state; `None` where it is unknown to this build.
    pub state: Option<RolloutState>,
    /// The order's version.
    pub target: Version,
    /// The order's time; `None` where an earlier build wrote the status.
    pub duration: Option<Duration>,
    /// The revision that identifies the order; `None` where an earlier build wrote the status.
    pub order: Option<Revision>,
    /// Versions that earlier orders of the service named and that were not completed.
    pub unproven: Vec<UnprovenVersion>,
}

/// What an object's status says of the order that the object has.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct StoredState {
    /// The state; `None` where there is none.
    pub state: Option<RolloutState>,
    /// The revision that identifies the order; `None` where the status names none.
    pub order: Option<Revision>,
}

/// A version whose rollout did not complete before the operator wrote the next order.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct UnprovenVersion {
    /// The version.
    pub version: Version,
    /// Whether it was rolled back. Otherwise its rollout had no verdict yet.
    pub rolled_back: bool,
}
