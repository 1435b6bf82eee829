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

/// The time after the start at which the others have started as well.
const SETTLED: Duration = Duration::from_secs(3);

/// Joins the fleet and counts its nodes again and again.
pub(crate) async fn follow_nodes(state: Arc<State>) {
    let mut caller = Caller::new("nodes");
    let name = state.settings.load().node.name.clone();
    while caller
        .call(&state, state.source.write_counts(&name, &[]))
        .await
        .is_none()
    {
        Timer::after(caller.pause()).await;
    }
    Timer::after(SETTLED).await;
    loop {
        let Some(counts) = caller.call(&state, state.source.read_counts()).await else {
            Timer::after(caller.pause()).await;
            continue;
        };
        let nodes = u32::try_from(counts.len()).unwrap_or(u32::MAX).max(1);
        if state.nodes.swap(nodes, Ordering::Relaxed) != nodes {
            info!(state.log, "nodes counted"; "nodes" => nodes);
        }
        Timer::after(INTERVAL).await;
    }
}
