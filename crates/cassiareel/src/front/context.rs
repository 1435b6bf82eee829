//! What all requests of a node work with.

use std::sync::Arc;

use arc_swap::ArcSwap;
use slog::Logger;

use super::Chooser;
use crate::{
    hooks::{Hooks, NoHooks},
    kernel::{DataCentreId, NodeId},
    observe::Metrics,
    orders::Orders,
    peer::SharedState,
    runtime::Spawner,
    settings::{Scope, Snapshot},
    store::Objects,
};

/// The parts of a node that requests work with.
pub struct FrontContext {
    /// The settings in force.
    pub settings: Arc<ArcSwap<Snapshot>>,
    /// The node's data centre.
    pub data_centre: DataCentreId,
    /// Where tasks run.
    pub spawner: Spawner,
    /// Where decisions are logged.
    pub log: Logger,
    /// Where figures go.
    pub metrics: Arc<Metrics>,
    /// What listens to the steps of a request.
    pub hooks: Arc<dyn Hooks>,
    /// What nodes share: moves between versions, the counts that they are judged by, and requests that
    /// take engines down.
    pub shared: Arc<SharedState>,
    /// Non-idempotent calls; none where no store keeps their records.
    pub(super) orders: Option<Orders>,
    /// What chooses backend servers.
    pub(super) chooser: Arc<Chooser>,
}

impl FrontContext {
    /// FrontContext without metrics or hooks.
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

    /// The nodes of the settings tree that every request to this node meets.
    pub(super) fn scope(&self) -> Scope<'_> {
        Scope {
            data_centre: Some(&self.data_centre),
            ..Scope::default()
        }
    }

    /// Tells which nodes share the backend servers: those of the platform's list of VMs.
    pub fn set_nodes(&self, nodes: Vec<NodeId>, local: NodeId) {
        self.chooser.set_nodes(nodes, local);
    }

    /// Requests that wait for a backend server.
    pub fn waiting(&self) -> usize {
        self.chooser.waiting()
    }

    /// Keeps records of non-idempotent calls in `objects`, with the metrics and hooks set so far.
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

    /// Sends figures to `metrics`.
    pub fn with_metrics(mut self, metrics: Arc<Metrics>) -> FrontContext {
        self.metrics = metrics;
        self
    }

    /// Follows the moves that `moves` shares.
    pub fn with_shared(mut self, shared: Arc<SharedState>) -> FrontContext {
        self.shared = shared;
        self
    }

    /// Tells `hooks` of the steps of requests.
    pub fn with_hooks(mut self, hooks: Arc<dyn Hooks>) -> FrontContext {
        self.hooks = hooks;
        self
    }
}
