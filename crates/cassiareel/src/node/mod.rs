/*!
A node, which connects the parts of the daemon.

A node serves callers on one address, and peers and operators on another. It owns its threads, so that
dropping it ends all its tasks at once. A planned stop calls [`Node::begin_leaving`] and then
[`Node::stop`].
*/

mod coordination;
mod follow;
mod node_set;
#[cfg(test)]
mod node_set_tests;
mod options;
mod permits;
mod router;

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use async_channel::Sender;
use slog::{info, o, Logger};
use smol::Timer;

pub use options::Options;
pub use router::Router;

use coordination::Coordination;
use permits::PermitExchange;

use crate::{
    control::lease::Candidate,
    front::{CallerApi, FrontContext, NodeStatus, OperatorApi, StatusSource, OPERATOR_PATH},
    kernel::DataCentreId,
    observe::{Gauge, Metrics, RecentLines},
    peer::{PeerHandler, Peers, SharedState},
    runtime::Runtime,
    settings::{Scope, Snapshot},
    store::Objects,
    wire::{self, OpenConnections, ServerHandle, ServerLimits, ServerLimitsSource},
};

/// A running node.
pub struct Node {
    options: Options,
    settings: Arc<ArcSwap<Snapshot>>,
    open_requests: Arc<router::OpenRequests>,
    /// Closing it ends the open requests with an answer.
    stop_signal: Option<Sender<()>>,
    caller_server: Option<ServerHandle>,
    /// The callers' connections, once no more are accepted.
    open_connections: Option<OpenConnections>,
    control_server: ServerHandle,
    coordination: Coordination,
    log: Logger,
    // INVARIANT: the last field, so that it is dropped last, with all tasks of the node.
    runtime: Runtime,
}

/// Time between updates of the gauges.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Time for the answers to requests that are still open at the end of a stop.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(250);

/// Time between checks for open requests while a node stops.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Node {
    /// Starts a node.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    pub fn start(options: Options, objects: Arc<dyn Objects>, log: &Logger) -> io::Result<Node> {
        let recent = RecentLines::new();
        let log = recent.tee(&log.new(o!("node" => options.name.to_string())));
        let runtime = Runtime::new(&options.name, options.threads);
        let spawner = runtime.spawner();
        let settings = Arc::new(ArcSwap::from_pointee(Snapshot::default()));
        let open_requests = Arc::new(router::OpenRequests::default());
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
        let (stop_signal, stopped) = async_channel::bounded(1);
        let front = CallerApi::new(parts.clone()).with_stop(stopped);
        let callers =
            Router::new(open_requests.clone(), settings.clone()).with_callers(Arc::new(front));
        let status = status_source(&options, settings.clone(), open_requests.clone());
        let operator = OperatorApi::new(settings.clone(), recent, status);
        let mut control = Router::new(open_requests.clone(), settings.clone())
            .with(OPERATOR_PATH, Arc::new(operator));
        let listener = wire::bind_listener(options.control)?;
        let addr = listener.local_addr()?;
        let caller_listener = wire::bind_listener(options.listen)?;
        // This is logged before any task starts, since tasks log lines of their own.
        info!(log, "started"; "listen" => %caller_listener.local_addr()?, "control" => %addr,
            "data_centre" => &*options.data_centre);
        let coordination = Coordination::start(
            &options,
            addr,
            &runtime,
            settings.clone(),
            shared,
            objects,
            &log,
        );
        let gauges = send_gauges(
            options.metrics.clone(),
            settings.clone(),
            open_requests.clone(),
        );
        runtime.spawn(gauges).detach();
        let permits = PermitExchange {
            parts: parts.clone(),
            log: log.clone(),
        };
        let calls = permits
            .clone()
            .run(coordination.peers.clone(), runtime.spawner());
        runtime.spawn(calls).detach();
        if let Some(peers) = &coordination.peers {
            peers.set_permit_owner(Box::new(permits.clone()));
            let seeds = options.peers.clone();
            let maintain = node_set::maintain(parts, peers.clone(), seeds);
            runtime.spawn(maintain).detach();
            control = control.with("/peer/", Arc::new(PeerHandler(peers.clone())));
        }
        let bounds = server_limits(settings.clone(), options.data_centre.clone());
        let caller_server = wire::serve_with_source(
            &runtime.spawner(),
            caller_listener,
            bounds,
            Arc::new(callers),
        )?;
        let control_server = wire::serve(
            &runtime.spawner(),
            listener,
            ServerLimits::default(),
            Arc::new(control),
        )?;
        Ok(Node {
            options,
            settings,
            open_requests,
            stop_signal: Some(stop_signal),
            caller_server: Some(caller_server),
            open_connections: None,
            control_server,
            coordination,
            log,
            runtime,
        })
    }

    /// Returns the address for callers, or `None` once the node is stopping.
    pub fn addr(&self) -> Option<SocketAddr> {
        self.caller_server.as_ref().map(|server| server.addr)
    }

    /// Returns the address for peers and operators.
    pub fn control_addr(&self) -> SocketAddr {
        self.control_server.addr
    }

    /// Returns the options that the node was started with.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Arc<Snapshot> {
        self.settings.load_full()
    }

    /// Returns the exchanges with peers, or `None` for a node without keys.
    pub fn peers(&self) -> Option<&Arc<Peers>> {
        self.coordination.peers.as_ref()
    }

    /// Returns the moves, verdicts and counts that the node shares with its peers.
    pub fn moves(&self) -> &Arc<SharedState> {
        &self.coordination.moves
    }

    /// Returns the node's candidacy for the controller's lease.
    pub fn candidate(&self) -> &Arc<Candidate> {
        &self.coordination.candidate
    }

    /// Returns the runtime with the node's threads, for tests that pause it.
    pub fn runtime(&self) -> &Runtime {
        &self.runtime
    }

    /// Marks the node as not ready; requests that still arrive are served, and their connections closed.
    ///
    /// The load balancer checks readiness only at intervals, so a planned stop waits between this call
    /// and [`Node::stop`].
    pub fn begin_leaving(&self) {
        self.open_requests.begin_leaving();
        if let Some(peers) = &self.coordination.peers {
            peers.mark_leaving();
        }
        info!(self.log, "leaving"; "open" => self.open_requests.count());
    }

    /// Stops accepting connections and waits at most `limit` until every accepted request is answered
    /// completely; returns the number of requests that were not.
    ///
    /// Those that have no answer shortly before get status 504 in the time that is left, at least
    /// 250 ms.
    pub async fn stop(&mut self, limit: Duration) -> usize {
        self.begin_leaving();
        if let Some(server) = self.caller_server.take() {
            self.open_connections = Some(server.stop_accepting());
        }
        self.wait_until_answered(limit.saturating_sub(LAST_ANSWER_TIME))
            .await;
        let unanswered = self.open_requests.count();
        self.stop_signal = None;
        self.close_connections().await;
        info!(self.log, "stopped"; "left" => unanswered);
        unanswered
    }

    /// Reads no further requests, and waits a little for the answers to what was read.
    async fn close_connections(&self) {
        let deadline = Instant::now() + LAST_ANSWER_TIME;
        if let Some(open) = &self.open_connections {
            open.close();
            while open.count() > 0 && Instant::now() < deadline {
                Timer::after(STOP_POLL_INTERVAL).await;
            }
        }
    }

    /// Waits at most `limit` until no request is open.
    async fn wait_until_answered(&self, limit: Duration) {
        let deadline = Instant::now() + limit;
        while self.open_requests.count() > 0 && Instant::now() < deadline {
            Timer::after(STOP_POLL_INTERVAL).await;
        }
    }
}

/// Returns the function that reports the node's status to operators.
fn status_source(
    options: &Options,
    settings: Arc<ArcSwap<Snapshot>>,
    open_requests: Arc<router::OpenRequests>,
) -> StatusSource {
    let (name, data_centre) = (options.name.clone(), options.data_centre.clone());
    let start = Instant::now();
    Arc::new(move || NodeStatus {
        name: name.clone(),
        data_centre: data_centre.clone(),
        revision: settings.load().revision,
        leaving: open_requests.is_leaving(),
        open: open_requests.count(),
        uptime: start.elapsed().as_secs(),
    })
}

/// Returns the function that reads the limits on callers from the settings in force for a data centre.
fn server_limits(
    settings: Arc<ArcSwap<Snapshot>>,
    data_centre: DataCentreId,
) -> ServerLimitsSource {
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

/// Sends the node's gauges periodically until dropped.
async fn send_gauges(
    metrics: Arc<Metrics>,
    settings: Arc<ArcSwap<Snapshot>>,
    open_requests: Arc<router::OpenRequests>,
) {
    loop {
        metrics.gauge(Gauge::Revision, settings.load().revision);
        metrics.gauge(Gauge::OpenRequests, open_requests.count() as u64);
        Timer::after(GAUGE_INTERVAL).await;
    }
}
