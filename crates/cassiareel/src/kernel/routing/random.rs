//! The baseline policy that chooses a backend server at random.

use super::{
    eligibility::{into_choice, skip_reason},
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
        let scores: Vec<_> = candidates
            .iter()
            .map(|c| (0.0, skip_reason(request, c)))
            .collect();
        let eligible = scores.iter().filter(|s| s.1.is_none()).count();
        let nth = (random % eligible.max(1) as u64) as usize;
        let index = (0..scores.len())
            .filter(|&i| scores[i].1.is_none())
            .nth(nth);
        into_choice(index, scores)
    }
}
