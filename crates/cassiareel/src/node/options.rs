//! The options of a node.

use std::{net::SocketAddr, sync::Arc};

use crate::{
    hooks::{Hooks, NoHooks},
    kernel::{DataCentreId, NodeId},
    observe::Metrics,
    peer::Keys,
};

/// The options of a node, from its daemon's settings file.
#[derive(Clone, Debug)]
pub struct Options {
    /// The node's name.
    pub name: NodeId,
    /// The data centre of the node.
    pub data_centre: DataCentreId,
    /// The address for callers.
    pub listen: SocketAddr,
    /// The address for peers and operators.
    pub control: SocketAddr,
    /// Control addresses of some peers, through which the node joins the fleet.
    pub peers: Vec<SocketAddr>,
    /// The secret keys that the nodes share; a node without keys has no peers.
    pub keys: Option<Keys>,
    /// The number of threads that run the node's tasks.
    pub threads: usize,
    /// The metrics of the node.
    pub metrics: Arc<Metrics>,
    /// The hooks that are called at the steps of the node's protocols.
    pub hooks: Arc<dyn Hooks>,
}

impl Options {
    /// Creates the options of a node on free loopback ports, without peers.
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
