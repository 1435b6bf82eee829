//! Stand-ins for the backend servers that a settings tree names, and six nodes.

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

/// Number of nodes in the demo.
pub const NODES: usize = 6;
/// Interval at which a wait checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Longest wait until settings are in force on every node.
const APPLY_TIMEOUT: Duration = Duration::from_secs(30);
/// Seed of the object API's random faults.
const FAULT_SEED: u64 = 1;

/// The ports of a deployment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ports {
    /// The first of the ports that the nodes listen on for callers; `None` for free ports.
    pub callers: Option<u16>,
    /// The first of the ports that the nodes listen on for peers and operators; `None` for free
    /// ports.
    pub control: Option<u16>,
    /// The port of the object API; `None` for a free port.
    pub objects: Option<u16>,
}

/// Stand-ins and nodes in one process.
pub struct Deployment {
    /// The settings in force.
    pub tree: Tree,
    /// The engines, ordered by the addresses in the tree that was given.
    pub engines: Vec<Engine>,
    /// The plain services.
    pub services: Vec<PlainService>,
    /// The ledger that counts every run of each order.
    pub ledger: Ledger,
    /// The object API.
    pub objects: ObjectApi,
    nodes: Vec<Option<Node>>,
    revision: u64,
}

impl Deployment {
    /// Starts stand-ins for the backend servers of a tree and nodes in its data centres, and waits
    /// until the tree is in force. A client account and an operator for the demo are added to the
    /// tree.
    ///
    /// # Errors
    ///
    /// Fails if a port is in use, the tree names no data centre, or the tree does not come into
    /// force.
    pub fn start(mut tree: Tree, ports: Ports, log: &Logger) -> io::Result<Deployment> {
        let ledger = Ledger::default();
        let mut engines = Vec::new();
        let mut services = Vec::new();
        let mut new_addrs = BTreeMap::new();
        for (addr, server) in tree::servers_by_addr(&tree) {
            let new_addr = if server.is_model {
                engines.push(start_engine(&server)?);
                engines.last().map(Engine::addr)
            } else {
                let (service, version) = &server.versions[0];
                let name = format!("{service}@{version}");
                services.push(PlainService::start(&name, &ledger)?);
                services.last().map(PlainService::addr)
            };
            new_addrs.extend(new_addr.map(|new_addr| (addr, new_addr)));
        }
        tree::replace_addrs(&mut tree, &new_addrs);
        tree::add_demo_access(&mut tree);
        let objects = ObjectApi::bind(
            loopback_addr(ports.objects, 0),
            RateLimits::default(),
            FAULT_SEED,
        )?;
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

    /// Publishes settings and waits until they are in force on every node; returns how long that
    /// took.
    ///
    /// # Errors
    ///
    /// Fails if the object API rejects the settings, or if a node does not apply them in time.
    pub fn apply(&mut self, tree: Tree) -> io::Result<Duration> {
        let text = toml::to_string(&tree).map_err(io::Error::other)?;
        self.revision += 1;
        publish_settings(self.objects.addr(), self.revision, &text).map_err(io::Error::other)?;
        self.tree = tree;
        let started = Instant::now();
        for node in self.nodes.iter().flatten() {
            while node.settings().revision < self.revision {
                if started.elapsed() > APPLY_TIMEOUT {
                    let message = format!(
                        "node {} did not apply revision {}",
                        node.options().name,
                        self.revision
                    );
                    return Err(io::Error::new(io::ErrorKind::TimedOut, message));
                }
                thread::sleep(POLL_INTERVAL);
            }
        }
        Ok(started.elapsed())
    }

    /// Returns the addresses on which the running nodes serve callers.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.nodes.iter().flatten().filter_map(Node::addr).collect()
    }

    /// Returns the running nodes.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().flatten()
    }

    /// Kills the node that serves callers at `addr`, if there is one.
    pub fn kill_node(&mut self, addr: SocketAddr) {
        let serves_addr = |node: &Option<Node>| node.as_ref().and_then(Node::addr) == Some(addr);
        if let Some(node) = self.nodes.iter_mut().find(|node| serves_addr(node)) {
            drop(node.take());
        }
    }

    /// Returns the model that the scenario sends requests to, and the version that the demo's
    /// client account uses.
    ///
    /// # Panics
    ///
    /// Panics if the tree names no model.
    pub fn model(&self) -> (ServiceId, VersionId) {
        let service =
            tree::first_service(&self.tree, ServiceKind::Model).expect("the tree has a model");
        let account = &self.tree.accounts[ACCOUNT];
        let settings = &self.tree.services[&service];
        let version = account.versions.get(&service).unwrap_or(&settings.version);
        (service.clone(), version.clone())
    }

    /// Returns the plain service that the scenario sends orders to, if the tree names one.
    pub fn plain_service(&self) -> Option<ServiceId> {
        tree::first_service(&self.tree, ServiceKind::Plain)
    }
}

/// Starts an engine that serves the versions that the tree assigns to the server.
fn start_engine(server: &tree::ServerSpec) -> io::Result<Engine> {
    let names = server
        .versions
        .iter()
        .map(|(service, version)| format!("{service}@{version}"));
    Engine::start(EngineOptions {
        versions: names.collect(),
        checks_fencing: server.checks_fencing,
        ..EngineOptions::new("")
    })
}

/// Starts the nodes, distributed round-robin over the tree's data centres.
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
            listen: loopback_addr(ports.callers, i),
            control: loopback_addr(ports.control, i),
            peers: nodes.iter().flatten().map(Node::control_addr).collect(),
            keys: Some(peer_keys()),
            ..Options::new(&format!("node-{}", i + 1), data_centre)
        };
        nodes.push(Some(Node::start(options, api.clone(), log)?));
    }
    Ok(nodes)
}

/// Returns the loopback address with port `first + i`, or with port 0 if `first` is `None`.
fn loopback_addr(first: Option<u16>, i: usize) -> SocketAddr {
    let port = first.map_or(0, |first| first + i as u16);
    SocketAddr::from(([127, 0, 0, 1], port))
}
