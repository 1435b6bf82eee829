//! What a node says of itself.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::kernel::{DataCentreId, Incarnation, NodeId, Revision};

/// A node's word on whether it stays.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum NodeState {
    /// It takes work.
    #[default]
    Live,
    /// It drains.
    Leaving,
}

/// What a node says of itself.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Member {
    /// Its name.
    pub name: NodeId,
    /// Its incarnation.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Its address for peers.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Rises with each change of what follows.
    #[serde(rename = "content")]
    pub content_version: u64,
    /// Whether it stays.
    #[serde(rename = "word")]
    pub state: NodeState,
    /// The revision of the settings in force on it.
    pub revision: Revision,
}

impl Member {
    /// What is newer rises: first the incarnation, then the content.
    pub(super) fn order(&self) -> (Incarnation, u64) {
        (self.incarnation, self.content_version)
    }
}

/// A neighbour's word that a node is silent.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Suspicion {
    /// The silent node.
    pub name: NodeId,
    /// Its incarnation.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Who says so.
    #[serde(rename = "by")]
    pub reporter: NodeId,
}
