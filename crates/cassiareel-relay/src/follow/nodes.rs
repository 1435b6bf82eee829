/*!
Keeps the list of the fleet's nodes, which read the store for each other and share what is bounded for
all of them together.

Each node has an object of its own in the store, written at its first start. An object of a node that
is gone for good stays: the others then spend a little less than they may.
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

/// The time within which a node that is new has to be known to all.
const DISCOVERY_LIMIT: Duration = Duration::from_secs(40);

/// The time after the start at which the others have started as well.
const START_DURATION: Duration = Duration::from_secs(3);

/// The age that a list may have which the store does not vouch for.
const RECENT_READ_AGE: Duration = Duration::from_secs(10);

/// The longest time between looks at the age of the list.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Joins the fleet, and reads its nodes where no peer's word on them is fresh.
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
        let members = Members::new(caller.readable(&state, read));
        state.update_members(Arc::new(members), began);
        state.nodes_read.store(true, Ordering::Relaxed);
    }
}

/// Reads a list that may be old, which names peers to ask for the newest one; reports whether it has
/// this node's own record as it is.
async fn read_recent_nodes(state: &State, caller: &mut StoreCaller) -> bool {
    let began = clock::now();
    let reading = state.source.read_records(Freshness::Recent);
    let Some(read) = caller.call(state, reading).await else {
        return false;
    };
    let members = Members::new(caller.readable(state, read));
    let own = state.own_record();
    let joined = members.records.contains(&own);
    if members.records.iter().any(|record| record.name != own.name) {
        state.update_members(Arc::new(members), began.saturating_sub(RECENT_READ_AGE));
        state.nodes_read.store(true, Ordering::Relaxed);
    }
    joined
}

/// Writes this node's record until the store took it.
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

/// How long the node still goes by the list that it has; `None` where it has to read it. The first
/// reader reads it once more when the others that start at the same time have joined. `reads` is how
/// often this node has read the newest one.
fn time_to_read(state: &State, reads: u32) -> Option<Duration> {
    let age = state.store_cache.members.age()?;
    let rank = state.store_cache.reader_rank();
    match rank {
        0 if reads < 2 => remaining(START_DURATION, age),
        _ => ReadSchedule::new(DISCOVERY_LIMIT).remaining(rank, age),
    }
}
