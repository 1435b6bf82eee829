//! The counts of a rollout, pooled over all nodes.

use super::Follower;
use crate::{
    clock,
    kernel::KnownOrder,
    source::{Counts, Freshness},
};

/// The counts that a node knows.
#[derive(Debug, Default)]
pub(super) struct KnownCounts {
    pub(super) counts: Vec<Counts>,
    /// Whether those of the other nodes could be read.
    pub(super) is_complete: bool,
}

impl Follower {
    /// Writes this node's counts of the rollouts that are under way, and returns those of all nodes.
    pub(super) async fn pool_counts(&mut self, open: &[&KnownOrder]) -> KnownCounts {
        if open.is_empty() {
            return KnownCounts::default();
        }
        let own = self.own_counts(open);
        let mut record = self.state.own_record();
        record.counts = own.clone();
        let source = &self.state.source;
        // This node uses its own counts even where they could not be written.
        self.pool
            .call(&self.state, source.write_record(&record))
            .await;
        let read = self
            .pool
            .call(&self.state, source.read_records(Freshness::Newest))
            .await;
        if let Some(read) = &read {
            self.pooled_era = read.revision.era();
        }
        let is_complete = read.is_some();
        let others = read
            .map(|read| self.pool.items(&self.state, read))
            .unwrap_or_default()
            .into_iter()
            .filter(|other| other.name != record.name);
        let others = others.flat_map(|other| other.counts);
        KnownCounts {
            counts: own.into_iter().chain(others).collect(),
            is_complete,
        }
    }

    /// Returns this node's counts.
    fn own_counts(&self, open: &[&KnownOrder]) -> Vec<Counts> {
        let now = clock::now();
        let rollouts = &self.state.rollouts;
        rollouts.check_open_runs(now);
        open.iter()
            .map(|order| {
                let service = &order.rollout.service;
                let counted = rollouts.counts_of(service, order.id());
                Counts {
                    service: service.clone(),
                    order: order.newest_id().revision(),
                    era: Some(order.newest_id().era()),
                    known_ms: now.saturating_sub(order.began).as_millis() as u64,
                    old: counted.old,
                    new: counted.new,
                }
            })
            .collect()
    }
}
