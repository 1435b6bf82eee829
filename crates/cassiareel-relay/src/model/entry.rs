//! An entry of the registry of backend servers.

use std::net::SocketAddr;

use cassiareel::kernel::suspect::ProcessKey;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{BackendId, DataCentre, ServiceId, Version};

/// A backend server, as it describes itself in the registry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// The id of this process.
    pub id: BackendId,
    /// The start time of the process in milliseconds since the Unix epoch, if reported. The same id
    /// with another start time denotes another process.
    #[serde(rename = "born")]
    pub start_time: Option<u64>,
    /// The service that it runs.
    pub service: ServiceId,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// The version of its software.
    pub version: Version,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub phase: Phase,
}

impl Entry {
    /// Returns a key that identifies the process and is the same on all nodes.
    pub fn process_key(&self) -> ProcessKey {
        xxh3_64_with_seed(self.id.as_bytes(), self.start_time.unwrap_or_default())
    }

    /// Reports whether `other` describes the same process at the same address.
    pub fn is_same_process(&self, other: &Entry) -> bool {
        self.id == other.id
            && self.start_time == other.start_time
            && self.address == other.address
            && self.service == other.service
            && self.version == other.version
    }
}

/// Whether a backend server accepts new requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Phase {
    /// It accepts new requests.
    Ready,
    /// It finishes its open requests and then exits.
    Draining,
}
