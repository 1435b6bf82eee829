//! The baseline policy that chooses the backend servers in turn.

use std::sync::atomic::{AtomicU64, Ordering};

use super::{
    eligibility::{into_choice, lowest_score, scores},
    Candidate, Choice, Policy, RoutingRequest,
};
use crate::plugin::Plugin;

inventory::submit! {
    Plugin::<Box<dyn Policy>> { name: "round-robin", build: || Box::<RoundRobin>::default() }
}

/// Chooses the candidates in list order.
#[derive(Default)]
struct RoundRobin {
    next: AtomicU64,
}

impl Policy for RoundRobin {
    fn choose(
        &self,
        request: &RoutingRequest,
        candidates: &[Candidate<'_>],
        _random: u64,
    ) -> Choice {
        let scores = scores(request, candidates, |_| 0.0);
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        into_choice(lowest_score(&scores, turn), scores)
    }
}
