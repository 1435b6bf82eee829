/*!
A small fleet in one process: engines, an object API and nodes.

Each node has its own threads, so that it can be killed or frozen individually.
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

/// The API key of the fleet's only caller.
pub const CALLER_KEY: &str = "fleet-key";

/// The number of nodes in each data centre.
const NODES_PER_DATA_CENTRE: usize = 2;

/// The interval at which a node's revision is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The time after which a node that has not applied a revision is considered to have refused it.
const APPLY_TIMEOUT: Duration = Duration::from_secs(30);

/// The options of a fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// The number of engines.
    pub engines: usize,
    /// The number of nodes.
    pub nodes: usize,
    /// The hooks that the nodes call at their steps.
    pub hooks: Arc<dyn Hooks>,
    /// The logger of the nodes.
    pub log: Logger,
}

impl FleetOptions {
    /// Returns options for these numbers of engines and nodes, without hooks and logging.
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
    /// Starts a fleet and waits until its settings are in force on every node.
    ///
    /// # Errors
    ///
    /// Fails when no loopback port can be bound.
    ///
    /// # Panics
    ///
    /// Panics when the object API, which has no faults yet, does not accept the settings, or a node
    /// does not apply them within 30 seconds.
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

    /// Returns settings that place every engine and permit the caller to use the service `draft`.
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

    /// Publishes settings and waits until they are in force on every node.
    ///
    /// # Panics
    ///
    /// Panics when the object API does not accept them, or a node does not apply them within 30
    /// seconds.
    pub fn apply(&mut self, tree: &str) {
        self.publish(tree);
        for node in self.nodes.iter().flatten() {
            wait_for_revision(node, self.revision);
        }
    }

    /// Publishes settings in the object API as the next revision.
    ///
    /// # Panics
    ///
    /// Panics when the object API does not accept them.
    pub fn publish(&mut self, tree: &str) {
        self.revision += 1;
        let written = publish_settings(self.objects.addr(), self.revision, tree);
        written.expect("the object API accepts the settings");
    }

    /// Returns the address of a node for callers, or `None` if it was killed or taken.
    pub fn addr(&self, node: usize) -> Option<SocketAddr> {
        self.nodes.get(node)?.as_ref()?.addr()
    }

    /// Returns a node, or `None` if it was killed or taken.
    pub fn node(&self, node: usize) -> Option<&Node> {
        self.nodes.get(node)?.as_ref()
    }

    /// Kills a node: its connections are reset and its address refuses new ones.
    pub fn kill_node(&mut self, node: usize) {
        if let Some(node) = self.nodes.get_mut(node) {
            drop(node.take());
        }
    }

    /// Removes a node from the fleet and returns it, for a planned stop.
    pub fn take_node(&mut self, node: usize) -> Option<Node> {
        self.nodes.get_mut(node)?.take()
    }

    /// Starts a replacement for a node that was killed or taken, and waits until its settings are in
    /// force.
    ///
    /// # Errors
    ///
    /// Fails when no loopback port can be bound.
    ///
    /// # Panics
    ///
    /// Panics when the node does not apply the settings within 30 seconds.
    pub fn replace_node(&mut self, place: usize) -> io::Result<()> {
        let started = start_node(place, &self.objects, &self.options, &self.nodes)?;
        wait_for_revision(&started, self.revision);
        self.nodes[place] = Some(started);
        Ok(())
    }

    /// Returns the first live engine with a running request, if there is one.
    pub fn busy_engine(&self) -> Option<&Engine> {
        self.engines
            .iter()
            .filter(|engine| !engine.is_dead())
            .find(|engine| engine.running() > 0)
    }
}

/// Waits until a revision of the settings is in force on a node.
///
/// # Panics
///
/// Panics after [`APPLY_TIMEOUT`], because the node must have refused the settings.
fn wait_for_revision(node: &Node, revision: Revision) {
    let until = Instant::now() + APPLY_TIMEOUT;
    while node.settings().revision < revision {
        let name = &node.options().name;
        assert!(
            Instant::now() < until,
            "{name} has not applied revision {revision} within the timeout"
        );
        thread::sleep(POLL_INTERVAL);
    }
}

/// Returns the peer keys that the nodes of a fleet in one process share.
///
/// # Panics
///
/// Never panics, because the key is well formed.
pub fn peer_keys() -> Keys {
    Keys::new(&["5e".repeat(32)]).expect("the key is well formed")
}

/// Starts a node that joins through the control addresses of the other nodes.
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
/// Fails when the object API does not accept it.
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
