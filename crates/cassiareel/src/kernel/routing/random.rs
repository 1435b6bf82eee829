//! The baseline that takes any fit backend server.

use super::{
    fitness::{fitness, settle},
    Candidate, Choice, Policy, RoutingRequest,
};
use crate::plugin::Plugin;

inventory::submit! {
    Plugin::<Box<dyn Policy>> { name: "random", build: || Box::new(Random) }
}

/// Takes each fit candidate equally often.
struct Random;

impl Policy for Random {
    fn choose(&self, ask: &RoutingRequest, candidates: &[Candidate<'_>], random: u64) -> Choice {
        let scores: Vec<_> = candidates.iter().map(|c| (0.0, fitness(ask, c))).collect();
        let fit = scores.iter().filter(|s| s.1.is_none()).count();
        let nth = (random % fit.max(1) as u64) as usize;
        let index = (0..scores.len())
            .filter(|&i| scores[i].1.is_none())
            .nth(nth);
        settle(index, scores)
    }
}
