//! Services and the properties of their engines.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::ServiceId;

/// A service that routes refer to.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Service {
    /// The name.
    pub name: ServiceId,
    /// The properties of its engines, if it runs a model.
    pub engine: Option<EngineShape>,
}

/// The properties of a service's engines.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct EngineShape {
    /// The memory that running requests and cached prompt parts share, in tokens.
    pub capacity: u64,
    /// Whether an engine can keep an up-to-date copy of a run's memory at another engine.
    pub backups: bool,
    /// Whether an engine can copy a run's memory to another engine on request.
    pub moves: bool,
    /// The longest time for which an engine reserves a slot and memory for a request; `None` if it
    /// does not support reservations.
    pub reservation: Option<Duration>,
}
