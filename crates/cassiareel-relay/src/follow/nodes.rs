/*!
Keeps the list of the fleet's nodes, which read the store for each other and share the limits that
apply to all of them together.

Each node has an object of its own in the store, written at its first start, and again where the
store has lost it. The object of a node that is gone for good stays: the others then use a little
less than they may.
*/

use std::{
    sync::{atomic::Ordering, Arc},
    time::Duration,
};

use slog::info;
use smol::Timer;

use super::call::StoreCaller;
use crate::{
    clock::{self, Moment},
    kernel::{remaining, ReadSchedule},
    peers::Members,
    source::Freshness,
    state::State,
};

/// The time within which a new node has to be known to all.
const DISCOVERY_LIMIT: Duration = Duration::from_secs(40);

/// The time after a node's start by which nodes that start together have all started.
const START_DURATION: Duration = Duration::from_secs(3);

/// The time within which all nodes have to know the list of a store that was restored.
const RESTORED_LIMIT: Duration = Duration::from_secs(3);

/// The average interval between the writes of all nodes whose records were lost.
const REJOIN_INTERVAL: Duration = Duration::from_millis(20);

/// The assumed age of a list whose freshness the store does not guarantee.
const RECENT_READ_AGE: Duration = Duration::from_secs(10);

/// The longest interval at which the age of the list is checked.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Joins the fleet, and reads its nodes from the store where no peer has sent a fresh list.
pub(crate) async fn follow_nodes(state: Arc<State>) {
    let mut caller = StoreCaller::new("nodes");
    let mut joined_at = clock::now();
    if !read_recent_nodes(&state, &mut caller).await {
        joined_at = join(&state, &mut caller).await;
    }
    let mut reads = 0;
    let mut outdated_since = None;
    loop {
        if let Some(others) = others_lost(&state, joined_at) {
            Timer::after(REJOIN_INTERVAL * fastrand::u32(0..=others)).await;
            joined_at = join(&state, &mut caller).await;
            info!(state.log, "node record written again"; "lost" => others);
        }
        let interval = if reads > 0 {
            ReadSchedule::new(RESTORED_LIMIT).read_age(0)
        } else {
            Duration::ZERO
        };
        let left = time_to_read(&state, reads, &mut outdated_since)
            .or_else(|| caller.interval_left(interval));
        if let Some(left) = left {
            Timer::after(left.min(MAX_CHECK_INTERVAL)).await;
            continue;
        }
        let began = clock::now();
        let reading = state.source.read_records(Freshness::Newest);
        let Some(read) = caller.call(&state, reading).await else {
            caller.wait_to_retry(&state).await;
            continue;
        };
        reads += 1;
        outdated_since = None;
        let era = read.revision.era();
        let members = Members::new(caller.items(&state, read), era);
        state.update_members(Arc::new(members), began);
        state.nodes_read.store(true, Ordering::Relaxed);
    }
}

/// Reads a list that may be old, which names peers to query for the newest one; reports whether it
/// has this node's own record unchanged.
async fn read_recent_nodes(state: &State, caller: &mut StoreCaller) -> bool {
    let began = clock::now();
    let reading = state.source.read_records(Freshness::Recent);
    let read = caller.call(state, reading).await;
    state.nodes_asked.store(true, Ordering::Relaxed);
    let Some(read) = read else {
        return false;
    };
    let era = read.revision.era();
    let members = Members::new(caller.items(state, read), era);
    let own = state.own_record();
    let joined = members.records.contains(&own);
    if members.records.iter().any(|record| record.name != own.name) {
        state.update_members(Arc::new(members), began.saturating_sub(RECENT_READ_AGE));
        state.nodes_read.store(true, Ordering::Relaxed);
    }
    joined
}

/// Returns the number of records that the store has lost, where this node's record is one of them:
/// a list that was read after it was written lacks it.
fn others_lost(state: &State, joined_at: Moment) -> Option<u32> {
    let (members, read) = state.store_cache.members.get()?;
    let is_lost = read > joined_at && !members.is_listed(&state.own_record().name);
    is_lost.then(|| u32::try_from(members.lost.len()).unwrap_or(u32::MAX))
}

/// Writes this node's record until the store accepts it; returns the time at which it did.
async fn join(state: &State, caller: &mut StoreCaller) -> Moment {
    let record = state.own_record();
    while caller
        .call(state, state.source.write_record(&record))
        .await
        .is_none()
    {
        caller.wait_to_retry(state).await;
    }
    clock::now()
}

/// Returns how long the node may still use its cached list; `None` where it has to read it. The
/// first reader reads it once more when the other nodes that start at the same time have joined.
/// `reads` is how often this node has read the newest list, and `outdated_since` the time since which
/// it is known to be of an earlier era of the store.
fn time_to_read(
    state: &State,
    reads: u32,
    outdated_since: &mut Option<Moment>,
) -> Option<Duration> {
    let age = state.store_cache.members.age()?;
    let rank = state.store_cache.reader_rank();
    let (members, _) = state.store_cache.members.get()?;
    if members.era < state.store_cache.newest_era() {
        let now = clock::now();
        let since = *outdated_since.get_or_insert(now);
        return ReadSchedule::new(RESTORED_LIMIT).remaining(rank, now.saturating_sub(since));
    }
    *outdated_since = None;
    match rank {
        0 if reads < 2 => remaining(START_DURATION, age),
        _ => ReadSchedule::new(DISCOVERY_LIMIT).remaining(rank, age),
    }
}
