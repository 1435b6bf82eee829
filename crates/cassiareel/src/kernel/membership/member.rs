//! The state that a node publishes about itself.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::kernel::{DataCentreId, Incarnation, NodeId, Revision};

/// Whether a node accepts new work, as published by the node itself.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum NodeState {
    /// The node accepts work.
    #[default]
    Live,
    /// The node is draining and will stop.
    Leaving,
}

/// A member of the fleet, as published by the node itself.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Member {
    /// The node's name.
    pub name: NodeId,
    /// Its incarnation.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The address for peers.
    pub addr: SocketAddr,
    /// The data centre.
    pub data_centre: DataCentreId,
    /// The version of the fields that follow; it increases with each change.
    #[serde(rename = "content")]
    pub content_version: u64,
    /// Whether the node accepts new work.
    #[serde(rename = "word")]
    pub state: NodeState,
    /// The revision of the settings in force on it.
    pub revision: Revision,
}

impl Member {
    /// Returns a key that increases with each change: first the incarnation, then the content
    /// version.
    pub(super) fn version(&self) -> (Incarnation, u64) {
        (self.incarnation, self.content_version)
    }
}

/// A neighbour's report that a node is silent.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Suspicion {
    /// The silent node.
    pub name: NodeId,
    /// Its incarnation.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The node that reports the silence.
    #[serde(rename = "by")]
    pub reporter: NodeId,
}
