//! A node's part of the demand for a service.

use serde::{Deserialize, Serialize};

use super::{DataCentre, ServiceId};

/// The demand that one node sees for a service's backend servers in one data centre.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DemandSample {
    /// The service.
    pub service: ServiceId,
    /// The data centre of the backend servers.
    pub data_centre: DataCentre,
    /// The node's own open requests at these backend servers.
    pub running: u32,
    /// The node's requests that wait for a place; they are counted for the node's own data centre.
    pub waiting: u32,
    /// The requests that the node has refused for want of capacity since it started; they are counted
    /// for the node's own data centre.
    pub refused: u64,
}
