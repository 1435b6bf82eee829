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
    /// The bounds of the number of its backend servers, if that number is to follow the demand.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub scale: Option<ScaleBounds>,
}

/// The bounds of the number of a service's backend servers in each data centre.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ScaleBounds {
    /// The smallest number.
    pub min: u32,
    /// The largest number.
    pub max: u32,
    /// The time from an order until a new backend server takes requests.
    pub boot: Duration,
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
