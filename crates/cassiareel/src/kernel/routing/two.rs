//! The baseline that takes the less loaded of two random backend servers.

use super::{
    fitness::{fitness, settle},
    Candidate, Choice, Policy, RoutingRequest,
};
use crate::plugin::Plugin;

inventory::submit! {
    Plugin::<Box<dyn Policy>> { name: "power-of-two", build: || Box::new(PowerOfTwo) }
}

/// Bits of the random number that draw each of the two.
const DRAW_BITS: u32 = 32;

/// Draws two different fit candidates and takes the one with fewer outstanding requests.
struct PowerOfTwo;

impl Policy for PowerOfTwo {
    fn choose(&self, ask: &RoutingRequest, candidates: &[Candidate<'_>], random: u64) -> Choice {
        let scores: Vec<_> = candidates
            .iter()
            .map(|c| (f64::from(c.outstanding), fitness(ask, c)))
            .collect();
        let fit = scores.iter().filter(|s| s.1.is_none()).count() as u64;
        if fit == 0 {
            return settle(None, scores);
        }
        let nth = |n| {
            (0..scores.len())
                .filter(|&i| scores[i].1.is_none())
                .nth(n as usize)
        };
        let one = (random >> DRAW_BITS) % fit;
        let other = (one + 1 + u64::from(random as u32) % (fit - 1).max(1)) % fit;
        let index = [nth(one), nth(other)]
            .into_iter()
            .flatten()
            .min_by(|&a, &b| scores[a].0.total_cmp(&scores[b].0));
        settle(index, scores)
    }
}
