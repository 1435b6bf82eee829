//! The baseline policy that chooses the backend server with the fewest outstanding requests.

use super::{
    eligibility::{into_choice, lowest_score, scores},
    Candidate, Choice, Policy, RoutingRequest,
};
use crate::plugin::Plugin;

inventory::submit! {
    Plugin::<Box<dyn Policy>> { name: "least-outstanding", build: || Box::new(LeastOutstanding) }
}

/// Chooses the candidate with the fewest outstanding requests and breaks ties at random.
struct LeastOutstanding;

impl Policy for LeastOutstanding {
    fn choose(
        &self,
        request: &RoutingRequest,
        candidates: &[Candidate<'_>],
        random: u64,
    ) -> Choice {
        let scores = scores(request, candidates, |c| f64::from(c.outstanding));
        into_choice(lowest_score(&scores, random), scores)
    }
}
