//! The policy that expects the earliest first token.

use super::{
    expect::expected_ms,
    fitness::{fitness, settle},
    Candidate, Choice, Policy, RoutingRequest, SkipReason,
};
use crate::plugin::Plugin;

inventory::submit! {
    Plugin::<Box<dyn Policy>> { name: "first-token", build: || Box::<FirstToken>::default() }
}

/// Expects a time to the first token of each candidate and takes one of the best.
///
/// The expectation adds up a step of the engine, the reading of what waits there and of the part of
/// the prompt that its cache does not hold, and the load that the request's own tokens would meet.
/// A server that was slower than expected of it lately is expected to be so again. A returning
/// server's expectation is divided by its weight.
///
/// Where no node knows a prefix yet, each would read it into another cache. So two servers are homes
/// of each prefix, by a hash that all nodes share, and are credited with a part of it.
///
/// Nodes that see the same late reports would all take the same best server. So one of those whose
/// expectation is within a margin of the best is drawn.
#[derive(Clone, Debug)]
struct FirstToken {
    // Milliseconds for another data centre.
    far_ms: f64,
    // Part of the prompt that the first and the second home are credited with.
    homes: [f64; 2],
    // Part of the best expectation, and milliseconds, within which servers count as equal.
    margin: f64,
    margin_ms: f64,
}

impl Default for FirstToken {
    fn default() -> FirstToken {
        FirstToken {
            far_ms: 2.0,
            homes: [0.5, 0.25],
            margin: 0.1,
            margin_ms: 2.0,
        }
    }
}

impl FirstToken {
    /// The expected time to the first token, in milliseconds, with what is known of the server.
    fn score(&self, ask: &RoutingRequest, c: &Candidate<'_>, homes: [u64; 2]) -> f64 {
        let far = match &ask.data_centre {
            Some(own) if own != c.data_centre => self.far_ms,
            _ => 0.0,
        };
        let slowness = f64::from(c.slowdown) / f64::from(c.health.max(f32::MIN_POSITIVE));
        let credit = match homes
            .iter()
            .position(|&home| home == c.home_weight && home > 0)
        {
            Some(rank) => (ask.prefix.len() as f64 * self.homes[rank]) as u32,
            None => 0,
        };
        expected_ms(ask, c, c.cached_blocks.max(credit)) * slowness + far
    }
}

impl Policy for FirstToken {
    fn choose(&self, ask: &RoutingRequest, candidates: &[Candidate<'_>], random: u64) -> Choice {
        let homes = homes(candidates);
        let scores: Vec<(f64, Option<SkipReason>)> = candidates
            .iter()
            .map(|c| (self.score(ask, c, homes), fitness(ask, c)))
            .collect();
        let fit = || scores.iter().filter(|s| s.1.is_none()).map(|s| s.0);
        let bound = fit().fold(f64::INFINITY, f64::min) * (1.0 + self.margin) + self.margin_ms;
        let equal = fit().filter(|&score| score <= bound).count();
        let nth = (random % equal.max(1) as u64) as usize;
        let index = (0..scores.len())
            .filter(|&i| scores[i].1.is_none() && scores[i].0 <= bound)
            .nth(nth);
        settle(index, scores)
    }
}

/// The two highest weights as a home, the highest first.
fn homes(candidates: &[Candidate<'_>]) -> [u64; 2] {
    let mut homes = [0; 2];
    for c in candidates {
        if c.home_weight > homes[0] {
            homes = [c.home_weight, homes[0]];
        } else if c.home_weight > homes[1] {
            homes[1] = c.home_weight;
        }
    }
    homes
}
