/*!
A node: the parts of the daemon, wired.

A node serves callers on one address, and peers and operators on another. It owns its threads, so
that dropping it ends all that it does at once; a planned stop goes through [`Node::leave`] and
[`Node::stop`].
*/

mod follow;
mod mount;
mod options;

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use slog::{info, o, Logger};
use smol::{net::TcpListener, Timer};

pub use mount::Mounts;
pub use options::Options;

use crate::{
    front::{Front, Parts},
    platform::Objects,
    runtime::Runtime,
    settings::Snapshot,
    wire::{self, Bounds, Served},
};

/// A running node.
pub struct Node {
    options: Options,
    settings: Arc<ArcSwap<Snapshot>>,
    open: Arc<mount::Open>,
    callers: Option<Served>,
    control: Served,
    log: Logger,
    // INVARIANT: dropped last, with every task of the node.
    runtime: Runtime,
}

/// Time between looks at the open requests of a node that stops.
const STOP_POLL: Duration = Duration::from_millis(20);

impl Node {
    /// Starts a node.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be bound.
    pub fn start(options: Options, objects: Arc<dyn Objects>, log: &Logger) -> io::Result<Node> {
        let log = log.new(o!("node" => options.name.to_string()));
        let runtime = Runtime::new(&options.name, options.threads);
        let spawner = runtime.spawner();
        let settings = Arc::new(ArcSwap::from_pointee(Snapshot::default()));
        let open = Arc::new(mount::Open::default());
        let parts = Parts::new(settings.clone(), spawner, log.clone())
            .with_metrics(options.metrics.clone())
            .with_hooks(options.hooks.clone());
        let front = Front::new(Arc::new(parts));
        let callers = Mounts::new(open.clone(), settings.clone()).with_callers(Arc::new(front));
        let control = Mounts::new(open.clone(), settings.clone());
        let follow = follow::follow(objects, settings.clone(), log.clone());
        runtime.spawn(follow).detach();
        let callers = serve(&runtime, options.listen, callers)?;
        let control = serve(&runtime, options.control, control)?;
        info!(log, "started"; "listen" => %callers.addr, "control" => %control.addr,
            "data_centre" => &*options.data_centre);
        Ok(Node {
            options,
            settings,
            open,
            callers: Some(callers),
            control,
            log,
            runtime,
        })
    }

    /// The address for callers; none once the node stops.
    pub fn addr(&self) -> Option<SocketAddr> {
        self.callers.as_ref().map(|served| served.addr)
    }

    /// The address for peers and operators.
    pub fn control(&self) -> SocketAddr {
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

    /// The node's threads, for tests that freeze it.
    pub fn runtime(&self) -> &Runtime {
        &self.runtime
    }

    /// Turns readiness off; requests that still come are served, and their connections closed.
    ///
    /// The balancer looks at readiness only now and then, so that a planned stop gives it time
    /// between this and [`Node::stop`].
    pub fn leave(&self) {
        self.open.leave();
        info!(self.log, "leaving"; "open" => self.open.count());
    }

    /// Stops accepting connections and waits at most `limit` until every request that was accepted
    /// is answered whole; returns how many were not.
    pub async fn stop(&mut self, limit: Duration) -> usize {
        self.leave();
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

/// Binds an address and serves it.
fn serve(runtime: &Runtime, addr: SocketAddr, mounts: Mounts) -> io::Result<Served> {
    let listener = smol::block_on(TcpListener::bind(addr))?;
    wire::serve(
        &runtime.spawner(),
        listener,
        Bounds::default(),
        Arc::new(mounts),
    )
}
