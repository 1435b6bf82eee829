//! The baseline policy that chooses the less loaded of two random backend servers.

use super::{
    eligibility::{into_choice, nth_eligible, scores},
    Candidate, Choice, Policy, RoutingRequest,
};
use crate::plugin::Plugin;

inventory::submit! {
    Plugin::<Box<dyn Policy>> { name: "power-of-two", build: || Box::new(PowerOfTwo) }
}

/// Number of bits of the random number that select each of the two candidates.
const DRAW_BITS: u32 = 32;

/// Draws two different eligible candidates and chooses the one with fewer outstanding requests.
struct PowerOfTwo;

impl Policy for PowerOfTwo {
    fn choose(
        &self,
        request: &RoutingRequest,
        candidates: &[Candidate<'_>],
        random: u64,
    ) -> Choice {
        let scores = scores(request, candidates, |c| f64::from(c.outstanding));
        let eligible = scores.iter().filter(|s| s.1.is_none()).count() as u64;
        if eligible == 0 {
            return into_choice(None, scores);
        }
        let nth = |n: u64| nth_eligible(&scores, n as usize);
        let one = (random >> DRAW_BITS) % eligible;
        let other = (one + 1 + u64::from(random as u32) % (eligible - 1).max(1)) % eligible;
        let index = [nth(one), nth(other)]
            .into_iter()
            .flatten()
            .min_by(|&a, &b| scores[a].0.total_cmp(&scores[b].0));
        into_choice(index, scores)
    }
}
