//! What all requests of a node share.

use std::{
    collections::HashMap,
    sync::{
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        Arc, Mutex, MutexGuard, OnceLock,
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use async_channel::{Receiver, Sender};
use cassiareel::{
    kernel::suspect::Suspects,
    runtime::{lock, Spawner},
};
use event_listener::Event;
use slog::{info, Logger};
use smol::Timer;

use crate::{
    admission::Admission,
    backends::Backends,
    clock::{self, Moment},
    kernel::{
        Catalog, ConfigFreshness, DataCentreHealth, ReadSchedule, RetryBudget, RetryCause,
        ServiceSpeeds, Shutdown,
    },
    metrics::Metrics,
    model::{EngineShape, Limits, ServiceId},
    peers::{Members, StoreCache},
    protocol::Protocol,
    rollouts::Rollouts,
    settings::Settings,
    source::{NodeRecord, Source},
};

/// The part of the time in which a configuration has to be in force that a word on it may be old.
const MAX_CONFIG_AGE_PART: f64 = 0.8;

/// One part in so many of a VM's memory may hold bodies.
const BODY_MEMORY_DIVISOR: u64 = 4;

/// How long a node that starts waits for the list of the fleet's nodes.
const NODES_READ_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a node that has just started waits for its peers' words.
const PEER_UPDATE_TIMEOUT: Duration = Duration::from_millis(900);

/// The time between looks for these words.
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Nodes that are assumed until they were counted.
const ASSUMED_NODES: u32 = 100;

/// How long the first read of the registry is waited for.
const REGISTRY_READ_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long after its start a node's first reads are on their way.
const START_TIMEOUT: Duration = Duration::from_secs(2);

/// The time between looks at what is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// What all requests of a node share.
pub(crate) struct State {
    /// The node's own settings.
    pub settings: ArcSwap<Settings>,
    /// The configuration in force; `None` until one is known.
    pub catalog: ArcSwap<Option<Arc<Catalog>>>,
    /// The backend servers.
    pub backends: Backends,
    /// The moves between versions that are under way.
    pub rollouts: Rollouts,
    /// Who is let in.
    pub admission: Admission,
    /// Headers of the platform.
    pub protocol: Arc<dyn Protocol>,
    /// The store.
    pub source: Arc<dyn Source>,
    /// The newest contents of the store.
    pub store_cache: StoreCache,
    /// Where lines go.
    pub log: Logger,
    /// What is counted.
    pub metrics: Metrics,
    /// Runs tasks.
    pub spawner: Spawner,
    /// Whether open streams are to be handed over to other nodes.
    pub handing_over: AtomicBool,
    /// Told when connections without a request are to be closed, since the node ends.
    pub close_idle: Event,
    /// Bytes of bodies that are held.
    pub body_bytes: Arc<AtomicU64>,
    /// Whether the node's last reads of the configuration failed.
    pub store_lost: AtomicBool,
    /// Told when the store answers again after it was away.
    pub store_back: Event,
    /// When it was told last, in milliseconds.
    pub store_back_at_ms: AtomicU64,
    /// When the node started.
    started: Moment,
    /// Nodes of the fleet, which share what is bounded for all of them.
    pub node_count: AtomicU32,
    /// Whether the fleet's nodes were read.
    pub nodes_read: AtomicBool,
    /// Whether the registry was read.
    pub registry_read: AtomicBool,
    /// Whether the operator's moves were read since the first backend servers were known.
    pub orders_read: AtomicBool,
    authority: Mutex<ConfigFreshness>,
    leaving_since: OnceLock<Moment>,
    budgets: Mutex<HashMap<ServiceId, RetryBudget>>,
    data_centre_losses: Mutex<DataCentreHealth>,
    speeds: Mutex<ServiceSpeeds>,
    suspects: Mutex<Suspects>,
    read_request_sender: Sender<()>,
    read_requests: Receiver<()>,
    version_signal: (Sender<()>, Receiver<()>),
}

impl State {
    /// Knows nothing yet.
    pub(crate) fn new(
        settings: Settings,
        source: Arc<dyn Source>,
        protocol: Arc<dyn Protocol>,
        log: Logger,
        spawner: Spawner,
    ) -> State {
        let (read_request_sender, read_requests) = async_channel::bounded(1);
        State {
            authority: Mutex::new(ConfigFreshness::new(settings.bounds.revoke)),
            store_cache: StoreCache::new(&settings.node.name, &settings.node.data_centre),
            settings: ArcSwap::from_pointee(settings),
            catalog: ArcSwap::default(),
            backends: Backends::new(spawner.clone()),
            rollouts: Rollouts::default(),
            admission: Admission::default(),
            protocol,
            source,
            log,
            metrics: Metrics::new(),
            spawner,
            leaving_since: OnceLock::new(),
            handing_over: AtomicBool::new(false),
            close_idle: Event::new(),
            body_bytes: Arc::default(),
            store_lost: AtomicBool::new(false),
            store_back: Event::new(),
            store_back_at_ms: AtomicU64::new(0),
            started: clock::now(),
            node_count: AtomicU32::new(ASSUMED_NODES),
            nodes_read: AtomicBool::new(false),
            registry_read: AtomicBool::new(false),
            orders_read: AtomicBool::new(false),
            version_signal: async_channel::bounded(1),
            budgets: Mutex::default(),
            data_centre_losses: Mutex::default(),
            speeds: Mutex::default(),
            suspects: Mutex::default(),
            read_request_sender,
            read_requests,
        }
    }

    /// The configuration in force.
    pub(crate) fn catalog(&self) -> Option<Arc<Catalog>> {
        Option::clone(&self.catalog.load())
    }

    /// How fast engines are at best.
    pub(crate) fn speeds(&self) -> MutexGuard<'_, ServiceSpeeds> {
        lock(&self.speeds)
    }

    /// Requests under which backend servers ended.
    pub(crate) fn suspects(&self) -> MutexGuard<'_, Suspects> {
        lock(&self.suspects)
    }

    /// How fresh the configuration is.
    pub(crate) fn authority(&self) -> MutexGuard<'_, ConfigFreshness> {
        lock(&self.authority)
    }

    /// Bounds on what callers send: those of the configuration, or usual ones before it is known.
    pub(crate) fn limits(&self) -> Limits {
        let catalog = self.catalog();
        catalog.map_or_else(Limits::default, |catalog| catalog.limits())
    }

    /// The shape of a service's engines, where it runs a model.
    pub(crate) fn engine(&self, service: &str) -> Option<EngineShape> {
        self.catalog()?.engine(service).copied()
    }

    /// Failures by data centre.
    pub(crate) fn data_centre_losses(&self) -> MutexGuard<'_, DataCentreHealth> {
        lock(&self.data_centre_losses)
    }

    /// The age of the word on the configuration by which a version that must be in force is known.
    pub(crate) fn max_config_age(&self) -> Duration {
        self.settings
            .load()
            .bounds
            .config_apply
            .mul_f64(MAX_CONFIG_AGE_PART)
    }

    /// The most bytes of bodies that may be held: a part of the VM's memory.
    pub(crate) fn max_body_bytes(&self) -> u64 {
        (self.settings.load().limits.memory_mb << 20) / BODY_MEMORY_DIVISOR
    }

    /// Waits a moment for the list of the fleet's nodes, by which a node knows whom to ask.
    pub(crate) async fn wait_nodes_read(&self) {
        let is_read = || self.nodes_read.load(Ordering::Relaxed);
        wait_until(clock::now() + NODES_READ_TIMEOUT, is_read).await;
    }

    /// Waits a moment for the first read of the registry.
    pub(crate) async fn wait_registry_read(&self) {
        let is_read = || self.registry_read.load(Ordering::Relaxed);
        wait_until(clock::now() + REGISTRY_READ_TIMEOUT, is_read).await;
    }

    /// Reports whether a node that has just started leaves the store to its peers' readers, whose
    /// first words are on their way. They take a while where all nodes start at once: only where no
    /// caller waits yet is that time worth the calls.
    pub(crate) fn waits_for_peers(&self) -> bool {
        let bootstrap = self.settings.load().node.bootstrap;
        bootstrap && !self.store_cache.is_forwarder() && self.is_young(PEER_UPDATE_TIMEOUT)
    }

    /// When configuration and registry are read.
    pub(crate) fn reading(&self) -> ReadSchedule {
        ReadSchedule::new(self.settings.load().bounds.min_apply_time())
    }

    /// How long this node still goes by a word of the given age; `None` where it reads the store.
    pub(crate) fn time_to_read(
        &self,
        reading: ReadSchedule,
        age: Option<Duration>,
    ) -> Option<Duration> {
        let Some(age) = age else {
            return self.waits_for_peers().then_some(PEER_POLL_INTERVAL);
        };
        reading.remaining(self.store_cache.reader_rank(), age)
    }

    /// Reports whether the node reads the store for the others with success, and needs no peer's word.
    pub(crate) fn is_active_reader(&self) -> bool {
        let lost = self.store_lost.load(Ordering::Relaxed);
        self.store_cache.reader_rank() == 0
            && !lost
            && self.store_cache.is_fresh(self.reading().overdue_age())
    }

    /// Takes in the nodes of the fleet, by a read that began at `began`.
    pub(crate) fn update_members(&self, members: Arc<Members>, began: Moment) {
        let nodes = u32::try_from(members.records.len())
            .unwrap_or(u32::MAX)
            .max(1);
        if !self.store_cache.update_members(members, began) {
            return;
        }
        if self.node_count.swap(nodes, Ordering::Relaxed) != nodes {
            info!(self.log, "node count changed"; "nodes" => nodes, "turn" => self.store_cache.reader_rank(),
                "age_ms" => clock::now().saturating_sub(began).as_millis() as u64);
        }
    }

    /// What this node says of itself in the store, without counts.
    pub(crate) fn own_record(&self) -> NodeRecord {
        let settings = self.settings.load();
        NodeRecord {
            name: settings.node.name.clone(),
            address: settings.listen.peers,
            data_centre: settings.node.data_centre.clone(),
            counts: Vec::new(),
        }
    }

    /// Counts a caller's request to a service.
    pub(crate) fn count_request(&self, service: &ServiceId) {
        self.with_budget(service, |budget| budget.record_request(clock::now()));
    }

    /// Takes one repeat out of a service's budget, for a stream of which the caller has part where it
    /// has `begun`.
    pub(crate) fn take_retry(&self, service: &ServiceId, begun: bool) -> bool {
        let window = self.settings.load().bounds.retry_window;
        let cause = if begun {
            let turnover = self.backends.turnover(service, window, clock::now());
            RetryCause::Started { turnover }
        } else {
            RetryCause::NotStarted
        };
        let slack = self.settings.load().bounds.retry_slack;
        let free = slack / f64::from(self.node_count.load(Ordering::Relaxed).max(1));
        self.with_budget(service, |budget| {
            budget.try_retry(clock::now(), free, cause)
        })
    }

    /// Gives back a repeat that reached no backend server.
    pub(crate) fn refund_retry(&self, service: &ServiceId) {
        self.with_budget(service, |budget| budget.refund(clock::now()));
    }

    /// When a caller may come back that no backend server of a service takes now: after a usual time, and
    /// not before one of them wants requests again.
    pub(crate) fn retry_after(&self, service: &str, typical: Duration) -> Duration {
        let rest = self.backends.backoff_left(service, clock::now());
        typical.max(rest.unwrap_or_default())
    }

    /// Reports whether the node should get new connections.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_leaving() && self.is_informed() && self.authority().is_fresh(clock::now())
    }

    /// Reports whether the node has read all that it needs to serve requests.
    fn is_informed(&self) -> bool {
        self.catalog().is_some()
            && self.registry_read.load(Ordering::Relaxed)
            && self.orders_read.load(Ordering::Relaxed)
    }

    /// Reports whether the node started less than `age` ago.
    pub(crate) fn is_young(&self, age: Duration) -> bool {
        clock::now().saturating_sub(self.started) < age
    }

    /// Waits up to `limit` for a node that has just started to read what it needs. One that has not
    /// managed to for [`STARTING`] waits no more.
    pub(crate) async fn wait_informed(&self, limit: Duration) {
        let now = clock::now();
        let end = (now + limit).min(self.started + START_TIMEOUT);
        wait_until(end, || self.is_informed()).await;
    }

    /// Notes that the node is about to end.
    pub(crate) fn begin_leaving(&self, now: Moment) {
        self.leaving_since.get_or_init(|| now);
    }

    /// Reports whether the node is about to end.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving_since.get().is_some()
    }

    /// How far the stop is, where the node is about to end.
    pub(crate) fn leave_progress(&self, now: Moment) -> Option<Shutdown> {
        let spent = now.saturating_sub(*self.leaving_since.get()?);
        let left = self.settings.load().bounds.grace.saturating_sub(spent);
        Some(Shutdown {
            elapsed: spent,
            remaining: left,
        })
    }

    /// Waits for a read of the configuration that began after `since`; `false` where none came
    /// within `limit`.
    pub(crate) async fn wait_config_read(&self, since: Moment, limit: Duration) -> bool {
        let end = clock::now() + limit;
        let is_fresh = || {
            let confirmed = self.authority().last_read();
            let fresh = confirmed.is_some_and(|at| at >= since);
            if !fresh && clock::now() < end {
                // A full channel means that a read was asked for already.
                let _ = self.read_request_sender.try_send(());
            }
            fresh
        };
        wait_until(end, is_fresh).await
    }

    /// Waits until a request asks for a fresh read.
    pub(crate) async fn read_requested(&self) {
        // The sender lives as long as the state.
        let _ = self.read_requests.recv().await;
    }

    /// Notes that a version has appeared that may belong to a move.
    pub(crate) fn notify_version(&self) {
        // A full channel means that the note was not taken yet.
        let _ = self.version_signal.0.try_send(());
    }

    /// Waits until a version has appeared.
    pub(crate) async fn wait_version(&self) {
        // The sender lives as long as the state.
        let _ = self.version_signal.1.recv().await;
    }

    fn with_budget<F, T>(&self, service: &ServiceId, change: F) -> T
    where
        F: FnOnce(&mut RetryBudget) -> T,
    {
        let mut budgets = lock(&self.budgets);
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            let settings = self.settings.load();
            RetryBudget::new(settings.bounds.retry_ratio, settings.bounds.retry_window)
        });
        change(budget)
    }
}

/// Looks at short intervals whether something holds; `false` where it does not at `end`.
async fn wait_until<F>(end: Moment, holds: F) -> bool
where
    F: Fn() -> bool,
{
    loop {
        if holds() {
            return true;
        }
        if clock::now() >= end {
            return false;
        }
        Timer::after(POLL_INTERVAL).await;
    }
}
