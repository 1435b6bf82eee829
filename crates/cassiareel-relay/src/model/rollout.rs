//! An operator's order to roll a service out to another version.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Revision, ServiceId, Version};

/// An order to move a service's traffic to the backend servers of another version.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Rollout {
    /// The service.
    pub service: ServiceId,
    /// The new version.
    pub target: Version,
    /// The time within which the rollout has to end.
    pub duration: Duration,
    /// The state last reported to the operator; `None` before the first report.
    pub state: Option<RolloutState>,
    /// The store's revision at which the order was read.
    pub revision: Revision,
    /// The store's revision at which the order was created.
    pub created: Revision,
}

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
