/*!
Follows the operator's rollouts, pools the counts of all nodes, and reports the verdicts.

The counts and the verdict are in the store, so that any node can reach the verdict and none has to
survive for it. While a rollout is under way, each node writes its own counts and reads those of
all; the verdict is written under the condition that the order has not changed, and applies to all
nodes. A verdict that a restored store has lost is written again by the nodes that know it.
*/

mod decision;
mod pooling;

use std::{
    collections::HashMap,
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc,
    },
    time::Duration,
};

use cassiareel::runtime::within;
use futures_lite::FutureExt;
use slog::info;

use self::decision::Decision;
use super::call::StoreCaller;
use crate::{
    clock::{self, Moment},
    kernel::{KnownOrder, OrderBook, ReadSchedule},
    model::{RolloutState, StoreEra, StoreRevision},
    rollouts::ActiveRollout,
    source::Orders,
    state::State,
};

/// The time within which all nodes have to know an order while no rollout is under way.
const IDLE_LIMIT: Duration = Duration::from_secs(10);

/// The time within which all nodes have to know a change of a rollout that is under way.
const ACTIVE_LIMIT: Duration = Duration::from_secs(2);

/// The interval at which counts are pooled while a rollout is under way.
const POOLING_INTERVAL: Duration = Duration::from_millis(600);

/// The number of nodes up to which all pool counts at that interval, so that the store's load does not
/// grow with the fleet. In larger fleets the forwarders do, and the others at longer intervals.
const MAX_FULL_RATE_NODES: u32 = 20;

/// The largest factor by which the interval of the other nodes is longer. Their counts have to be known
/// soon after a version has proved bad.
const MAX_POOLING_FACTOR: u32 = 4;

/// The time within which the orders have to be known when a new version or a new era of the store
/// has appeared.
const NEW_VERSION_LIMIT: Duration = Duration::from_millis(1500);

/// The time between the first attempts of two readers to write a lost verdict again. It is enough
/// for the others to read what the first one wrote.
const REWRITE_STEP: Duration = Duration::from_millis(400);

/// The time over which the attempts of all other nodes are spread.
const REWRITE_SPREAD: Duration = Duration::from_secs(4);

/// Follows the operator's orders, by own reads or by updates from peers.
pub(crate) async fn follow_rollouts(state: Arc<State>) {
    let mut follower = Follower::new(state.clone());
    state.wait_nodes_read().await;
    // The registry names the versions that the orders are about.
    state.wait_registry_read().await;
    loop {
        let peer_updated = state.store_cache.peer_updated.listen();
        let next = follower.refresh().await;
        if let Some((orders, began)) = state.store_cache.orders.get() {
            follower.apply(&orders, began).await;
        }
        follower.wait(next).or(peer_updated).await;
    }
}

/// What one node knows of the operator's orders.
struct Follower {
    state: Arc<State>,
    /// Reads the orders.
    reader: StoreCaller,
    /// Writes and reads the counts.
    pool: StoreCaller,
    book: OrderBook,
    /// The time since which the cached orders do not cover all versions in the registry, or are of
    /// an earlier era.
    incomplete_since: Option<Moment>,
    /// When the last read of the orders began.
    last_read: Option<Moment>,
    /// The list that was last put in force, whether it has all orders, and when that was.
    applied: Option<(StoreRevision, bool)>,
    applied_at: Moment,
    /// Whether a rollout is under way, or a verdict is to be written again.
    is_active: bool,
    /// The era of the store when counts were last read.
    pooled_era: StoreEra,
    /// How long this node waits, unless it is one of the readers, before it writes a lost verdict.
    rewrite_delay: Duration,
}

impl Follower {
    fn new(state: Arc<State>) -> Follower {
        Follower {
            state,
            reader: StoreCaller::new("rollouts"),
            pool: StoreCaller::new("counts"),
            book: OrderBook::default(),
            incomplete_since: None,
            last_read: None,
            applied: None,
            applied_at: Moment::default(),
            is_active: false,
            pooled_era: 0,
            rewrite_delay: REWRITE_SPREAD.mul_f64(fastrand::f64()),
        }
    }

    /// Reads the operator's orders where the cached ones are too old, or may lack an order. Returns
    /// how long the cached ones may be used; `None` where the read failed.
    async fn refresh(&mut self) -> Option<Duration> {
        let left = self.time_to_read();
        if left.is_some() || !self.reader.may_call(&self.state) {
            return left;
        }
        let began = clock::now();
        let reading = self.state.source.orders();
        let orders = self.reader.call(&self.state, reading).await?;
        self.reader.log_unreadable(&self.state, &orders.unreadable);
        self.state
            .store_cache
            .update_orders(Arc::new(orders), began);
        Some(self.time_to_read().unwrap_or_default())
    }

    /// Returns how long the cached orders may be used; `None` where they have to be read.
    fn time_to_read(&mut self) -> Option<Duration> {
        let now = clock::now();
        let cache = &self.state.store_cache;
        let (schedule, left) = if self.may_be_incomplete(now) {
            let since = *self.incomplete_since.get_or_insert(now);
            let schedule = ReadSchedule::new(NEW_VERSION_LIMIT);
            let left = match cache.reader_rank() {
                0 => None,
                rank => schedule.remaining(rank, now.saturating_sub(since)),
            };
            (schedule, left)
        } else {
            self.incomplete_since = None;
            let limit = if self.is_active {
                ACTIVE_LIMIT
            } else {
                IDLE_LIMIT
            };
            let schedule = ReadSchedule::new(limit);
            (
                schedule,
                self.state.time_to_read(schedule, cache.orders.age()),
            )
        };
        left.or_else(|| self.reader.interval_left(schedule.read_age(0)))
            .or_else(|| self.state.wake_left())
    }

    /// Reports whether the cached orders may lack one that a newer read would show: that of a
    /// version that has appeared since, or one that a restored store had lost.
    fn may_be_incomplete(&self, now: Moment) -> bool {
        let Some((orders, began)) = self.state.store_cache.orders.get() else {
            return false;
        };
        let is_outdated = orders.revision.era() < self.state.store_cache.newest_era();
        let has_settled = self.book.is_settled(now) && !self.book.is_settled(began);
        is_outdated || has_settled || self.state.rollouts.has_later_version(orders.revision)
    }

    /// Puts the cached orders in force where they are new, and repeatedly while a rollout is under
    /// way. `began` is when their read began.
    async fn apply(&mut self, orders: &Orders, began: Moment) {
        let now = clock::now();
        // A rollout's time may have begun as early as the last read that did not show the order.
        let since = self
            .last_read
            .map_or(began, |last| last.max(began.saturating_sub(IDLE_LIMIT)));
        self.last_read = Some(began);
        let before: Vec<StoreRevision> = self.book.orders().iter().map(KnownOrder::id).collect();
        let changes = self
            .book
            .apply(&orders.rollouts, orders.revision, since, began, now);
        if changes.is_new_era {
            self.log_new_era(orders);
        }
        self.log_new_orders(&before, orders.revision);
        let list = (orders.revision, self.book.is_settled(began));
        let is_new = !self.is_active && self.applied != Some(list);
        let interval = pooling_interval(&self.state);
        let counts_due = self.is_active && now.saturating_sub(self.applied_at) >= interval;
        if changes.changed || is_new || counts_due {
            self.is_active = self.put_in_force(list).await;
            self.applied = Some(list);
            self.applied_at = now;
        }
    }

    /// Puts the orders in force; reports whether a rollout is under way.
    async fn put_in_force(&mut self, list: (StoreRevision, bool)) -> bool {
        let orders = self.book.orders().to_vec();
        let open: Vec<&KnownOrder> = orders.iter().filter(|order| is_open(order)).collect();
        let pooled = self.pool_counts(&open).await;
        let mut rollouts = HashMap::new();
        for order in &orders {
            let decision = self.decide(order, &pooled).await;
            let missing = decision.missing_requests;
            let active = ActiveRollout {
                order: order.id(),
                target: order.rollout.target.clone(),
                split: decision.split,
                trial_budget: AtomicU32::new(own_share(&self.state, missing)),
                exposure_budget: AtomicU32::new(self.exposure_budget(order, &decision)),
                began: order.began,
                duration: order.rollout.duration,
                unproven: order.rollout.unproven.as_slice().into(),
            };
            rollouts.insert(order.rollout.service.clone(), active);
        }
        let (revision, is_settled) = list;
        let state = &self.state;
        state.rollouts.replace(rollouts, revision, is_settled);
        // Until then, no known backend server may be used.
        if state.registry_read.load(Ordering::Relaxed)
            && !state.rollouts.has_later_version(revision)
        {
            state.orders_read.store(true, Ordering::Relaxed);
        }
        let has_lost = |order: &KnownOrder| order.lost_verdict().is_some();
        !open.is_empty() || self.book.orders().iter().any(has_lost)
    }

    /// Returns the requests that this node may send to a new version until counts are pooled again. Where
    /// the counts of the other nodes are not known, what is left of the last ones remains.
    fn exposure_budget(&self, order: &KnownOrder, decision: &Decision) -> u32 {
        match decision.exposure {
            Some(exposure) => own_share(&self.state, exposure),
            None => {
                let service = &order.rollout.service;
                self.state.rollouts.exposure_left(service, order.id())
            }
        }
    }

    /// Waits until orders or counts are due: `left` is how long the cached orders may be used.
    async fn wait(&self, left: Option<Duration>) {
        let Some(left) = left else {
            return self.reader.wait_to_retry(&self.state).await;
        };
        let now = clock::now();
        let pooling = self.is_active.then(|| pooling_interval(&self.state));
        let settled = self.book.settles_at().filter(|at| *at > now);
        let limits = [pooling, settled.map(|at| at.saturating_sub(now))];
        let least = limits.into_iter().flatten().fold(left, Duration::min);
        within(least, self.state.wait_version()).await;
    }

    /// Logs the orders that came into force with a list, other than those in `before`.
    fn log_new_orders(&self, before: &[StoreRevision], list: StoreRevision) {
        let orders = self.book.orders().iter();
        for order in orders.filter(|order| !before.contains(&order.id())) {
            let rollout = &order.rollout;
            info!(self.state.log, "rollout order"; "service" => &*rollout.service,
                "target" => &*rollout.target, "order" => order.id().to_string(),
                "duration_ms" => rollout.duration.as_millis() as u64,
                "state" => ?rollout.state, "unproven" => ?rollout.unproven,
                "list" => list.to_string());
        }
    }

    /// Logs the first list of a new era of the store.
    fn log_new_era(&self, orders: &Orders) {
        let known = self.book.orders();
        let lost = known.iter().filter(|order| !self.book.is_listed(order));
        let verdicts = known.iter().filter(|order| order.lost_verdict().is_some());
        info!(self.state.log, "orders of a new era"; "era" => orders.revision.era(),
            "orders" => orders.rollouts.len(), "lost" => lost.count(),
            "verdicts_lost" => verdicts.count());
    }
}

/// Returns this node's share of the requests that all nodes together have to send.
fn own_share(state: &State, requests: f64) -> u32 {
    let nodes = state.node_count.load(Ordering::Relaxed).max(1);
    let share = requests / f64::from(nodes);
    // Where there are fewer requests than nodes, chance decides which of these send one.
    let chance = fastrand::f64() < share.fract();
    share as u32 + u32::from(chance)
}

/// Returns the interval at which this node pools counts while a rollout is under way.
fn pooling_interval(state: &State) -> Duration {
    if state.store_cache.is_forwarder() {
        return POOLING_INTERVAL;
    }
    let nodes = state.node_count.load(Ordering::Relaxed);
    POOLING_INTERVAL * (nodes / MAX_FULL_RATE_NODES).clamp(1, MAX_POOLING_FACTOR)
}

fn is_open(order: &KnownOrder) -> bool {
    !order.rollout.state.is_some_and(RolloutState::is_end)
}
