/*!
A small fleet in one process: engines, an object API and nodes.

Each node has threads of its own, so that it can be killed or frozen alone.
*/

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use cassiareel::{
    hooks::{Hooks, NoHooks},
    kernel::Revision,
    node::{Node, Options},
    peer::Keys,
    settings::key_digest,
    store::{HttpObjects, Object, Objects, StoreError},
};
use serde_json::json;
use slog::Logger;

use crate::{
    engine::{Engine, EngineOptions},
    objects::ObjectApi,
};

/// The key of the fleet's only caller.
pub const CALLER_KEY: &str = "fleet-key";

/// Nodes in a data centre.
const NODES_PER_DATA_CENTRE: usize = 2;

/// How often waiting for a state looks at it.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Bound on waiting, past which a node does not come to a state.
const APPLY_TIMEOUT: Duration = Duration::from_secs(30);

/// How a fleet is made.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Count of engines.
    pub engines: usize,
    /// Count of nodes.
    pub nodes: usize,
    /// What listens to the steps of the nodes.
    pub hooks: Arc<dyn Hooks>,
    /// Where the nodes log.
    pub log: Logger,
}

impl FleetOptions {
    /// Engines and nodes that log nothing.
    pub fn new(engines: usize, nodes: usize) -> FleetOptions {
        FleetOptions {
            engines,
            nodes,
            hooks: Arc::new(NoHooks),
            log: Logger::root(slog::Discard, slog::o!()),
        }
    }
}

/// Engines, an object API and nodes that read their settings from it.
pub struct Fleet {
    /// The engines, which serve version `v1` of the model `draft`.
    pub engines: Vec<Engine>,
    /// The object API.
    pub objects: ObjectApi,
    nodes: Vec<Option<Node>>,
    revision: Revision,
    options: FleetOptions,
}

impl Fleet {
    /// Starts a fleet with its settings in force.
    ///
    /// # Errors
    ///
    /// Fails when loopback has no free ports.
    ///
    /// # Panics
    ///
    /// Panics when the object API, which has no faults yet, does not take the settings.
    pub fn start(options: &FleetOptions) -> io::Result<Fleet> {
        let engines = (0..options.engines)
            .map(|_| Engine::start(EngineOptions::new("draft@v1")))
            .collect::<io::Result<Vec<Engine>>>()?;
        let objects = ObjectApi::start()?;
        let mut nodes = Vec::new();
        for i in 0..options.nodes {
            let started = start_node(i, &objects, options, &nodes)?;
            nodes.push(Some(started));
        }
        let mut fleet = Fleet {
            engines,
            objects,
            nodes,
            revision: 0,
            options: options.clone(),
        };
        let tree = fleet.settings_tree();
        fleet.apply(&tree);
        Ok(fleet)
    }

    /// Settings that place every engine and give the caller all services.
    pub fn settings_tree(&self) -> String {
        let servers: Vec<String> = self
            .engines
            .iter()
            .map(|engine| format!("{:?}", engine.addr().to_string()))
            .collect();
        format!(
            r#"
[platform]
ticket_keys = ["fleet"]
[regions.r.data_centres.d0]
[services.draft]
version = "v1"
[services.draft.versions.v1.placements.d0]
servers = [{}]
[accounts.shops]
services = ["draft"]
[accounts.shops.callers.desk]
keys.first = "{}"
"#,
            servers.join(", "),
            hex::encode(key_digest(CALLER_KEY))
        )
    }

    /// Accepts settings and waits until they are in force on every node.
    ///
    /// # Panics
    ///
    /// Panics when the object API does not take them, or a node refuses them.
    pub fn apply(&mut self, tree: &str) {
        self.publish(tree);
        for node in self.nodes.iter().flatten() {
            wait_for_revision(node, self.revision);
        }
    }

    /// Accepts settings.
    ///
    /// # Panics
    ///
    /// Panics when the object API does not take them.
    pub fn publish(&mut self, tree: &str) {
        self.revision += 1;
        let written = publish_settings(self.objects.addr(), self.revision, tree);
        written.expect("the object API takes the settings");
    }

    /// The address of a node for callers; none once it was killed.
    pub fn addr(&self, node: usize) -> Option<SocketAddr> {
        self.nodes.get(node)?.as_ref()?.addr()
    }

    /// A node; none once it was killed.
    pub fn node(&self, node: usize) -> Option<&Node> {
        self.nodes.get(node)?.as_ref()
    }

    /// Kills a node: its connections are reset and its address refuses.
    pub fn kill_node(&mut self, node: usize) {
        if let Some(node) = self.nodes.get_mut(node) {
            drop(node.take());
        }
    }

    /// Takes a node out, for a planned stop.
    pub fn take_node(&mut self, node: usize) -> Option<Node> {
        self.nodes.get_mut(node)?.take()
    }

    /// Starts a node in the place of one that was killed or taken out, and waits until its settings
    /// are in force.
    ///
    /// # Errors
    ///
    /// Fails when loopback has no free ports.
    ///
    /// # Panics
    ///
    /// Panics when the node refuses the settings.
    pub fn replace_node(&mut self, place: usize) -> io::Result<()> {
        let started = start_node(place, &self.objects, &self.options, &self.nodes)?;
        wait_for_revision(&started, self.revision);
        self.nodes[place] = Some(started);
        Ok(())
    }

    /// The engine that has a running request, if one has.
    pub fn busy_engine(&self) -> Option<&Engine> {
        self.engines
            .iter()
            .filter(|engine| !engine.is_dead())
            .find(|engine| engine.running() > 0)
    }
}

/// Waits until settings are in force on a node.
///
/// # Panics
///
/// Panics past any time that a node needs: it has refused the settings.
fn wait_for_revision(node: &Node, revision: Revision) {
    let until = Instant::now() + APPLY_TIMEOUT;
    while node.settings().revision < revision {
        let name = &node.options().name;
        assert!(Instant::now() < until, "{name} refuses revision {revision}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// A key that the nodes of a fleet in one process share.
///
/// # Panics
///
/// Never: the key is well formed.
pub fn peer_keys() -> Keys {
    Keys::new(&["5e".repeat(32)]).expect("the key is well formed")
}

/// Starts a node that joins by the others.
fn start_node(
    i: usize,
    objects: &ObjectApi,
    options: &FleetOptions,
    others: &[Option<Node>],
) -> io::Result<Node> {
    let data_centre = format!("d{}", i / NODES_PER_DATA_CENTRE);
    let own = Options {
        peers: others.iter().flatten().map(Node::control_addr).collect(),
        keys: Some(peer_keys()),
        hooks: options.hooks.clone(),
        ..Options::new(&format!("n{i}"), &data_centre)
    };
    let api = Arc::new(HttpObjects::new(objects.addr()));
    Node::start(own, api, &options.log)
}

/// Writes a revision of the settings to an object API.
///
/// # Errors
///
/// Fails when the object API does not take it.
pub fn publish_settings(
    addr: SocketAddr,
    revision: Revision,
    tree: &str,
) -> Result<(), StoreError> {
    let api = HttpObjects::new(addr);
    let spec = json!({"revision": revision, "tree": tree});
    smol::block_on(async {
        match api.get("settings", "head").await? {
            Some(old) => api.update(&Object { spec, ..old }).await,
            None => api.create(&Object::new("settings", "head", spec)).await,
        }
        .map(drop)
    })
}
