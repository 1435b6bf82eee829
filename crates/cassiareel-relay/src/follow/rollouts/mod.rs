/*!
Follows the operator's rollouts, pools the counts of all nodes, and reports the verdicts.

The counts and the verdict are in the store, so that any node can reach the verdict and none has to
survive for it. While a rollout is under way, each node writes its own counts and reads those of
all; the verdict is written under the condition that the order has not changed, and applies to all
nodes.
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

use decision::decide;
use pooling::{own_counts, pool_counts};

use super::call::StoreCaller;
use crate::{
    clock::{self, Moment},
    kernel::ReadSchedule,
    model::{Revision, Rollout, RolloutState, ServiceId, StoreRevision},
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

/// The time within which the orders have to be known when a new version has appeared.
const NEW_VERSION_LIMIT: Duration = Duration::from_millis(1500);

/// When this node first saw each order. Other nodes report their own times with their counts.
type FirstSeen = HashMap<(ServiceId, Revision), Moment>;

/// The orders that a node has applied.
#[derive(Debug, Default)]
struct AppliedOrders {
    rollouts: Vec<Rollout>,
    revision: Option<StoreRevision>,
    applied_at: Moment,
    /// Whether a rollout is under way.
    is_active: bool,
}

impl AppliedOrders {
    /// Reports whether orders have to be applied: where they are new, and repeatedly for the counts
    /// while a rollout is under way.
    fn is_due(&self, orders: &Orders, now: Moment) -> bool {
        let counts_due = self.is_active && now.saturating_sub(self.applied_at) >= POOLING_INTERVAL;
        let orders_new = !self.is_active && self.revision != Some(orders.revision);
        counts_due || orders_new || self.revision.is_none() || self.rollouts != orders.rollouts
    }
}

/// Follows the operator's orders, by own reads or by updates from peers.
pub(crate) async fn follow_rollouts(state: Arc<State>) {
    let mut caller = StoreCaller::new("rollouts");
    let mut first_seen = FirstSeen::new();
    let mut applied = AppliedOrders::default();
    let mut uncovered_since = None;
    // When the last read of the orders began.
    let mut last: Option<Moment> = None;
    state.wait_nodes_read().await;
    // The registry names the versions that the orders are about.
    state.wait_registry_read().await;
    loop {
        let peer_updated = state.store_cache.peer_updated.listen();
        let next = refresh(&state, &mut caller, applied.is_active, &mut uncovered_since).await;
        if let Some((orders, began)) = state.store_cache.orders.get() {
            let now = clock::now();
            let since = last.map_or(began, |last| last.max(began.saturating_sub(IDLE_LIMIT)));
            last = Some(began);
            if applied.is_due(&orders, now) {
                let is_active =
                    apply_orders(&state, &mut caller, &mut first_seen, &orders, since).await;
                applied = AppliedOrders {
                    rollouts: orders.rollouts.clone(),
                    revision: Some(orders.revision),
                    applied_at: now,
                    is_active,
                };
            }
        }
        let due = async {
            match next {
                Some(left) => {
                    let most = if applied.is_active {
                        left.min(POOLING_INTERVAL)
                    } else {
                        left
                    };
                    within(most, state.wait_version()).await;
                }
                None => caller.wait_to_retry(&state).await,
            }
        };
        due.or(peer_updated).await;
    }
}

/// Reads the operator's orders where the cached ones are too old, or do not cover all versions in
/// the registry. Returns how long the cached ones may be used; `None` where the read failed.
async fn refresh(
    state: &State,
    caller: &mut StoreCaller,
    is_active: bool,
    uncovered_since: &mut Option<Moment>,
) -> Option<Duration> {
    let left = time_to_read(state, is_active, uncovered_since);
    if left.is_some() {
        return left;
    }
    if !caller.may_call(state) {
        return None;
    }
    let began = clock::now();
    let orders = caller.call(state, state.source.orders()).await?;
    caller.log_unreadable(state, &orders.unreadable);
    state.store_cache.update_orders(Arc::new(orders), began);
    Some(time_to_read(state, is_active, uncovered_since).unwrap_or_default())
}

/// Returns how long the cached orders may be used; `None` where they have to be read.
/// `uncovered_since` is the time since which they do not cover all versions in the registry.
fn time_to_read(
    state: &State,
    is_active: bool,
    uncovered_since: &mut Option<Moment>,
) -> Option<Duration> {
    let now = clock::now();
    let cached = state.store_cache.orders.get();
    if cached.is_none_or(|(orders, _)| !state.rollouts.has_later_version(orders.revision)) {
        *uncovered_since = None;
        let bound = if is_active { ACTIVE_LIMIT } else { IDLE_LIMIT };
        return state.time_to_read(ReadSchedule::new(bound), state.store_cache.orders.age());
    }
    let since = *uncovered_since.get_or_insert(now);
    match state.store_cache.reader_rank() {
        0 => None,
        rank => ReadSchedule::new(NEW_VERSION_LIMIT).remaining(rank, now.saturating_sub(since)),
    }
}

/// Puts the rollouts in force; reports whether one is under way. `since` is when the last read
/// began that did not show the new orders: a rollout's time may have begun as early as that.
async fn apply_orders(
    state: &State,
    caller: &mut StoreCaller,
    first_seen: &mut FirstSeen,
    orders: &Orders,
    since: Moment,
) -> bool {
    let rollouts = &orders.rollouts;
    first_seen.retain(|key, _| rollouts.iter().any(|r| *key == rollout_key(r)));
    for rollout in rollouts {
        first_seen.entry(rollout_key(rollout)).or_insert(since);
    }
    let open = |rollout: &&Rollout| is_open(rollout);
    let is_active = rollouts.iter().any(is_open);
    let pooled = if is_active {
        let own = own_counts(state, first_seen, rollouts.iter().filter(open));
        pool_counts(state, caller, &own).await
    } else {
        Vec::new()
    };
    let mut active_rollouts = HashMap::new();
    for rollout in rollouts {
        let decision = decide(state, first_seen, rollout, &pooled).await;
        let active = ActiveRollout {
            order: rollout.created,
            target: rollout.target.clone(),
            split: decision.split,
            trial_budget: AtomicU32::new(own_share(state, decision.missing_requests)),
        };
        active_rollouts.insert(rollout.service.clone(), active);
    }
    state.rollouts.replace(active_rollouts, orders.revision);
    // Until then, no known backend server may be used.
    if state.registry_read.load(Ordering::Relaxed)
        && !state.rollouts.has_later_version(orders.revision)
    {
        state.orders_read.store(true, Ordering::Relaxed);
    }
    is_active
}

/// Returns this node's share of the requests that all nodes together have to send.
fn own_share(state: &State, requests: f64) -> u32 {
    let nodes = state.node_count.load(Ordering::Relaxed).max(1);
    let share = requests / f64::from(nodes);
    // Where there are fewer requests than nodes, chance decides which of these send one.
    let chance = fastrand::f64() < share.fract();
    share as u32 + u32::from(chance)
}

fn is_open(rollout: &Rollout) -> bool {
    matches!(rollout.state, None | Some(RolloutState::Running))
}

fn rollout_key(rollout: &Rollout) -> (ServiceId, Revision) {
    (rollout.service.clone(), rollout.created)
}
