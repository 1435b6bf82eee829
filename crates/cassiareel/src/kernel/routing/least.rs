//! The baseline that takes the backend server with the fewest outstanding requests.

use super::{
    fitness::{fitness, lowest, settle},
    Candidate, Choice, Policy, RoutingRequest,
};
use crate::plugin::Plugin;

inventory::submit! {
    Plugin::<Box<dyn Policy>> { name: "least-outstanding", build: || Box::new(LeastOutstanding) }
}

/// Takes the fewest outstanding requests; ties fall by the random number.
struct LeastOutstanding;

impl Policy for LeastOutstanding {
    fn choose(&self, ask: &RoutingRequest, candidates: &[Candidate<'_>], random: u64) -> Choice {
        let scores: Vec<_> = candidates
            .iter()
            .map(|c| (f64::from(c.outstanding), fitness(ask, c)))
            .collect();
        settle(lowest(&scores, random), scores)
    }
}
