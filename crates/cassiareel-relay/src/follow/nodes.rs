/*!
Keeps the list of the fleet's nodes, which read the store for each other and share the limits that
apply to all of them together.

Each node has an object of its own in the store, written at its first start. The object of a node
that is gone for good stays: the others then use a little less than they may.
*/

use std::{
    sync::{atomic::Ordering, Arc},
    time::Duration,
};

use smol::Timer;

use super::call::StoreCaller;
use crate::{
    clock,
    kernel::{remaining, ReadSchedule},
    peers::Members,
    source::Freshness,
    state::State,
};

/// The time within which a new node has to be known to all.
const DISCOVERY_LIMIT: Duration = Duration::from_secs(40);

/// The time after a node's start by which nodes that start together have all started.
const START_DURATION: Duration = Duration::from_secs(3);

/// The assumed age of a list whose freshness the store does not guarantee.
const RECENT_READ_AGE: Duration = Duration::from_secs(10);

/// The longest interval at which the age of the list is checked.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Joins the fleet, and reads its nodes from the store where no peer has sent a fresh list.
pub(crate) async fn follow_nodes(state: Arc<State>) {
    let mut caller = StoreCaller::new("nodes");
    if !read_recent_nodes(&state, &mut caller).await {
        join(&state, &mut caller).await;
    }
    let mut reads = 0;
    loop {
        if let Some(left) = time_to_read(&state, reads) {
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
        let members = Members::new(caller.items(&state, read));
        state.update_members(Arc::new(members), began);
        state.nodes_read.store(true, Ordering::Relaxed);
    }
}

/// Reads a list that may be old, which names peers to query for the newest one; reports whether it
/// has this node's own record unchanged.
async fn read_recent_nodes(state: &State, caller: &mut StoreCaller) -> bool {
    let began = clock::now();
    let reading = state.source.read_records(Freshness::Recent);
    let Some(read) = caller.call(state, reading).await else {
        return false;
    };
    let members = Members::new(caller.items(state, read));
    let own = state.own_record();
    let joined = members.records.contains(&own);
    if members.records.iter().any(|record| record.name != own.name) {
        state.update_members(Arc::new(members), began.saturating_sub(RECENT_READ_AGE));
        state.nodes_read.store(true, Ordering::Relaxed);
    }
    joined
}

/// Writes this node's record until the store accepts it.
async fn join(state: &State, caller: &mut StoreCaller) {
    let record = state.own_record();
    while caller
        .call(state, state.source.write_record(&record))
        .await
        .is_none()
    {
        caller.wait_to_retry(state).await;
    }
}

/// Returns how long the node may still use its cached list; `None` where it has to read it. The
/// first reader reads it once more when the other nodes that start at the same time have joined.
/// `reads` is how often this node has read the newest list.
fn time_to_read(state: &State, reads: u32) -> Option<Duration> {
    let age = state.store_cache.members.age()?;
    let rank = state.store_cache.reader_rank();
    match rank {
        0 if reads < 2 => remaining(START_DURATION, age),
        _ => ReadSchedule::new(DISCOVERY_LIMIT).remaining(rank, age),
    }
}
