//! An entry of the registry of backend servers.

use std::net::SocketAddr;

use cassiareel::kernel::suspect::ProcessKey;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{BackendId, DataCentre, ServiceId, Version};

/// What a backend server says of itself in the registry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// The id of this run of the process.
    pub id: BackendId,
    /// When the process started, in milliseconds since 1970, where it says so. An id that comes
    /// back with another start is another process.
    #[serde(rename = "born")]
    pub start_time: Option<u64>,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The data centre that it is in.
    pub data_centre: DataCentre,
    /// The version of its software.
    pub version: Version,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub phase: Phase,
}

impl Entry {
    /// Tells this process from any other one, the same on all nodes.
    pub fn process_key(&self) -> ProcessKey {
        xxh3_64_with_seed(self.id.as_bytes(), self.start_time.unwrap_or_default())
    }

    /// Reports whether `other` is the same process at the same place.
    pub fn is_same_process(&self, other: &Entry) -> bool {
        self.id == other.id
            && self.start_time == other.start_time
            && self.address == other.address
            && self.service == other.service
            && self.version == other.version
    }
}

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Phase {
    /// It takes new work.
    Ready,
    /// It finishes what it has and then ends.
    Draining,
}
