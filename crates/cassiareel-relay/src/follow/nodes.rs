/*!
Counts the nodes of the fleet, which share what is bounded for all of them together.

Each node has an object of its own in the store, written once at its start. An object of a node that
is gone for good stays: the others then spend a little less than they may.
*/

use std::{
    sync::{atomic::Ordering, Arc},
    time::Duration,
};

use slog::info;
use smol::Timer;

use super::call::Caller;
use crate::state::State;

/// The time between counts.
const INTERVAL: Duration = Duration::from_secs(12);

/// The time between counts for each node of the fleet.
const A_NODE: Duration = Duration::from_secs(1);

/// The time after the start at which the others have started as well.
const SETTLED: Duration = Duration::from_secs(3);

/// Joins the fleet and counts its nodes again and again.
pub(crate) async fn follow_nodes(state: Arc<State>) {
    let mut caller = Caller::new("nodes");
    let record = state.own_record();
    while caller
        .call(&state, state.source.write_record(&record))
        .await
        .is_none()
    {
        caller.rest(&state).await;
    }
    let mut settled = false;
    loop {
        let Some(read) = caller.call(&state, state.source.read_records()).await else {
            caller.rest(&state).await;
            continue;
        };
        let records = caller.readable(&state, read);
        let nodes = u32::try_from(records.len()).unwrap_or(u32::MAX).max(1);
        state.news.roster().replace(records);
        state.joined.store(true, Ordering::Relaxed);
        if state.nodes.swap(nodes, Ordering::Relaxed) != nodes {
            info!(state.log, "nodes counted"; "nodes" => nodes,
                "reads_store" => state.news.reads_store());
        }
        if !settled {
            // Others that start at the same time join meanwhile.
            settled = true;
            Timer::after(SETTLED).await;
            continue;
        }
        // A larger fleet changes less with each node, and counts less often.
        let spread = 0.75 + fastrand::f64() / 2.0;
        Timer::after(INTERVAL.max(A_NODE * nodes).mul_f64(spread)).await;
    }
}
