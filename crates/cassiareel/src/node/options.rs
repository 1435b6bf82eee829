//! What a node is told of itself.

use std::{net::SocketAddr, sync::Arc};

use crate::{
    hooks::{Hooks, NoHooks},
    kernel::{DataCentreId, NodeId},
    observe::Metrics,
    peer::Keys,
};

/// A node's own facts, from its daemon's settings file.
#[derive(Clone, Debug)]
pub struct Options {
    /// The node's name.
    pub name: NodeId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The address for callers.
    pub listen: SocketAddr,
    /// The address for peers and operators.
    pub control: SocketAddr,
    /// Control addresses of some peers, to join by.
    pub peers: Vec<SocketAddr>,
    /// Keys that peers share; a node without keys works alone.
    pub keys: Option<Keys>,
    /// Threads that run its tasks.
    pub threads: usize,
    /// Where its figures go.
    pub metrics: Arc<Metrics>,
    /// What listens to the steps of its protocols.
    pub hooks: Arc<dyn Hooks>,
}

impl Options {
    /// A node of a name in a data centre, on free loopback ports, without peers.
    pub fn new(name: &str, data_centre: &str) -> Options {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Options {
            name: name.into(),
            data_centre: data_centre.into(),
            listen: any,
            control: any,
            peers: Vec::new(),
            keys: None,
            threads: 2,
            metrics: Arc::new(Metrics::none()),
            hooks: Arc::new(NoHooks),
        }
    }
}
