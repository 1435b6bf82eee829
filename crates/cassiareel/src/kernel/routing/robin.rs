//! The baseline that takes the backend servers in turn.

use std::sync::atomic::{AtomicU64, Ordering};

use super::{
    fitness::{fitness, lowest, settle},
    Candidate, Choice, Policy, RoutingRequest,
};
use crate::plugin::Plugin;

inventory::submit! {
    Plugin::<Box<dyn Policy>> { name: "round-robin", build: || Box::<RoundRobin>::default() }
}

/// Takes the candidates in the order of their list.
#[derive(Default)]
struct RoundRobin {
    next: AtomicU64,
}

impl Policy for RoundRobin {
    fn choose(&self, ask: &RoutingRequest, candidates: &[Candidate<'_>], _random: u64) -> Choice {
        let scores: Vec<_> = candidates.iter().map(|c| (0.0, fitness(ask, c))).collect();
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        settle(lowest(&scores, turn), scores)
    }
}
