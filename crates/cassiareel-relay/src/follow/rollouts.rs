/*!
Follows the operator's moves between versions, pools the nodes' counts, and tells the verdicts.

The counts and the verdict lie in the store, so that any node can reach the verdict and none has to
survive for it. While a move is under way, each node writes its own counts and reads all; the
verdict is written under the condition that the order has not changed, and holds for all.
*/

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
use slog::{info, warn};

use super::call::Caller;
use crate::{
    clock::{self, Moment},
    kernel::{state_to_report, Exposure, Judge, ReadSchedule, RolloutDecision, Tally},
    model::{Revision, Rollout, RolloutState, ServiceId},
    rollouts::ActiveRollout,
    source::{Counts, Freshness, Orders, SourceError},
    state::State,
};

/// The time within which all nodes have to know an order while no move is under way.
const CALM: Duration = Duration::from_secs(10);

/// The time within which they have to know a change of one that is.
const BUSY: Duration = Duration::from_secs(2);

/// The time between counts while one is.
const COUNT: Duration = Duration::from_millis(600);

/// The time within which the orders have to be known when a version has appeared.
const APPEARED: Duration = Duration::from_millis(1500);

/// When each order was first seen by this node, with what others told of theirs.
type Known = HashMap<(ServiceId, Revision), Moment>;

/// What a node has taken in of the orders.
#[derive(Debug, Default)]
struct Taken {
    rollouts: Vec<Rollout>,
    revision: Option<Revision>,
    at: Moment,
    /// Whether a move is under way.
    busy: bool,
}

impl Taken {
    /// Reports whether orders have to be taken in: where something is new, and for the counts again
    /// and again while a move is under way.
    fn is_due(&self, orders: &Orders, now: Moment) -> bool {
        let counts = self.busy && now.saturating_sub(self.at) >= COUNT;
        let read = !self.busy && self.revision != Some(orders.revision);
        counts || read || self.revision.is_none() || self.rollouts != orders.rollouts
    }
}

/// Follows the operator's orders, by own reads or by the words of peers.
pub(crate) async fn follow_rollouts(state: Arc<State>) {
    let mut caller = Caller::new("rollouts");
    let mut known = Known::new();
    let mut taken = Taken::default();
    let mut behind = None;
    // When the last read of the orders began.
    let mut last: Option<Moment> = None;
    state.wait_nodes_read().await;
    // The registry names the versions that the orders are about.
    state.wait_registry_read().await;
    loop {
        let heard = state.store_cache.peer_updated.listen();
        let next = renew(&state, &mut caller, taken.busy, &mut behind).await;
        if let Some((orders, began)) = state.store_cache.orders.get() {
            let now = clock::now();
            let since = last.map_or(began, |last| last.max(began.saturating_sub(CALM)));
            last = Some(began);
            if taken.is_due(&orders, now) {
                let busy = take_in(&state, &mut caller, &mut known, &orders, since).await;
                taken = Taken {
                    rollouts: orders.rollouts.clone(),
                    revision: Some(orders.revision),
                    at: now,
                    busy,
                };
            }
        }
        let rest = async {
            match next {
                Some(left) => {
                    let most = if taken.busy { left.min(COUNT) } else { left };
                    within(most, state.wait_version()).await;
                }
                None => caller.rest(&state).await,
            }
        };
        rest.or(heard).await;
    }
}

/// Reads the operator's orders where the word on them is too old, or does not cover all versions that
/// are here. Returns how long the word is gone by; `None` where the read failed.
async fn renew(
    state: &State,
    caller: &mut Caller,
    busy: bool,
    behind: &mut Option<Moment>,
) -> Option<Duration> {
    let left = time_to_read(state, busy, behind);
    if left.is_some() {
        return left;
    }
    if !caller.may_call(state) {
        return None;
    }
    let began = clock::now();
    let orders = caller.call(state, state.source.orders()).await?;
    caller.note_unreadable(state, &orders.unreadable);
    state.store_cache.update_orders(Arc::new(orders), began);
    Some(time_to_read(state, busy, behind).unwrap_or_default())
}

/// How long the word on the orders is gone by; `None` where they have to be read. `behind` is the time
/// since when it does not cover all versions that are here.
fn time_to_read(state: &State, busy: bool, behind: &mut Option<Moment>) -> Option<Duration> {
    let now = clock::now();
    let held = state.store_cache.orders.get();
    if held.is_none_or(|(orders, _)| !state.rollouts.has_later_version(orders.revision)) {
        *behind = None;
        let bound = if busy { BUSY } else { CALM };
        return state.time_to_read(ReadSchedule::new(bound), state.store_cache.orders.age());
    }
    let since = *behind.get_or_insert(now);
    match state.store_cache.reader_rank() {
        0 => None,
        turn => ReadSchedule::new(APPEARED).remaining(turn, now.saturating_sub(since)),
    }
}

/// Puts the moves in force; reports whether one is under way. `since` is when the last read began that
/// did not show what is new: a move's time may have begun as early.
async fn take_in(
    state: &State,
    caller: &mut Caller,
    known: &mut Known,
    orders: &Orders,
    since: Moment,
) -> bool {
    let rollouts = &orders.rollouts;
    known.retain(|key, _| rollouts.iter().any(|r| *key == key_of(r)));
    for rollout in rollouts {
        known.entry(key_of(rollout)).or_insert(since);
    }
    let open = |rollout: &&Rollout| is_open(rollout);
    let busy = rollouts.iter().any(is_open);
    let pooled = if busy {
        let own = own_counts(state, known, rollouts.iter().filter(open));
        pool(state, caller, &own).await
    } else {
        Vec::new()
    };
    let mut moves = HashMap::new();
    for rollout in rollouts {
        let course = course(state, known, rollout, &pooled).await;
        let one = ActiveRollout {
            order: rollout.created,
            target: rollout.target.clone(),
            split: course.split,
            trial_budget: AtomicU32::new(part(state, course.missing)),
        };
        moves.insert(rollout.service.clone(), one);
    }
    state.rollouts.replace(moves, orders.revision);
    // Before that, no backend server that is known may be used yet.
    if state.registry_read.load(Ordering::Relaxed)
        && !state.rollouts.has_later_version(orders.revision)
    {
        state.orders_read.store(true, Ordering::Relaxed);
    }
    busy
}

/// This node's part of requests that all nodes together have to send.
fn part(state: &State, requests: f64) -> u32 {
    let nodes = state.node_count.load(Ordering::Relaxed).max(1);
    let part = requests / f64::from(nodes);
    // Where there are fewer requests than nodes, chance decides which of these send one.
    let chance = fastrand::f64() < part.fract();
    part as u32 + u32::from(chance)
}

/// How a move goes on until counts are pooled again.
struct Course {
    split: RolloutDecision,
    /// Requests that the new version has to get soon, from all nodes together.
    missing: f64,
}

impl From<RolloutDecision> for Course {
    /// A course on which nothing is missing.
    fn from(split: RolloutDecision) -> Course {
        Course {
            split,
            missing: 0.0,
        }
    }
}

/// How a move goes on; tells the operator a verdict that is new.
async fn course(state: &State, known: &Known, rollout: &Rollout, pooled: &[Counts]) -> Course {
    match rollout.state {
        Some(RolloutState::Completed) => return RolloutDecision::Complete.into(),
        Some(RolloutState::RolledBack) => return RolloutDecision::RollBack.into(),
        Some(RolloutState::Running) | None => {}
    }
    let counts = pooled
        .iter()
        .filter(|c| c.service == rollout.service && c.order == rollout.created);
    let (mut old, mut new) = (Tally::default(), Tally::default());
    let mut elapsed = known
        .get(&key_of(rollout))
        .map_or(Duration::ZERO, |at| clock::now().saturating_sub(*at));
    for count in counts {
        old = old.merge(count.old);
        new = new.merge(count.new);
        elapsed = elapsed.max(Duration::from_millis(count.known_ms));
    }
    let typical = old.baselines();
    state
        .rollouts
        .set_typical(&rollout.service, rollout.created, typical);
    let bounds = &state.settings.load().bounds;
    let judge = Judge {
        duration: rollout.duration,
        exposure: Exposure {
            share: bounds.exposure_share,
            slack: bounds.exposure_slack,
        },
    };
    let course = Course {
        split: judge.decide(elapsed, old, new),
        missing: judge.missing_requests(old, new),
    };
    let Some(verdict) = state_to_report(rollout.state, course.split) else {
        return course;
    };
    info!(state.log, "rollout judged"; "service" => &*rollout.service,
        "target" => &*rollout.target, "verdict" => ?verdict,
        "elapsed_ms" => elapsed.as_millis() as u64, "old" => line(old), "new" => line(new));
    match state.source.write_rollout_state(rollout, verdict).await {
        Ok(()) => course,
        // Another node was first; its verdict is read next time.
        Err(SourceError::Conflict) => RolloutDecision::Share(0.0).into(),
        Err(err) => {
            warn!(state.log, "verdict not written"; "service" => &*rollout.service, "cause" => %err);
            course
        }
    }
}

/// What this node counted of the moves that are under way.
fn own_counts<'a, I>(state: &State, known: &Known, rollouts: I) -> Vec<Counts>
where
    I: Iterator<Item = &'a Rollout>,
{
    let now = clock::now();
    state.rollouts.check_open_runs(now);
    rollouts
        .map(|rollout| {
            let counted = state.rollouts.counts_of(&rollout.service, rollout.created);
            let since = known.get(&key_of(rollout)).copied().unwrap_or(now);
            Counts {
                service: rollout.service.clone(),
                order: rollout.created,
                known_ms: now.saturating_sub(since).as_millis() as u64,
                old: counted.old,
                new: counted.new,
            }
        })
        .collect()
}

/// Writes this node's counts and reads those of all.
async fn pool(state: &State, caller: &mut Caller, own: &[Counts]) -> Vec<Counts> {
    let mut record = state.own_record();
    record.counts = own.to_vec();
    // Counts that could not be written count for this node all the same.
    caller.call(state, state.source.write_record(&record)).await;
    let read = caller
        .call(state, state.source.read_records(Freshness::Newest))
        .await;
    let others = read
        .map(|read| caller.readable(state, read))
        .unwrap_or_default()
        .into_iter()
        .filter(|other| other.name != record.name);
    own.iter()
        .cloned()
        .chain(others.flat_map(|other| other.counts))
        .collect()
}

fn is_open(rollout: &Rollout) -> bool {
    matches!(rollout.state, None | Some(RolloutState::Running))
}

fn key_of(rollout: &Rollout) -> (ServiceId, Revision) {
    (rollout.service.clone(), rollout.created)
}

/// A version's counts in a log line.
fn line(tally: Tally) -> String {
    let Tally {
        sent, answers, bad, ..
    } = tally;
    format!("sent {sent}, known {answers}, bad {bad}")
}
