//! The baseline policy that chooses a backend server at random.

use super::{
    eligibility::{into_choice, nth_eligible, scores},
    Candidate, Choice, Policy, RoutingRequest,
};
use crate::plugin::Plugin;

inventory::submit! {
    Plugin::<Box<dyn Policy>> { name: "random", build: || Box::new(Random) }
}

/// Chooses uniformly among the eligible candidates.
struct Random;

impl Policy for Random {
    fn choose(
        &self,
        request: &RoutingRequest,
        candidates: &[Candidate<'_>],
        random: u64,
    ) -> Choice {
        let scores = scores(request, candidates, |_| 0.0);
        let eligible = scores.iter().filter(|s| s.1.is_none()).count();
        let nth = (random % eligible.max(1) as u64) as usize;
        into_choice(nth_eligible(&scores, nth), scores)
    }
}
