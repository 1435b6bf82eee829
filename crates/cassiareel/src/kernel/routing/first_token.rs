//! The policy that minimizes the expected time to the first token.

use super::{
    eligibility::{into_choice, scores},
    expected::expected_ms,
    Candidate, Choice, Policy, RoutingRequest,
};
use crate::plugin::Plugin;

inventory::submit! {
    Plugin::<Box<dyn Policy>> { name: "first-token", build: || Box::<FirstToken>::default() }
}

/// Estimates the time to the first token on each candidate and chooses one of the best.
///
/// The estimate adds up an engine step, the prefill of the backlog and of the part of the prompt
/// that the cache does not hold, and the load that the request's own tokens will meet. It is
/// multiplied by the recent slowdown of the server. The estimate for a returning server is divided
/// by its weight.
///
/// While a prefix is not cached anywhere, each node would load it into a different cache. Therefore
/// two servers are homes of each prefix, chosen by a hash that is the same on all nodes, and are
/// credited with a part of the prefix.
///
/// Nodes that see the same stale reports would all choose the same best server. Therefore the
/// policy chooses at random among the servers whose estimate is within a margin of the best.
#[derive(Clone, Debug)]
struct FirstToken {
    // Time added for a server in another data centre, in milliseconds.
    remote_ms: f64,
    // Fraction of the prompt that the first and the second home are credited with.
    home_credit: [f64; 2],
    // Servers count as equal within this fraction of the best estimate plus `margin_ms`
    // milliseconds.
    margin: f64,
    margin_ms: f64,
}

impl Default for FirstToken {
    fn default() -> FirstToken {
        FirstToken {
            remote_ms: 2.0,
            home_credit: [0.5, 0.25],
            margin: 0.1,
            margin_ms: 2.0,
        }
    }
}

impl FirstToken {
    /// Returns the estimated time to the first token on a server, in milliseconds.
    fn score(&self, request: &RoutingRequest, c: &Candidate<'_>, homes: [u64; 2]) -> f64 {
        let remote = match &request.data_centre {
            Some(own) if own != c.data_centre => self.remote_ms,
            _ => 0.0,
        };
        let slowness = f64::from(c.slowdown) / f64::from(c.health.max(f32::MIN_POSITIVE));
        let credit = match homes
            .iter()
            .position(|&home| home == c.home_weight && home > 0)
        {
            Some(rank) => (request.prefix.len() as f64 * self.home_credit[rank]) as u32,
            None => 0,
        };
        expected_ms(request, c, c.cached_blocks.max(credit)) * slowness + remote
    }
}

impl Policy for FirstToken {
    fn choose(
        &self,
        request: &RoutingRequest,
        candidates: &[Candidate<'_>],
        random: u64,
    ) -> Choice {
        let homes = top_home_weights(candidates);
        let scores = scores(request, candidates, |c| self.score(request, c, homes));
        let eligible = || scores.iter().filter(|s| s.1.is_none()).map(|s| s.0);
        let bound = eligible().fold(f64::INFINITY, f64::min) * (1.0 + self.margin) + self.margin_ms;
        let equal_count = eligible().filter(|&score| score <= bound).count();
        let nth = (random % equal_count.max(1) as u64) as usize;
        let index = (0..scores.len())
            .filter(|&i| scores[i].1.is_none() && scores[i].0 <= bound)
            .nth(nth);
        into_choice(index, scores)
    }
}

/// Returns the two highest home weights, the highest first.
fn top_home_weights(candidates: &[Candidate<'_>]) -> [u64; 2] {
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
