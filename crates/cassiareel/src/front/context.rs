//! State that all requests of a node share.

use std::sync::Arc;

use arc_swap::ArcSwap;
use slog::Logger;

use super::Chooser;
use crate::{
    engines::BackendTable,
    hooks::{Hooks, NoHooks},
    kernel::{DataCentreId, NodeId, Time},
    observe::Metrics,
    orders::Orders,
    peer::SharedState,
    runtime::Spawner,
    settings::{Scope, Snapshot},
    store::Objects,
};

/// The state and the clients that all requests of a node use.
pub struct FrontContext {
    /// The settings in force.
    pub settings: Arc<ArcSwap<Snapshot>>,
    /// The node's data centre.
    pub data_centre: DataCentreId,
    /// Spawns the tasks of requests.
    pub spawner: Spawner,
    /// The logger for decisions.
    pub log: Logger,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// Hooks that are called at the steps of a request.
    pub hooks: Arc<dyn Hooks>,
    /// State that nodes exchange: moves between versions, the counts by which moves are judged, and
    /// requests under which engines crashed.
    pub shared: Arc<SharedState>,
    /// Runs non-idempotent calls; none if there is no store for their records.
    pub(super) orders: Option<Orders>,
    /// Chooses backend servers.
    pub(super) chooser: Arc<Chooser>,
}

impl FrontContext {
    /// Creates a context without metrics, hooks or non-idempotent calls, and starts its chooser.
    pub fn new(
        settings: Arc<ArcSwap<Snapshot>>,
        data_centre: DataCentreId,
        spawner: Spawner,
        log: Logger,
    ) -> FrontContext {
        let chooser = Chooser::new(settings.clone(), data_centre.clone(), &spawner, log.clone());
        FrontContext {
            settings,
            data_centre,
            spawner,
            log,
            metrics: Arc::new(Metrics::none()),
            hooks: Arc::new(NoHooks),
            shared: Arc::new(SharedState::new()),
            orders: None,
            chooser,
        }
    }

    /// Returns the part of the settings tree that applies to every request at this node.
    pub(super) fn scope(&self) -> Scope<'_> {
        Scope {
            data_centre: Some(&self.data_centre),
            ..Scope::default()
        }
    }

    /// Sets the nodes that share the backend servers: those in the platform's list of VMs.
    pub fn set_nodes(&self, nodes: Vec<NodeId>, local: NodeId) {
        self.shared
            .set_probing_node(nodes.iter().min() == Some(&local));
        self.chooser.set_nodes(nodes, local);
    }

    /// Returns the table of backend servers.
    pub(crate) fn backend_table(&self) -> &BackendTable {
        self.chooser.table()
    }

    /// Returns the time on the clock of the table.
    pub(crate) fn backend_time(&self) -> Time {
        self.chooser.now()
    }

    /// Returns the number of requests that wait for a backend server.
    pub fn waiting(&self) -> usize {
        self.chooser.waiting()
    }

    /// Keeps the records of non-idempotent calls in `objects`.
    ///
    /// Uses the metrics and hooks that are set at the time of the call.
    pub fn with_orders(mut self, objects: Arc<dyn Objects>) -> FrontContext {
        self.orders = Some(Orders::new(
            objects,
            self.spawner.clone(),
            self.hooks.clone(),
            self.metrics.clone(),
            self.log.clone(),
        ));
        self
    }

    /// Sets the metrics.
    pub fn with_metrics(mut self, metrics: Arc<Metrics>) -> FrontContext {
        self.metrics = metrics;
        self
    }

    /// Sets the state that nodes exchange.
    pub fn with_shared(mut self, shared: Arc<SharedState>) -> FrontContext {
        self.shared = shared;
        self
    }

    /// Sets the hooks that are called at the steps of requests.
    pub fn with_hooks(mut self, hooks: Arc<dyn Hooks>) -> FrontContext {
        self.hooks = hooks;
        self
    }
}
