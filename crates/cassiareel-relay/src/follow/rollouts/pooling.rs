//! The counts of a rollout, pooled over all nodes.

use super::{rollout_key, FirstSeen};
use crate::{
    clock,
    follow::call::StoreCaller,
    model::Rollout,
    source::{Counts, Freshness},
    state::State,
};

/// Returns this node's counts of the rollouts that are under way.
pub(super) fn own_counts<'a, I>(state: &State, first_seen: &FirstSeen, rollouts: I) -> Vec<Counts>
where
    I: Iterator<Item = &'a Rollout>,
{
    let now = clock::now();
    state.rollouts.check_open_runs(now);
    rollouts
        .map(|rollout| {
            let counted = state.rollouts.counts_of(&rollout.service, rollout.created);
            let since = first_seen
                .get(&rollout_key(rollout))
                .copied()
                .unwrap_or(now);
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

/// Writes this node's counts and reads those of all nodes.
pub(super) async fn pool_counts(
    state: &State,
    caller: &mut StoreCaller,
    own: &[Counts],
) -> Vec<Counts> {
    let mut record = state.own_record();
    record.counts = own.to_vec();
    // This node uses its own counts even where they could not be written.
    caller.call(state, state.source.write_record(&record)).await;
    let read = caller
        .call(state, state.source.read_records(Freshness::Newest))
        .await;
    let others = read
        .map(|read| caller.items(state, read))
        .unwrap_or_default()
        .into_iter()
        .filter(|other| other.name != record.name);
    own.iter()
        .cloned()
        .chain(others.flat_map(|other| other.counts))
        .collect()
}
