//! An operator's order to move a service to another version.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Revision, ServiceId, Version};

/// An order to move a service's traffic to the backend servers of one version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rollout {
    /// The service.
    pub service: ServiceId,
    /// The version that is to serve it.
    pub target: Version,
    /// The time that the move may take.
    pub duration: Duration,
    /// What has been told the operator of it.
    pub state: Option<RolloutState>,
    /// The revision of the store at which it was read.
    pub revision: Revision,
    /// The revision at which the order was created.
    pub created: Revision,
}

/// What the operator is told of a rollout.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RolloutState {
    /// Traffic is moving.
    Running,
    /// All traffic goes to the new version.
    Completed,
    /// All traffic goes to the old version again, and the new one is not used any more.
    RolledBack,
}
