/*!
A node: the parts of the daemon, wired.

A node serves callers on one address, and peers and operators on another. It owns its threads, so
that dropping it ends all that it does at once; a planned stop goes through [`Node::begin_leaving`] and
[`Node::stop`].
*/

mod fleet;
mod follow;
mod mount;
mod options;
mod shares;
#[cfg(test)]
mod shares_tests;

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use slog::{info, o, Logger};
use smol::Timer;

pub use mount::Mounts;
pub use options::Options;

use fleet::Fleet;

use crate::{
    control::lease::Candidate,
    front::{CallerApi, FrontContext, NodeStatus, OperatorApi, StatusSource, OPERATOR_PATH},
    kernel::DataCentreId,
    observe::{Gauge, Metrics, RecentLines},
    peer::{PeerHandler, Peers, SharedState},
    runtime::Runtime,
    settings::{Scope, Snapshot},
    store::Objects,
    wire::{self, ServerHandle, ServerLimits, ServerLimitsSource},
};

/// A running node.
pub struct Node {
    options: Options,
    settings: Arc<ArcSwap<Snapshot>>,
    open: Arc<mount::Open>,
    callers: Option<ServerHandle>,
    control: ServerHandle,
    fleet: Fleet,
    log: Logger,
    // INVARIANT: dropped last, with every task of the node.
    runtime: Runtime,
}

/// Time between two sendings of the gauges.
const GAUGE_PERIOD: Duration = Duration::from_secs(1);

/// Time between looks at the open requests of a node that stops.
const STOP_POLL: Duration = Duration::from_millis(20);

impl Node {
    /// Starts a node.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be bound.
    pub fn start(options: Options, objects: Arc<dyn Objects>, log: &Logger) -> io::Result<Node> {
        let recent = RecentLines::new();
        let log = recent.tee(&log.new(o!("node" => options.name.to_string())));
        let runtime = Runtime::new(&options.name, options.threads);
        let spawner = runtime.spawner();
        let settings = Arc::new(ArcSwap::from_pointee(Snapshot::default()));
        let open = Arc::new(mount::Open::default());
        let shared = Arc::new(SharedState::new());
        let parts = FrontContext::new(
            settings.clone(),
            options.data_centre.clone(),
            spawner,
            log.clone(),
        )
        .with_metrics(options.metrics.clone())
        .with_hooks(options.hooks.clone())
        .with_shared(shared.clone())
        .with_orders(objects.clone());
        let parts = Arc::new(parts);
        let front = CallerApi::new(parts.clone());
        let callers = Mounts::new(open.clone(), settings.clone()).with_callers(Arc::new(front));
        let status = status(&options, settings.clone(), open.clone());
        let operator = OperatorApi::new(settings.clone(), recent, status);
        let mut control =
            Mounts::new(open.clone(), settings.clone()).with(OPERATOR_PATH, Arc::new(operator));
        let listener = wire::bind_listener(options.control)?;
        let addr = listener.local_addr()?;
        let caller_listener = wire::bind_listener(options.listen)?;
        // Before the first task, which has lines of its own.
        info!(log, "started"; "listen" => %caller_listener.local_addr()?, "control" => %addr,
            "data_centre" => &*options.data_centre);
        let fleet = Fleet::start(
            &options,
            addr,
            &runtime,
            settings.clone(),
            shared,
            objects,
            &log,
        );
        let gauges = gauges(options.metrics.clone(), settings.clone(), open.clone());
        runtime.spawn(gauges).detach();
        if let Some(peers) = &fleet.peers {
            let seeds = options.peers.clone();
            let follow = shares::follow(parts, peers.clone(), seeds);
            runtime.spawn(follow).detach();
            control = control.with("/peer/", Arc::new(PeerHandler(peers.clone())));
        }
        let bounds = bounds(settings.clone(), options.data_centre.clone());
        let callers = wire::serve_with_source(
            &runtime.spawner(),
            caller_listener,
            bounds,
            Arc::new(callers),
        )?;
        let control = wire::serve(
            &runtime.spawner(),
            listener,
            ServerLimits::default(),
            Arc::new(control),
        )?;
        Ok(Node {
            options,
            settings,
            open,
            callers: Some(callers),
            control,
            fleet,
            log,
            runtime,
        })
    }

    /// The address for callers; none once the node stops.
    pub fn addr(&self) -> Option<SocketAddr> {
        self.callers.as_ref().map(|served| served.addr)
    }

    /// The address for peers and operators.
    pub fn control_addr(&self) -> SocketAddr {
        self.control.addr
    }

    /// The options that the node was started with.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// The settings in force.
    pub fn settings(&self) -> Arc<Snapshot> {
        self.settings.load_full()
    }

    /// The node's peers; none for a node that works alone.
    pub fn peers(&self) -> Option<&Arc<Peers>> {
        self.fleet.peers.as_ref()
    }

    /// The node's view of moves.
    pub fn moves(&self) -> &Arc<SharedState> {
        &self.fleet.moves
    }

    /// The node's candidacy for the controller's lease.
    pub fn candidate(&self) -> &Arc<Candidate> {
        &self.fleet.candidate
    }

    /// The node's threads, for tests that freeze it.
    pub fn runtime(&self) -> &Runtime {
        &self.runtime
    }

    /// Turns readiness off; requests that still come are served, and their connections closed.
    ///
    /// The balancer looks at readiness only now and then, so that a planned stop gives it time
    /// between this and [`Node::stop`].
    pub fn begin_leaving(&self) {
        self.open.leave();
        if let Some(peers) = &self.fleet.peers {
            peers.mark_leaving();
        }
        info!(self.log, "leaving"; "open" => self.open.count());
    }

    /// Stops accepting connections and waits at most `limit` until every request that was accepted
    /// is answered whole; returns how many were not.
    pub async fn stop(&mut self, limit: Duration) -> usize {
        self.begin_leaving();
        if let Some(served) = self.callers.take() {
            served.stop_accepting();
        }
        let until = Instant::now() + limit;
        while self.open.count() > 0 && Instant::now() < until {
            Timer::after(STOP_POLL).await;
        }
        let left = self.open.count();
        info!(self.log, "stopped"; "left" => left);
        left
    }
}

/// What tells operators the status of a node.
fn status(
    options: &Options,
    settings: Arc<ArcSwap<Snapshot>>,
    open: Arc<mount::Open>,
) -> StatusSource {
    let (name, data_centre) = (options.name.clone(), options.data_centre.clone());
    let start = Instant::now();
    Arc::new(move || NodeStatus {
        name: name.clone(),
        data_centre: data_centre.clone(),
        revision: settings.load().revision,
        leaving: open.is_leaving(),
        open: open.count(),
        uptime: start.elapsed().as_secs(),
    })
}

/// The bounds on callers that the settings in force give a data centre.
fn bounds(settings: Arc<ArcSwap<Snapshot>>, data_centre: DataCentreId) -> ServerLimitsSource {
    Arc::new(move || {
        let scope = Scope {
            data_centre: Some(&data_centre),
            ..Scope::default()
        };
        let bounds = settings.load().tree.resolve(&scope).bounds;
        ServerLimits {
            max_connections: bounds.connections as usize,
            max_head_bytes: usize::try_from(bounds.head).unwrap_or(usize::MAX),
            head_timeout: bounds.head_time,
            write_timeout: bounds.write_time,
        }
    })
}

/// Sends the node's gauges as long as its executor runs.
async fn gauges(metrics: Arc<Metrics>, settings: Arc<ArcSwap<Snapshot>>, open: Arc<mount::Open>) {
    loop {
        metrics.gauge(Gauge::Revision, settings.load().revision);
        metrics.gauge(Gauge::OpenRequests, open.count() as u64);
        Timer::after(GAUGE_PERIOD).await;
    }
}
