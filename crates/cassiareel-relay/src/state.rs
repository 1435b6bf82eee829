//! The state that all requests of a node share.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        Arc, Mutex, MutexGuard, OnceLock,
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use async_channel::{Receiver, Sender};
use cassiareel::{
    body_budget::BodyBudget,
    fleet_limits::FleetLimits,
    kernel::{
        quota::{node_key, Spread},
        suspect::Suspects,
    },
    runtime::{lock, Spawner},
};
use event_listener::Event;
use http::HeaderValue;
use slog::{info, Logger};
use smol::Timer;

use crate::{
    admission::Admission,
    backends::{Backend, Backends},
    clock::{self, millis, Moment},
    duties::NodeDemand,
    holds::{EnginePlace, Holds},
    kernel::{
        accepts_during_shutdown, remaining, Catalog, ConfigFreshness, DataCentreHealth,
        ReadSchedule, RefusalPause, RetryBudget, RetryCause, RunTimes, ServiceSpeeds, Shutdown,
    },
    metrics::Metrics,
    model::{EngineShape, Limits, Prompt, Route, ServiceId},
    net::Client,
    peers::{Members, StoreCache, UnlistedNodes, FORMAT_HEADER, MESSAGE_FORMAT},
    protocol::Protocol,
    rollouts::Rollouts,
    settings::Settings,
    source::{NodeRecord, Source},
    usage_meter::{MeterSettings, UsageMeter},
};

/// The greatest age of the cached configuration, as a part of the time in which a configuration
/// has to be in force.
const MAX_CONFIG_AGE_PART: f64 = 0.8;

/// How long a node that starts waits for the list of the fleet's nodes.
const NODES_READ_TIMEOUT: Duration = Duration::from_millis(300);

/// How long it waits while the call for that list is under way.
const NODES_CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// The shortest time between two suspensions after which the node leaves reading to others.
const MIN_WAKE_GAP: Duration = Duration::from_secs(10);

/// The maximum number of peers of other builds that are logged.
const MAX_OTHER_BUILDS: usize = 1024;

/// How long a node that has just started waits for the first updates from its peers.
const PEER_UPDATE_TIMEOUT: Duration = Duration::from_millis(900);

/// The interval at which a node that has just started checks for these updates.
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The number of nodes that is assumed until they were counted.
const ASSUMED_NODES: u32 = 100;

/// How long a node waits for the first read of the registry.
const REGISTRY_READ_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long after its start a node's first reads may still be under way.
const START_TIMEOUT: Duration = Duration::from_secs(2);

/// The interval at which a condition that is waited for is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The state that all requests of a node share.
pub(crate) struct State {
    /// The node's own settings.
    pub settings: ArcSwap<Settings>,
    /// The configuration in force; `None` until one is known.
    pub catalog: ArcSwap<Option<Arc<Catalog>>>,
    /// The backend servers.
    pub backends: Backends,
    /// The rollouts that are under way.
    pub rollouts: Rollouts,
    /// The admission of requests.
    pub admission: Admission,
    /// The demand for services whose size follows it.
    pub demand: NodeDemand,
    /// The streams that wait for an engine with room.
    pub holds: Holds<EnginePlace>,
    /// The limits that backend servers name for the whole fleet.
    pub server_limits: FleetLimits,
    /// The usage meter, where a duty needs it.
    pub usage: Option<Arc<UsageMeter>>,
    /// Nodes that are not in the list of the fleet's nodes yet.
    pub unlisted_nodes: UnlistedNodes,
    /// The headers of the platform.
    pub protocol: Arc<dyn Protocol>,
    /// The store.
    pub source: Arc<dyn Source>,
    /// The newest known contents of the store.
    pub store_cache: StoreCache,
    /// The logger.
    pub log: Logger,
    /// The metrics.
    pub metrics: Metrics,
    /// Spawns tasks.
    pub spawner: Spawner,
    /// Whether open streams are to be handed over to other nodes.
    pub handing_over: AtomicBool,
    /// Notified when connections without a request are to be closed, since the node stops.
    pub close_idle: Event,
    /// Memory for the bodies of callers' requests and of backend servers' responses.
    pub body_budget: Arc<BodyBudget>,
    /// Memory for the bodies of messages of other nodes and of the store.
    pub message_budget: Arc<BodyBudget>,
    /// Whether the node's last reads of the configuration failed.
    pub store_lost: AtomicBool,
    /// Notified when the store answers again after an outage.
    pub store_back: Event,
    /// When `store_back` was last notified, in milliseconds.
    pub store_back_at_ms: AtomicU64,
    /// When the node started.
    started: Moment,
    /// The number of nodes in the fleet, which share the limits that apply to all of them together.
    pub node_count: AtomicU32,
    /// Whether the fleet's nodes were read.
    pub nodes_read: AtomicBool,
    /// Whether the first call for the list of the fleet's nodes has ended.
    pub nodes_asked: AtomicBool,
    /// The pause of all calls of the store after it refused one because of its rate limit.
    refusal_pause: Mutex<RefusalPause>,
    /// When the node was last found to have been suspended, in milliseconds.
    woke_at_ms: AtomicU64,
    /// When a peer last answered that it has lists, but that its link is busy.
    lists_busy_at: Mutex<Option<Moment>>,
    /// The peers of other builds that were logged.
    other_builds: Mutex<HashSet<String>>,
    /// Whether the registry was read.
    pub registry_read: AtomicBool,
    /// Whether another node was asked for the limits that backend servers name.
    pub limits_read: AtomicBool,
    /// Whether another node was asked for the configuration, or there was no time for it.
    pub peer_asked: AtomicBool,
    /// Whether the operator's orders were read since the first backend servers were known.
    pub orders_read: AtomicBool,
    authority: Mutex<ConfigFreshness>,
    leaving_since: OnceLock<Moment>,
    budgets: Mutex<HashMap<ServiceId, RetryBudget>>,
    data_centre_losses: Mutex<DataCentreHealth>,
    speeds: Mutex<ServiceSpeeds>,
    run_times: Mutex<RunTimes>,
    suspects: Mutex<Suspects>,
    limit_spread: Mutex<Spread>,
    read_request_sender: Sender<()>,
    read_requests: Receiver<()>,
    version_signal: (Sender<()>, Receiver<()>),
    /// Closed when open requests are to be answered, since the process is about to exit.
    requests_end: (Sender<()>, Receiver<()>),
}

impl State {
    /// Creates the state of a node that has read nothing yet.
    pub(crate) fn new(
        settings: Settings,
        source: Arc<dyn Source>,
        message_budget: Arc<BodyBudget>,
        protocol: Arc<dyn Protocol>,
        log: Logger,
        spawner: Spawner,
        usage: Option<MeterSettings>,
    ) -> State {
        let (read_request_sender, read_requests) = async_channel::bounded(1);
        let body_budget = Arc::new(BodyBudget::new(settings.limits.body_bytes()));
        let server_limits = FleetLimits::new(node_key(&settings.node.name), clock::now());
        let name = settings.node.name.clone();
        let store_cache = StoreCache::new(&name, &settings.node.data_centre);
        let incarnation = store_cache.incarnation;
        let usage = usage.map(|usage| Arc::new(UsageMeter::new(usage, &name, incarnation)));
        State {
            authority: Mutex::new(ConfigFreshness::new(settings.bounds.revoke)),
            store_cache,
            usage,
            settings: ArcSwap::from_pointee(settings),
            catalog: ArcSwap::default(),
            backends: Backends::new(spawner.clone()),
            rollouts: Rollouts::default(),
            admission: Admission::default(),
            demand: NodeDemand::default(),
            holds: Holds::default(),
            server_limits,
            unlisted_nodes: UnlistedNodes::default(),
            protocol,
            source,
            log,
            metrics: Metrics::new(),
            spawner,
            leaving_since: OnceLock::new(),
            handing_over: AtomicBool::new(false),
            close_idle: Event::new(),
            body_budget,
            message_budget,
            store_lost: AtomicBool::new(false),
            store_back: Event::new(),
            store_back_at_ms: AtomicU64::new(0),
            started: clock::now(),
            node_count: AtomicU32::new(ASSUMED_NODES),
            nodes_read: AtomicBool::new(false),
            nodes_asked: AtomicBool::new(false),
            refusal_pause: Mutex::default(),
            woke_at_ms: AtomicU64::new(0),
            lists_busy_at: Mutex::default(),
            other_builds: Mutex::default(),
            registry_read: AtomicBool::new(false),
            limits_read: AtomicBool::new(false),
            peer_asked: AtomicBool::new(false),
            orders_read: AtomicBool::new(false),
            version_signal: async_channel::bounded(1),
            requests_end: async_channel::bounded(1),
            budgets: Mutex::default(),
            data_centre_losses: Mutex::default(),
            speeds: Mutex::default(),
            run_times: Mutex::default(),
            suspects: Mutex::default(),
            limit_spread: Mutex::default(),
            read_request_sender,
            read_requests,
        }
    }

    /// Returns the configuration in force.
    pub(crate) fn catalog(&self) -> Option<Arc<Catalog>> {
        Option::clone(&self.catalog.load())
    }

    /// Locks the best speeds of engines.
    pub(crate) fn speeds(&self) -> MutexGuard<'_, ServiceSpeeds> {
        lock(&self.speeds)
    }

    /// Locks the times of recent runs.
    pub(crate) fn run_times(&self) -> MutexGuard<'_, RunTimes> {
        lock(&self.run_times)
    }

    /// Reports whether a request may be sent to a backend server: always, unless the node stops and the
    /// request would not end in time. `done` is the number of tokens of the answer that the caller has.
    pub(crate) fn has_time_to_run(
        &self,
        route: &Route,
        service: &ServiceId,
        prompt: &Prompt,
        done: u64,
    ) -> bool {
        let Some(leave) = self.leave_progress(clock::now()) else {
            return true;
        };
        let times = self.run_times().expected(&route.name, service);
        accepts_during_shutdown(leave, route, prompt, done, times)
    }

    /// Locks the requests under which backend servers crashed.
    pub(crate) fn suspects(&self) -> MutexGuard<'_, Suspects> {
        lock(&self.suspects)
    }

    /// Locks what was passed on of the limits that backend servers name.
    pub(crate) fn limit_spread(&self) -> MutexGuard<'_, Spread> {
        lock(&self.limit_spread)
    }

    /// Locks the freshness of the configuration.
    pub(crate) fn authority(&self) -> MutexGuard<'_, ConfigFreshness> {
        lock(&self.authority)
    }

    /// Returns the limits on what callers send: those of the configuration, or defaults before it
    /// is known.
    pub(crate) fn limits(&self) -> Limits {
        let catalog = self.catalog();
        catalog.map_or_else(Limits::default, |catalog| catalog.limits())
    }

    /// Returns the shape of a service's engines, where it runs a model.
    pub(crate) fn engine_shape(&self, service: &str) -> Option<EngineShape> {
        self.catalog()?.engine(service).copied()
    }

    /// Reports whether a rollout of a service is open, or a version may belong to one that this node has
    /// not read yet.
    pub(crate) fn is_rolling_out(&self, service: &ServiceId) -> bool {
        let backends = self.backends.of_service(service);
        let is_unread =
            |backend: &Arc<Backend>| !self.rollouts.is_covered(service, &backend.entry.version);
        self.rollouts.is_open(service) || backends.iter().any(is_unread)
    }

    /// Locks the losses by data centre.
    pub(crate) fn data_centre_losses(&self) -> MutexGuard<'_, DataCentreHealth> {
        lock(&self.data_centre_losses)
    }

    /// Returns the greatest age of the cached configuration at which every version that must be in
    /// force is known.
    pub(crate) fn max_config_age(&self) -> Duration {
        self.settings
            .load()
            .bounds
            .config_apply
            .mul_f64(MAX_CONFIG_AGE_PART)
    }

    /// Puts other settings in force.
    pub(crate) fn replace_settings(&self, settings: Settings) {
        self.body_budget.set_limit(settings.limits.body_bytes());
        self.message_budget
            .set_limit(settings.limits.message_bytes());
        self.settings.store(Arc::new(settings));
    }

    /// Creates a client for calls to another node.
    pub(crate) fn client(&self, address: SocketAddr) -> Client {
        let budget = self.message_budget.clone();
        Client::new(address, self.spawner.clone(), budget)
            .with_header(FORMAT_HEADER, HeaderValue::from(MESSAGE_FORMAT))
    }

    /// Waits for a short time for the list of the fleet's nodes, which names the peers to query: a
    /// node that does not know them reads the store as if it were alone.
    pub(crate) async fn wait_nodes_read(&self) {
        let began = clock::now();
        let is_over = || {
            let was_asked = self.nodes_asked.load(Ordering::Relaxed);
            let is_late = clock::now() >= began + NODES_READ_TIMEOUT;
            self.nodes_read.load(Ordering::Relaxed) || (was_asked && is_late)
        };
        wait_until(began + NODES_CALL_TIMEOUT, is_over).await;
    }

    /// Records that a peer has lists that this node waits for.
    pub(crate) fn note_lists_busy(&self) {
        *lock(&self.lists_busy_at) = Some(clock::now());
    }

    /// Records that the node was suspended until now. A node whose tasks all run late must not wait
    /// for others again and again.
    pub(crate) fn note_wake(&self) {
        let now = millis(clock::now());
        let last = self.woke_at_ms.load(Ordering::Relaxed);
        if last == 0 || now.saturating_sub(last) > millis(MIN_WAKE_GAP) {
            self.woke_at_ms.store(now, Ordering::Relaxed);
        }
    }

    /// Returns how long the node, which was suspended, still leaves reading the store to others, whose
    /// updates are about to arrive.
    pub(crate) fn wake_left(&self) -> Option<Duration> {
        let woke_at = Duration::from_millis(self.woke_at_ms.load(Ordering::Relaxed));
        if woke_at.is_zero() || self.store_cache.is_forwarder() {
            return None;
        }
        let wait = self.store_cache.roster().read_after_wake();
        remaining(wait, clock::now().saturating_sub(woke_at))
    }

    /// Locks the pause of all calls of the store.
    pub(crate) fn refusal_pause(&self) -> MutexGuard<'_, RefusalPause> {
        lock(&self.refusal_pause)
    }

    /// Logs once that a peer is of another build.
    pub(crate) fn note_other_build(&self, peer: &str, format: &str) {
        let mut builds = lock(&self.other_builds);
        if builds.len() < MAX_OTHER_BUILDS && builds.insert(peer.to_owned()) {
            info!(self.log, "peer of another build"; "peer" => peer, "format" => format);
        }
    }

    /// Waits for a short time for the first read of the registry.
    pub(crate) async fn wait_registry_read(&self) {
        let is_read = || self.registry_read.load(Ordering::Relaxed);
        wait_until(clock::now() + REGISTRY_READ_TIMEOUT, is_read).await;
    }

    /// Reports whether a node that has just started leaves reading the store to others, since the
    /// first lists from its peers are about to arrive: in a large fleet, until its turn to read has
    /// come, and in a small one where no caller waits yet.
    pub(crate) fn waits_for_peers(&self) -> bool {
        let bootstrap = self.settings.load().node.bootstrap;
        let is_first_start = bootstrap && self.started_within(PEER_UPDATE_TIMEOUT);
        let now = clock::now();
        let busy = lock(&self.lists_busy_at).map(|at| now.saturating_sub(at));
        let spent = now.saturating_sub(self.started);
        !self.store_cache.is_forwarder()
            && (is_first_start || self.store_cache.roster().waits_for_lists(spent, busy))
    }

    /// Reports whether the node belongs to a large fleet, and has neither got its first lists from
    /// peers yet, nor read them itself, nor given up the search for them.
    pub(crate) fn needs_first_lists(&self) -> bool {
        let cache = &self.store_cache;
        let is_searching = !self.peer_asked.load(Ordering::Relaxed) && cache.age().is_none();
        is_searching && !cache.is_forwarder() && cache.roster().is_one_of_many()
    }

    /// Returns the times at which configuration and registry are read.
    pub(crate) fn reading(&self) -> ReadSchedule {
        ReadSchedule::new(self.settings.load().bounds.min_apply_time())
    }

    /// Returns how long this node may still use a value of the given age; `None` where it has to
    /// read the store.
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

    /// Reports whether the node reads the store for the others with success, and needs no updates
    /// from peers.
    pub(crate) fn is_active_reader(&self) -> bool {
        let lost = self.store_lost.load(Ordering::Relaxed);
        self.store_cache.reader_rank() == 0
            && !lost
            && self.store_cache.is_fresh(self.reading().overdue_age())
    }

    /// Caches the nodes of the fleet, by a read that began at `began`.
    pub(crate) fn update_members(&self, members: Arc<Members>, began: Moment) {
        let known = self.store_cache.members.get();
        if !self.store_cache.update_members(members, began) {
            return;
        }
        let Some((members, _)) = self.store_cache.members.get() else {
            return;
        };
        if known.is_some_and(|(known, _)| known.era < members.era) {
            info!(self.log, "node list of a new era"; "era" => members.era,
                "nodes" => members.records.len(), "lost" => members.lost.len());
        }
        let all = self.unlisted_nodes.merge(&members);
        self.server_limits.quotas().set_nodes(all, clock::now());
        let nodes = u32::try_from(members.records.len())
            .unwrap_or(u32::MAX)
            .max(1);
        if self.node_count.swap(nodes, Ordering::Relaxed) != nodes {
            info!(self.log, "node count changed"; "nodes" => nodes, "turn" => self.store_cache.reader_rank(),
                "age_ms" => clock::now().saturating_sub(began).as_millis() as u64);
        }
    }

    /// Returns this node's record in the store, without counts.
    pub(crate) fn own_record(&self) -> NodeRecord {
        let settings = self.settings.load();
        NodeRecord {
            name: settings.node.name.clone(),
            address: settings.listen.peers,
            data_centre: settings.node.data_centre.clone(),
            counts: Vec::new(),
            link_mbps: settings.limits.link_rate(),
        }
    }

    /// Counts a caller's request to a service.
    pub(crate) fn count_request(&self, service: &ServiceId) {
        self.with_budget(service, |budget| budget.record_request(clock::now()));
    }

    /// Takes one retry out of a service's budget; `begun` is whether the caller already has part of
    /// the stream.
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

    /// Reports whether a retry is left in a service's budget.
    pub(crate) fn may_retry(&self, service: &ServiceId, begun: bool) -> bool {
        let is_left = self.take_retry(service, begun);
        if is_left {
            self.refund_retry(service);
        }
        is_left
    }

    /// Returns a retry that reached no backend server to the budget.
    pub(crate) fn refund_retry(&self, service: &ServiceId) {
        self.with_budget(service, |budget| budget.refund(clock::now()));
    }

    /// Returns when a caller may retry where no backend server of a service takes its request now:
    /// after a typical time, and not before one of them takes requests again.
    pub(crate) fn retry_after(&self, service: &str, typical: Duration) -> Duration {
        typical.max(self.time_to_accept(service).unwrap_or_default())
    }

    /// Returns the time until the first backend server of a service is expected to take requests;
    /// `None` if all are leaving or have ended.
    pub(crate) fn time_to_accept(&self, service: &str) -> Option<Duration> {
        let now = clock::now();
        let quotas = self.server_limits.quotas();
        let limit_wait = |backend: &Backend| quotas.expected_wait(backend.process(), now);
        self.backends.time_to_accept(service, now, limit_wait)
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
            && self.limits_read.load(Ordering::Relaxed)
            && self.peer_asked.load(Ordering::Relaxed)
    }

    /// Reports whether the node started less than `age` ago.
    pub(crate) fn started_within(&self, age: Duration) -> bool {
        clock::now().saturating_sub(self.started) < age
    }

    /// Waits up to `limit` for a node that has just started to read what it needs. One that has not
    /// succeeded for [`START_TIMEOUT`] no longer waits.
    pub(crate) async fn wait_informed(&self, limit: Duration) {
        let now = clock::now();
        let end = (now + limit).min(self.started + START_TIMEOUT);
        wait_until(end, || self.is_informed()).await;
    }

    /// Records that the node is about to stop.
    pub(crate) fn begin_leaving(&self, now: Moment) {
        self.leaving_since.get_or_init(|| now);
    }

    /// Reports whether the node is about to stop.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving_since.get().is_some()
    }

    /// Returns how far the stop has progressed, where the node is about to stop.
    pub(crate) fn leave_progress(&self, now: Moment) -> Option<Shutdown> {
        let spent = now.saturating_sub(*self.leaving_since.get()?);
        let left = self.settings.load().bounds.grace.saturating_sub(spent);
        Some(Shutdown {
            elapsed: spent,
            remaining: left,
        })
    }

    /// Ends all requests of which the caller has no part of the answer.
    pub(crate) fn end_requests(&self) {
        self.requests_end.0.close();
    }

    /// Reports whether requests were ended, so that none may begin.
    pub(crate) fn has_ended_requests(&self) -> bool {
        self.requests_end.0.is_closed()
    }

    /// Waits until requests are to be answered with what is known, since the process is about to
    /// exit.
    pub(crate) async fn wait_requests_end(&self) {
        // Nothing is sent: the receiver fails when the channel is closed.
        let _ = self.requests_end.1.recv().await;
    }

    /// Waits for a read of the configuration that began at or after `since`; returns `false` where
    /// there was none within `limit`.
    pub(crate) async fn wait_config_read(&self, since: Moment, limit: Duration) -> bool {
        let end = clock::now() + limit;
        let is_fresh = || {
            let confirmed = self.authority().last_read();
            let fresh = confirmed.is_some_and(|at| at >= since);
            if !fresh && clock::now() < end {
                // A full channel means that a read was already requested.
                let _ = self.read_request_sender.try_send(());
            }
            fresh
        };
        wait_until(end, is_fresh).await
    }

    /// Waits until a request needs a fresh read.
    pub(crate) async fn read_requested(&self) {
        // The sender lives as long as the state.
        let _ = self.read_requests.recv().await;
    }

    /// Signals that a version has appeared that may belong to a rollout.
    pub(crate) fn notify_version(&self) {
        // A full channel means that the last signal was not received yet.
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

/// Checks a condition at short intervals until it holds; returns `false` where it does not hold at
/// `end`.
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
