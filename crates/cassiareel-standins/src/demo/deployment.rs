//! Stand-ins of all that a settings tree names, and six nodes.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use cassiareel::{
    kernel::{ServiceId, VersionId},
    node::{Node, Options},
    settings::{ServiceKind, Tree},
    store::HttpObjects,
};
use slog::Logger;

use super::{tree, ACCOUNT};
use crate::{
    engine::{Engine, EngineOptions},
    fleet::{peer_keys, publish_settings},
    objects::{ObjectApi, RateLimits},
    service::{Ledger, PlainService},
};

/// Nodes of the demo.
pub const NODES: usize = 6;
/// How often waiting for a state looks at it.
const POLL: Duration = Duration::from_millis(1);
/// Time for settings to be in force everywhere, after which something hangs.
const HANG: Duration = Duration::from_secs(30);
/// Seed of all random faults.
const SEED: u64 = 1;

/// The ports of a deployment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ports {
    /// The first of the ports that the nodes listen on for callers; none for free ports.
    pub callers: Option<u16>,
    /// The first of the ports that the nodes listen on for peers and operators.
    pub control: Option<u16>,
    /// The port of the object API.
    pub objects: Option<u16>,
}

/// Stand-ins and nodes in one process.
pub struct Deployment {
    /// The settings in force.
    pub tree: Tree,
    /// The engines, by the addresses that the tree names.
    pub engines: Vec<Engine>,
    /// The plain services.
    pub services: Vec<PlainService>,
    /// Every run of each order.
    pub ledger: Ledger,
    /// The object API.
    pub objects: ObjectApi,
    nodes: Vec<Option<Node>>,
    revision: u64,
}

impl Deployment {
    /// Starts stand-ins for the servers of a tree and nodes in its data centres, and waits until
    /// the tree is in force. The tree gets a client account of the demo's own.
    ///
    /// # Errors
    ///
    /// Fails when a port is taken or the tree names no data centre.
    pub fn start(mut tree: Tree, ports: Ports, log: &Logger) -> io::Result<Deployment> {
        let ledger = Ledger::default();
        let mut engines = Vec::new();
        let mut services = Vec::new();
        let mut moved = BTreeMap::new();
        for (addr, placed) in tree::servers(&tree) {
            let at = if placed.is_model {
                engines.push(engine(&placed)?);
                engines.last().map(Engine::addr)
            } else {
                let (service, version) = &placed.versions[0];
                let name = format!("{service}@{version}");
                services.push(PlainService::start(&name, &ledger)?);
                services.last().map(PlainService::addr)
            };
            moved.extend(at.map(|at| (addr, at)));
        }
        tree::replace(&mut tree, &moved);
        tree::add_account(&mut tree);
        let objects = ObjectApi::bind(loopback(ports.objects, 0), RateLimits::default(), SEED)?;
        let nodes = start_nodes(&tree, ports, &objects, log)?;
        let mut deployment = Deployment {
            tree,
            engines,
            services,
            ledger,
            objects,
            nodes,
            revision: 0,
        };
        deployment.apply(deployment.tree.clone())?;
        Ok(deployment)
    }

    /// Accepts settings and waits until every node has them in force; tells how long that took.
    ///
    /// # Errors
    ///
    /// Fails when the object API does not take them, or a node does not.
    pub fn apply(&mut self, tree: Tree) -> io::Result<Duration> {
        let text = toml::to_string(&tree).map_err(io::Error::other)?;
        self.revision += 1;
        publish_settings(self.objects.addr(), self.revision, &text).map_err(io::Error::other)?;
        self.tree = tree;
        let since = Instant::now();
        for node in self.nodes.iter().flatten() {
            while node.settings().revision < self.revision {
                if since.elapsed() > HANG {
                    let words =
                        format!("{} has no revision {}", node.options().name, self.revision);
                    return Err(io::Error::new(io::ErrorKind::TimedOut, words));
                }
                thread::sleep(POLL);
            }
        }
        Ok(since.elapsed())
    }

    /// Addresses for callers of the nodes that live.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.nodes.iter().flatten().filter_map(Node::addr).collect()
    }

    /// The nodes that live.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().flatten()
    }

    /// Kills the node that serves callers at an address.
    pub fn kill_node(&mut self, addr: SocketAddr) {
        let is_there = |node: &Option<Node>| node.as_ref().and_then(Node::addr) == Some(addr);
        if let Some(node) = self.nodes.iter_mut().find(|node| is_there(node)) {
            drop(node.take());
        }
    }

    /// The model that the story asks, and the version that the demo's account gets of it.
    ///
    /// # Panics
    ///
    /// Panics when the tree names no model.
    pub fn model(&self) -> (ServiceId, VersionId) {
        let service = tree::service(&self.tree, ServiceKind::Model).expect("the tree has a model");
        let account = &self.tree.accounts[ACCOUNT];
        let node = &self.tree.services[&service];
        let version = account.versions.get(&service).unwrap_or(&node.version);
        (service.clone(), version.clone())
    }

    /// The plain service that the story sends orders to, if the tree names one.
    pub fn plain(&self) -> Option<ServiceId> {
        tree::service(&self.tree, ServiceKind::Plain)
    }
}

/// Starts an engine with the versions that it is to serve.
fn engine(placed: &tree::Placed) -> io::Result<Engine> {
    let names = placed
        .versions
        .iter()
        .map(|(service, version)| format!("{service}@{version}"));
    Engine::start(EngineOptions {
        versions: names.collect(),
        checks_fencing: placed.checks_fencing,
        ..EngineOptions::new("")
    })
}

/// Starts the nodes, spread over the tree's data centres.
fn start_nodes(
    tree: &Tree,
    ports: Ports,
    objects: &ObjectApi,
    log: &Logger,
) -> io::Result<Vec<Option<Node>>> {
    let data_centres = tree::data_centres(tree);
    if data_centres.is_empty() {
        return Err(io::Error::other("the settings name no data centre"));
    }
    let api = Arc::new(HttpObjects::new(objects.addr()));
    let mut nodes: Vec<Option<Node>> = Vec::new();
    for i in 0..NODES {
        let data_centre = &data_centres[i % data_centres.len()];
        let options = Options {
            listen: loopback(ports.callers, i),
            control: loopback(ports.control, i),
            peers: nodes.iter().flatten().map(Node::control_addr).collect(),
            keys: Some(peer_keys()),
            ..Options::new(&format!("node-{}", i + 1), data_centre)
        };
        nodes.push(Some(Node::start(options, api.clone(), log)?));
    }
    Ok(nodes)
}

/// The loopback address of the `i`th port from `first` on, or of a free one.
fn loopback(first: Option<u16>, i: usize) -> SocketAddr {
    let port = first.map_or(0, |first| first + i as u16);
    SocketAddr::from(([127, 0, 0, 1], port))
}
