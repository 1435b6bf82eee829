//! The baseline that takes the backend server with the fewest outstanding requests.

use super::{Ask, Candidate, Choice, Pass, Policy};
use crate::plugin::Plugin;

inventory::submit! {
    Plugin::<Box<dyn Policy>> { name: "least-outstanding", build: || Box::new(LeastOutstanding) }
}

/// Takes the fewest outstanding requests; ties fall by the random number.
struct LeastOutstanding;

impl Policy for LeastOutstanding {
    fn choose(&self, _ask: &Ask, candidates: &[Candidate], random: u64) -> Choice {
        let mut scores: Vec<(f64, Option<Pass>)> = candidates
            .iter()
            .map(|c| (f64::from(c.outstanding), fitness(c)))
            .collect();
        let start = (random % candidates.len().max(1) as u64) as usize;
        let index = (0..candidates.len())
            .map(|i| (start + i) % candidates.len())
            .filter(|&i| scores[i].1.is_none())
            .min_by(|&a, &b| scores[a].0.total_cmp(&scores[b].0));
        for (i, score) in scores.iter_mut().enumerate() {
            if score.1.is_none() && index != Some(i) {
                score.1 = Some(Pass::Score);
            }
        }
        Choice { index, scores }
    }
}

/// Tells why a candidate can't be chosen at all.
fn fitness(candidate: &Candidate) -> Option<Pass> {
    (candidate.health <= 0.0).then_some(Pass::Ejected)
}
