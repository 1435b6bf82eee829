//! Rules for choosing a server that were weighed against the relay's.

use cassiareel_relay::kernel::{choose, Candidate, RequestDemand};

/// The part of servers that count as cold if they have no more requests than the others (Prequal).
const COLD_PART: f64 = 0.75;

/// The scale of the random part of an estimate, as a part of the service time.
const SPREAD: f64 = 0.3;

/// How a node chooses a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Choice {
    /// As the relay does where servers report no work times.
    Unpaced,
    /// As the relay does where servers report work times.
    Relay,
    /// The least estimated time.
    Estimate(Estimate),
    /// Of the servers with few requests the fastest one; the one with the fewest if there is none.
    HotCold,
}

/// An estimate of the time at a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The half-life of reported loads, in milliseconds.
    pub half_life_ms: f64,
    /// Whether an old report approaches the usual load of its server, instead of none.
    pub to_usual: bool,
    /// The cost of full slots, as a multiple of the service time.
    pub fill_cost: f64,
    /// Whether only two random servers are compared.
    pub two: bool,
}

impl Choice {
    /// Chooses a server, or none if there is none.
    pub(super) fn choose(
        self,
        candidates: &[Candidate],
        demand: RequestDemand,
        random: &mut fastrand::Rng,
    ) -> Option<usize> {
        match self {
            Choice::Unpaced => {
                let mut unpaced = candidates.to_vec();
                unpaced.iter_mut().for_each(|c| c.work_factor = None);
                choose(&unpaced, demand, || random.f64())
            }
            Choice::Relay => choose(candidates, demand, || random.f64()),
            Choice::Estimate(estimate) => estimate.choose(candidates, random),
            Choice::HotCold => choose_cold(candidates, random),
        }
    }
}

impl Estimate {
    fn choose(self, candidates: &[Candidate], random: &mut fastrand::Rng) -> Option<usize> {
        let mut indices: Vec<usize> = (0..candidates.len()).collect();
        if self.two {
            random.shuffle(&mut indices);
            indices.sort_by_key(|i| candidates[*i].tried);
            indices.truncate(2);
        }
        least(indices.into_iter().map(|i| {
            let cost = self.cost(&candidates[i], random.f64());
            (candidates[i].tried, cost, i)
        }))
    }

    fn cost(self, candidate: &Candidate, random: f64) -> f64 {
        let age_ms = candidate.report_age.as_secs_f64() * 1000.0;
        let old = match self.to_usual {
            true => candidate.usual_requests,
            false => 0.0,
        };
        let belief = 0.5f64.powf(age_ms / self.half_life_ms);
        let others = old + (f64::from(candidate.other_requests) - old) * belief;
        let requests = others + f64::from(candidate.open_requests);
        let slots = f64::from(candidate.slots);
        let queue = (requests + 1.0 - slots).max(0.0);
        let gumbel = (-random.clamp(1e-9, 1.0 - 1e-9).ln()).ln();
        let times = 1.0 + (queue + requests * self.fill_cost) / slots + SPREAD * gumbel;
        candidate.service_time.unwrap_or(50.0) * times
    }
}

fn choose_cold(candidates: &[Candidate], random: &mut fastrand::Rng) -> Option<usize> {
    let in_flight = |c: &Candidate| f64::from(c.open_requests + c.other_requests);
    let mut sorted: Vec<f64> = candidates.iter().map(in_flight).collect();
    sorted.sort_by(f64::total_cmp);
    let last = sorted.len().saturating_sub(1);
    let limit = *sorted.get((last as f64 * COLD_PART) as usize)?;
    least(candidates.iter().enumerate().map(|(i, c)| {
        let is_hot = in_flight(c) > limit || in_flight(c) >= f64::from(c.slots);
        // A hot server costs more than any cold one.
        let cost = match is_hot {
            true => 1e6 + in_flight(c),
            false => c.latency.unwrap_or(0.0),
        };
        (c.tried, cost + random.f64() * 0.1, i)
    }))
}

/// Returns the index of the least cost; one that was tried only if no other is left.
fn least<I>(costs: I) -> Option<usize>
where
    I: Iterator<Item = (bool, f64, usize)>,
{
    costs
        .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)))
        .map(|(_, _, i)| i)
}
