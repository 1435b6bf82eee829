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
    clock::{self, Moment},
    dialect::Dialect,
    fleet::Fleet,
    kernel::{
        Catalog, ConfigFreshness, DataCentreHealth, ReadSchedule, RetryBudget, RetryCause,
        ServiceSpeeds, Shutdown,
    },
    metrics::Metrics,
    model::{EngineShape, Limits, ServiceId},
    moves::Moves,
    peers::{Members, News},
    settings::Settings,
    source::{NodeRecord, Source},
};

/// The part of the time in which a configuration has to be in force that a word on it may be old.
const FRESH_PART: f64 = 0.8;

/// One part in so many of a VM's memory may hold bodies.
const BODIES_PART: u64 = 4;

/// How long a node that starts waits for the list of the fleet's nodes.
const JOIN: Duration = Duration::from_millis(300);

/// How long a node that has just started waits for its peers' words.
const FIRST_WORDS: Duration = Duration::from_millis(900);

/// The time between looks for these words.
const FIRST_LOOK: Duration = Duration::from_millis(100);

/// Nodes that are assumed until they were counted.
const UNKNOWN_NODES: u32 = 100;

/// How long the first read of the registry is waited for.
const LIST: Duration = Duration::from_millis(1500);

/// How long after its start a node's first reads are on their way.
const STARTING: Duration = Duration::from_secs(2);

/// The time between looks at what is waited for.
const POLL: Duration = Duration::from_millis(5);

/// What all requests of a node share.
pub(crate) struct State {
    /// The node's own settings.
    pub settings: ArcSwap<Settings>,
    /// The configuration in force; `None` until one is known.
    pub catalog: ArcSwap<Option<Arc<Catalog>>>,
    /// The backend servers.
    pub fleet: Fleet,
    /// The moves between versions that are under way.
    pub moves: Moves,
    /// Who is let in.
    pub admission: Admission,
    /// Headers of the platform.
    pub dialect: Arc<dyn Dialect>,
    /// The store.
    pub source: Arc<dyn Source>,
    /// The newest contents of the store.
    pub news: News,
    /// Where lines go.
    pub log: Logger,
    /// What is counted.
    pub metrics: Metrics,
    /// Runs tasks.
    pub spawner: Spawner,
    /// Whether open streams are to be handed over to other nodes.
    pub handing: AtomicBool,
    /// Told when connections without a request are to be closed, since the node ends.
    pub closing: Event,
    /// Bytes of bodies that are held.
    pub held: Arc<AtomicU64>,
    /// Whether the node's last reads of the configuration failed.
    pub store_lost: AtomicBool,
    /// Told when the store answers again after it was away.
    pub store_back: Event,
    /// When it was told last, in milliseconds.
    pub store_word: AtomicU64,
    /// When the node started.
    started: Moment,
    /// Nodes of the fleet, which share what is bounded for all of them.
    pub nodes: AtomicU32,
    /// Whether the fleet's nodes were read.
    pub joined: AtomicBool,
    /// Whether the registry was read.
    pub listed: AtomicBool,
    /// Whether the operator's moves were read since the first backend servers were known.
    pub asked: AtomicBool,
    authority: Mutex<ConfigFreshness>,
    leaving: OnceLock<Moment>,
    budgets: Mutex<HashMap<ServiceId, RetryBudget>>,
    zones: Mutex<DataCentreHealth>,
    paces: Mutex<ServiceSpeeds>,
    suspects: Mutex<Suspects>,
    nudge: Sender<()>,
    nudged: Receiver<()>,
    appeared: (Sender<()>, Receiver<()>),
}

impl State {
    /// Knows nothing yet.
    pub(crate) fn new(
        settings: Settings,
        source: Arc<dyn Source>,
        dialect: Arc<dyn Dialect>,
        log: Logger,
        spawner: Spawner,
    ) -> State {
        let (nudge, nudged) = async_channel::bounded(1);
        State {
            authority: Mutex::new(ConfigFreshness::new(settings.bounds.revoke)),
            news: News::new(&settings.node.name, &settings.node.data_centre),
            settings: ArcSwap::from_pointee(settings),
            catalog: ArcSwap::default(),
            fleet: Fleet::new(spawner.clone()),
            moves: Moves::default(),
            admission: Admission::default(),
            dialect,
            source,
            log,
            metrics: Metrics::new(),
            spawner,
            leaving: OnceLock::new(),
            handing: AtomicBool::new(false),
            closing: Event::new(),
            held: Arc::default(),
            store_lost: AtomicBool::new(false),
            store_back: Event::new(),
            store_word: AtomicU64::new(0),
            started: clock::now(),
            nodes: AtomicU32::new(UNKNOWN_NODES),
            joined: AtomicBool::new(false),
            listed: AtomicBool::new(false),
            asked: AtomicBool::new(false),
            appeared: async_channel::bounded(1),
            budgets: Mutex::default(),
            zones: Mutex::default(),
            paces: Mutex::default(),
            suspects: Mutex::default(),
            nudge,
            nudged,
        }
    }

    /// The configuration in force.
    pub(crate) fn catalog(&self) -> Option<Arc<Catalog>> {
        Option::clone(&self.catalog.load())
    }

    /// How fast engines are at best.
    pub(crate) fn paces(&self) -> MutexGuard<'_, ServiceSpeeds> {
        lock(&self.paces)
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
    pub(crate) fn zones(&self) -> MutexGuard<'_, DataCentreHealth> {
        lock(&self.zones)
    }

    /// The age of the word on the configuration by which a version that must be in force is known.
    pub(crate) fn fresh_enough(&self) -> Duration {
        self.settings.load().bounds.config_apply.mul_f64(FRESH_PART)
    }

    /// The most bytes of bodies that may be held: a part of the VM's memory.
    pub(crate) fn most_held(&self) -> u64 {
        (self.settings.load().limits.memory_mb << 20) / BODIES_PART
    }

    /// Waits a moment for the list of the fleet's nodes, by which a node knows whom to ask.
    pub(crate) async fn wait_joined(&self) {
        let joined = || self.joined.load(Ordering::Relaxed);
        wait_until(clock::now() + JOIN, joined).await;
    }

    /// Waits a moment for the first read of the registry.
    pub(crate) async fn wait_listed(&self) {
        let listed = || self.listed.load(Ordering::Relaxed);
        wait_until(clock::now() + LIST, listed).await;
    }

    /// Reports whether a node that has just started leaves the store to its peers' readers, whose
    /// first words are on their way. They take a while where all nodes start at once: only where no
    /// caller waits yet is that time worth the calls.
    pub(crate) fn waits_for_peers(&self) -> bool {
        let bootstrap = self.settings.load().node.bootstrap;
        bootstrap && !self.news.is_relay() && self.is_young(FIRST_WORDS)
    }

    /// When configuration and registry are read.
    pub(crate) fn reading(&self) -> ReadSchedule {
        ReadSchedule::new(self.settings.load().bounds.shortest())
    }

    /// How long this node still goes by a word of the given age; `None` where it reads the store.
    pub(crate) fn time_to_read(
        &self,
        reading: ReadSchedule,
        age: Option<Duration>,
    ) -> Option<Duration> {
        let Some(age) = age else {
            return self.waits_for_peers().then_some(FIRST_LOOK);
        };
        reading.remaining(self.news.turn(), age)
    }

    /// Reports whether the node reads the store for the others with success, and needs no peer's word.
    pub(crate) fn knows_from_store(&self) -> bool {
        let lost = self.store_lost.load(Ordering::Relaxed);
        self.news.turn() == 0 && !lost && self.news.is_fresh(self.reading().overdue_age())
    }

    /// Takes in the nodes of the fleet, by a read that began at `began`.
    pub(crate) fn put_members(&self, members: Arc<Members>, began: Moment) {
        let nodes = u32::try_from(members.records.len())
            .unwrap_or(u32::MAX)
            .max(1);
        if !self.news.put_members(members, began) {
            return;
        }
        if self.nodes.swap(nodes, Ordering::Relaxed) != nodes {
            info!(self.log, "nodes counted"; "nodes" => nodes, "turn" => self.news.turn(),
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
    pub(crate) fn may_repeat(&self, service: &ServiceId, begun: bool) -> bool {
        let window = self.settings.load().bounds.retry_window;
        let cause = if begun {
            let turnover = self.fleet.turnover(service, window, clock::now());
            RetryCause::Started { turnover }
        } else {
            RetryCause::NotStarted
        };
        let slack = self.settings.load().bounds.retry_slack;
        let free = slack / f64::from(self.nodes.load(Ordering::Relaxed).max(1));
        self.with_budget(service, |budget| {
            budget.try_retry(clock::now(), free, cause)
        })
    }

    /// Gives back a repeat that reached no backend server.
    pub(crate) fn refund_repeat(&self, service: &ServiceId) {
        self.with_budget(service, |budget| budget.refund(clock::now()));
    }

    /// When a caller may come back that no backend server of a service takes now: after a usual time, and
    /// not before one of them wants requests again.
    pub(crate) fn come_back(&self, service: &str, usual: Duration) -> Duration {
        let rest = self.fleet.rest_left(service, clock::now());
        usual.max(rest.unwrap_or_default())
    }

    /// Reports whether the node should get new connections.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_leaving() && self.is_informed() && self.authority().is_fresh(clock::now())
    }

    /// Reports whether the node has read all that it needs to serve requests.
    fn is_informed(&self) -> bool {
        self.catalog().is_some()
            && self.listed.load(Ordering::Relaxed)
            && self.asked.load(Ordering::Relaxed)
    }

    /// Reports whether the node started less than `age` ago.
    pub(crate) fn is_young(&self, age: Duration) -> bool {
        clock::now().saturating_sub(self.started) < age
    }

    /// Waits up to `limit` for a node that has just started to read what it needs. One that has not
    /// managed to for [`STARTING`] waits no more.
    pub(crate) async fn wait_informed(&self, limit: Duration) {
        let now = clock::now();
        let end = (now + limit).min(self.started + STARTING);
        wait_until(end, || self.is_informed()).await;
    }

    /// Notes that the node is about to end.
    pub(crate) fn leave(&self, now: Moment) {
        self.leaving.get_or_init(|| now);
    }

    /// Reports whether the node is about to end.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.get().is_some()
    }

    /// How far the stop is, where the node is about to end.
    pub(crate) fn leave_under_way(&self, now: Moment) -> Option<Shutdown> {
        let spent = now.saturating_sub(*self.leaving.get()?);
        let left = self.settings.load().bounds.grace.saturating_sub(spent);
        Some(Shutdown {
            elapsed: spent,
            remaining: left,
        })
    }

    /// Waits for a read of the configuration that began after `since`; `false` where none came
    /// within `limit`.
    pub(crate) async fn wait_fresh(&self, since: Moment, limit: Duration) -> bool {
        let end = clock::now() + limit;
        let is_fresh = || {
            let confirmed = self.authority().last_read();
            let fresh = confirmed.is_some_and(|at| at >= since);
            if !fresh && clock::now() < end {
                // A full channel means that a read was asked for already.
                let _ = self.nudge.try_send(());
            }
            fresh
        };
        wait_until(end, is_fresh).await
    }

    /// Waits until a request asks for a fresh read.
    pub(crate) async fn nudged(&self) {
        // The sender lives as long as the state.
        let _ = self.nudged.recv().await;
    }

    /// Notes that a version has appeared that may belong to a move.
    pub(crate) fn note_version(&self) {
        // A full channel means that the note was not taken yet.
        let _ = self.appeared.0.try_send(());
    }

    /// Waits until a version has appeared.
    pub(crate) async fn version_appeared(&self) {
        // The sender lives as long as the state.
        let _ = self.appeared.1.recv().await;
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
        Timer::after(POLL).await;
    }
}
