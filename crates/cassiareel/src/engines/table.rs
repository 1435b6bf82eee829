//! The table of backend servers and its updates.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
};

use arc_swap::ArcSwap;
use async_channel::Receiver;

use super::{
    health::{CallOutcome, HealthChange, HealthTracker},
    limits::RequestLimits,
    pool::Pool,
    reservation::Signals,
    BackendServer, CacheFeed, PoolId,
};
use crate::{
    backend::{CacheEvents, LoadReport},
    kernel::{
        health::{self, Outcome},
        quota::LimitChange,
        routing::{self, Policy, PrefixIndex, Slot, Subsets},
        BackendId, DataCentreId, NodeId, Time,
    },
    runtime,
};

/// Options of a table.
#[derive(Clone, Debug)]
pub struct Options {
    /// The policy's name.
    pub policy: &'static str,
    /// Number of prompt blocks in the prefix index.
    pub index_blocks: usize,
    /// Number of backend servers whose caches are tracked in the prefix index.
    pub cache_slots: usize,
    /// Limit on prompt tokens that wait at one engine for their first token, over all nodes.
    pub max_backlog_tokens: u64,
    /// Limits on ejection and readmission.
    pub health: health::Limits,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            policy: "first-token",
            index_blocks: 1 << 18,
            cache_slots: 64,
            max_backlog_tokens: 8_192,
            health: health::Limits::default(),
        }
    }
}

/// The backend servers of a version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placement {
    /// The version's pool.
    pub pool: PoolId,
    /// Whether they are model engines.
    pub model: bool,
    /// The servers and their data centres.
    pub servers: Vec<(BackendId, DataCentreId)>,
}

/// The nodes that share the backend servers, and the size of each node's subset of servers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SubsetConfig {
    /// Every node in the platform's list of VMs, reachable or not.
    pub nodes: Vec<NodeId>,
    /// This node.
    pub local: NodeId,
    /// Largest number of servers of each version that a node uses.
    pub size: usize,
}

/// Number of outcomes that may wait for processing; further ones are dropped.
const OUTCOME_CAPACITY: usize = 4096;

/// A node's table of backend servers.
pub struct BackendTable {
    pub(super) options: Options,
    pub(super) policy: ArcSwap<NamedPolicy>,
    pub(super) table: ArcSwap<Table>,
    pub(super) index: PrefixIndex,
    pub(super) signals: Arc<Signals>,
    pub(super) limits: RequestLimits,
    outcomes: Receiver<CallOutcome>,
    capacity: Receiver<()>,
    // Locked only by updates of the table, never by a request.
    writer: Mutex<Writer>,
}

/// A policy with its name.
pub(super) struct NamedPolicy {
    pub(super) name: &'static str,
    pub(super) policy: Box<dyn Policy>,
}

/// The contents of a table, which are replaced as a whole.
#[derive(Debug, Default)]
pub(super) struct Table {
    pub(super) pools: HashMap<PoolId, Arc<Pool>>,
    pub(super) servers: HashMap<BackendId, Arc<BackendServer>>,
}

/// State that only updates of the table use.
#[derive(Debug, Default)]
struct Writer {
    health: HealthTracker,
    feeds: HashMap<BackendId, CacheFeed>,
    slots: Vec<Slot>,
}

impl BackendTable {
    /// Creates an empty table; none if the policy in the options does not exist.
    pub fn new(options: Options) -> Option<BackendTable> {
        let policy = NamedPolicy {
            name: options.policy,
            policy: routing::policy(options.policy)?,
        };
        let (outcome_sender, outcomes) = async_channel::bounded(OUTCOME_CAPACITY);
        let (capacity_sender, capacity) = async_channel::bounded(1);
        let writer = Writer {
            health: HealthTracker::new(options.health),
            feeds: HashMap::new(),
            slots: (0..options.cache_slots).rev().collect(),
        };
        Some(BackendTable {
            policy: ArcSwap::from_pointee(policy),
            table: ArcSwap::default(),
            index: PrefixIndex::new(options.index_blocks, options.cache_slots),
            signals: Arc::new(Signals {
                outcomes: outcome_sender,
                capacity: capacity_sender,
            }),
            limits: RequestLimits::new(),
            outcomes,
            capacity,
            writer: Mutex::new(writer),
            options,
        })
    }

    /// Replaces the policy. Returns false and keeps the old policy if none has the name.
    pub fn set_policy(&self, name: &str) -> bool {
        if self.policy.load().name == name {
            return true;
        }
        let Some((name, policy)) = routing::named_policy(name) else {
            return false;
        };
        self.policy.store(Arc::new(NamedPolicy { name, policy }));
        true
    }

    /// Sets the limits on ejection and readmission.
    pub fn set_health(&self, limits: health::Limits) {
        self.lock().health.set_limits(limits);
    }

    /// Replaces the servers by those of new settings or a new membership. The state of a server
    /// that stays in the table is kept.
    pub fn update(&self, placements: &[Placement], subset: &SubsetConfig) {
        let mut writer = self.lock();
        let old = self.table.load_full();
        let mut table = Table::default();
        for placement in placements {
            let pool = self.pool(placement, subset, &old, &mut table, &mut writer.slots);
            table.pools.insert(placement.pool.clone(), Arc::new(pool));
        }
        for (name, server) in &old.servers {
            if !table.servers.contains_key(name) {
                writer.feeds.remove(name);
                if let Some(slot) = server.cache_slot {
                    self.index.replace(slot, &[]);
                    writer.slots.push(slot);
                }
            }
        }
        writer
            .health
            .set_pools(table.pools.iter().map(|(id, pool)| (id, &**pool)));
        self.table.store(Arc::new(table));
    }

    /// Records an engine's load report.
    pub fn on_load(&self, now: Time, backend: &str, report: &LoadReport) {
        if let Some(server) = self.table.load().servers.get(backend) {
            server.record_report(now, report);
            self.notify_capacity();
        }
    }

    /// Records the limit that an engine's report names; returns the change where another one holds.
    pub fn record_limit(
        &self,
        now: Time,
        backend: &str,
        report: &LoadReport,
    ) -> Option<LimitChange> {
        let at = now.saturating_sub(Time::from_millis(report.age_ms));
        self.limits.record(backend, report.request_limit, at, at)
    }

    /// Returns the limits that engines name.
    pub fn limits(&self) -> &RequestLimits {
        &self.limits
    }

    /// Signals that a server may have capacity again.
    pub fn notify_capacity(&self) {
        // A full channel means that the last signal was not received yet.
        let _ = self.signals.capacity.try_send(());
    }

    /// Applies an engine's cache events or snapshot.
    pub fn on_cache(&self, backend: &str, answer: &CacheEvents) {
        let Some(slot) = self.server(backend).and_then(|server| server.cache_slot) else {
            return;
        };
        let mut writer = self.lock();
        let feed = writer.feeds.entry(backend.into()).or_default();
        feed.apply(slot, answer, &self.index);
    }

    /// Returns what to request from an engine's cache next.
    pub fn cache_fetch(&self, backend: &str) -> super::Fetch {
        let writer = self.lock();
        writer
            .feeds
            .get(backend)
            .cloned()
            .unwrap_or_default()
            .fetch()
    }

    /// Returns the number of gaps detected in the cache events of all engines.
    pub fn cache_gaps(&self) -> u64 {
        self.lock().feeds.values().map(CacheFeed::gaps).sum()
    }

    /// Records that an engine could not be polled, in every pool that contains it.
    pub fn on_unreachable(&self, backend: &str) {
        let table = self.table.load();
        for (id, pool) in &table.pools {
            if let Some(server) = pool.servers.iter().find(|m| &*m.backend == backend) {
                let _ = self.signals.outcomes.try_send(CallOutcome {
                    pool: id.clone(),
                    route: "".into(),
                    backend: server.backend.clone(),
                    outcome: Some(Outcome::Lost),
                });
            }
        }
    }

    /// Processes the outcomes since the last tick, and publishes the servers' weights.
    pub fn tick(&self, now: Time) -> Vec<HealthChange> {
        let mut writer = self.lock();
        let mut table = self.table.load_full();
        let mut changes = Vec::new();
        while let Ok(outcome) = self.outcomes.try_recv() {
            if let Some(pool) = table.pools.get(&outcome.pool) {
                changes.extend(writer.health.record(now, &outcome, pool));
            }
        }
        changes.extend(writer.health.tick(now));
        let extended: Vec<_> = table
            .pools
            .iter()
            .filter_map(|(id, pool)| Some((id.clone(), writer.health.extend(id, pool)?)))
            .collect();
        if !extended.is_empty() {
            let mut pools = table.pools.clone();
            pools.extend(extended.into_iter().map(|(id, pool)| (id, Arc::new(pool))));
            table = Arc::new(Table {
                pools,
                servers: table.servers.clone(),
            });
            self.table.store(table.clone());
        }
        for (id, pool) in &table.pools {
            writer.health.publish(now, id, pool);
            pool.refresh_missing(id);
        }
        changes
    }

    /// Waits until a server may have capacity for a request that found none.
    pub async fn wait_for_capacity(&self) {
        // The table holds a sender of this channel, so that receiving can't fail.
        let _ = self.capacity.recv().await;
    }

    /// Returns the backend server at an address.
    pub fn server(&self, backend: &str) -> Option<Arc<BackendServer>> {
        self.table.load().servers.get(backend).cloned()
    }

    /// Returns the addresses of the model engines.
    pub fn model_engines(&self) -> Vec<BackendId> {
        let table = self.table.load();
        let models = table.servers.values().filter(|server| server.is_model());
        models.map(|server| server.backend.clone()).collect()
    }

    /// Returns the tokens of memory that this node's requests have reserved at a server.
    pub fn reserved_tokens(&self, backend: &str) -> u64 {
        self.server(backend)
            .map_or(0, |server| server.memory.reserved())
    }

    /// Returns the size of the prefix index in bytes.
    pub fn index_bytes(&self) -> usize {
        self.index.bytes()
    }

    /// Returns the pool of the servers that this node uses, in the order of their names.
    fn pool(
        &self,
        placement: &Placement,
        subset: &SubsetConfig,
        old: &Table,
        table: &mut Table,
        slots: &mut Vec<Slot>,
    ) -> Pool {
        let mut servers = placement.servers.clone();
        servers.sort();
        servers.dedup();
        let names: Vec<BackendId> = servers.iter().map(|(name, _)| name.clone()).collect();
        let subsets = Subsets::assign(&subset.nodes, &names, subset.size);
        let local = subset.nodes.iter().position(|node| *node == subset.local);
        // A node that is not in the list of VMs yet uses the subset of the first node.
        let mut assigned = subsets.servers_of(local.unwrap_or(0)).to_vec();
        assigned.sort_unstable();
        let pool_servers: Vec<Arc<BackendServer>> = assigned
            .iter()
            .map(|&s| {
                let (name, data_centre) = &servers[s as usize];
                let kept = table.servers.get(name).or_else(|| old.servers.get(name));
                let server = kept.cloned().unwrap_or_else(|| {
                    let slot = if placement.model { slots.pop() } else { None };
                    let (name, data_centre) = (name.clone(), data_centre.clone());
                    Arc::new(BackendServer::new(name, data_centre, slot, placement.model))
                });
                server.set_sharers(subsets.sharers(s as usize));
                table.servers.insert(name.clone(), server.clone());
                server
            })
            .collect();
        let pool = Pool::new(pool_servers);
        pool.refresh_missing(&placement.pool);
        pool
    }

    fn lock(&self) -> MutexGuard<'_, Writer> {
        runtime::lock(&self.writer)
    }
}

impl std::fmt::Debug for BackendTable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("BackendTable")
            .field("options", &self.options)
            .finish_non_exhaustive()
    }
}
