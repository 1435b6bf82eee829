/*!
Chooses the backend server of a request.

A node knows its own open requests exactly, and those of others only from loads that are reported
late. Many nodes see the same late reports; if all of them chose the least loaded backend server,
their requests would meet there. The estimate therefore adds a random part as large as the
uncertainty, and own open requests count in full. Backend servers that report how long work takes at
the moment are compared by that and by their usual loads (docs/design/even-load.md).

For engines, each prompt has its own order of preference, the same on all nodes: a caller that
reconnects after a node or a connection was lost finds its prompt still in memory, without any node
having to remember where it ran. The first event is delayed by the prompts that are prefilled before
it, and the memory that running requests will need at their ends limits how many may run on one
engine.
*/

use std::time::Duration;

/// The age at which a reported load counts half.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(400);

/// The scale of the random part of the cost of a contended server, as a part of its service time. It
/// keeps nodes with reports of the same moment from sending to the same server.
const CONTENDED_SPREAD: f64 = 0.33;

/// The age at which a reported load counts half and the usual one half, where backend servers report
/// work times.
const PACED_HALF_LIFE: Duration = Duration::from_millis(150);

/// The scale of the random part of the cost there, as a part of the service time.
const PACED_SPREAD: f64 = 0.3;

/// The cost of full slots there, as a multiple of the service time. An estimate below the number of
/// slots is often wrong, so a request may wait although the estimate shows none.
const PACED_FILL_COST: f64 = 2.0;

/// The cost of another data centre, in milliseconds of waiting.
const REMOTE_COST_MS: f64 = 2.0;

/// The time to an answer assumed of a backend server that has given none, in milliseconds.
const UNKNOWN_SERVICE_MS: f64 = 50.0;

/// The prompt tokens that an engine prefills in a millisecond, assumed in estimates.
const PREFILL_TOKENS_PER_MS: f64 = 5.0;

/// The delay that a running generation adds to the others of its batch, in milliseconds.
const BATCH_DELAY_MS: f64 = 40.0;

/// The cost of a prompt's least preferred engine, in milliseconds of waiting.
const PREFERENCE_COST_MS: f64 = 1500.0;

/// The number of engines that are queried for the prompt of a resumed stream.
pub const SEARCHED_ENGINES: usize = 8;

/// The part of an engine's memory that the node's own requests may fill.
const MAX_MEMORY_FILL: f64 = 0.9;

/// The excess of a backend server's error rate over its service's that is attributed to chance.
const ERROR_RATE_TOLERANCE: f64 = 0.12;

/// The cost of an error rate of 1, in milliseconds of waiting.
const ERROR_COST_MS: f64 = 2000.0;

/// A backend server that a request may be sent to.
#[derive(Clone, Debug, Default)]
pub struct Candidate {
    /// Whether it is in the node's own data centre.
    pub local: bool,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// The number of the node's own open requests there.
    pub open_requests: u32,
    /// The prompt tokens of the node's own requests there that wait for their first event.
    pub unread_tokens: u64,
    /// The memory that the node's own open requests there need at their ends, in tokens.
    pub peak_tokens: u64,
    /// The number of other nodes' requests there, according to the last load report.
    pub other_requests: u32,
    /// The number of other nodes' requests there that is usual, according to all load reports.
    pub usual_requests: f64,
    /// The age of the last report.
    pub report_age: Duration,
    /// The mean time to an answer in milliseconds.
    pub latency: Option<f64>,
    /// The mean time to an answer without a wait, in milliseconds.
    pub service_time: Option<f64>,
    /// How long work takes there at this moment, as a factor of its mean; `None` if the backend
    /// server reports no work times.
    pub work_factor: Option<f64>,
    /// The share of its answers that fail.
    pub error_rate: f64,
    /// Its place in the prompt's order of preference, from 0 for the most preferred one to 1.
    pub preference_rank: f64,
    /// Whether it is assumed to fail.
    pub suspect: bool,
    /// Whether the request was sent there before.
    pub tried: bool,
    /// Whether it is leaving or may not be used for this request.
    pub excluded: bool,
}

/// What a request needs of a backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestDemand {
    /// The prompt tokens to prefill; zero if the service runs no model.
    pub input: u64,
    /// The memory that the request occupies when it ends, in tokens.
    pub peak_tokens: u64,
    /// An engine's memory, in tokens; `None` if the service runs no model.
    pub capacity: Option<u64>,
    /// Whether more is asked of a plain service than it can serve.
    pub contended: bool,
}

impl Candidate {
    /// Returns the number of the node's own open requests plus those of others, which count less
    /// the older their report is.
    fn estimated_requests(&self) -> f64 {
        let half_lives = self.report_age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64();
        f64::from(self.open_requests) + f64::from(self.other_requests) * 0.5f64.powf(half_lives)
    }

    /// Returns the number of the node's own open requests plus those of others, which approach the
    /// usual number as their report ages.
    fn expected_requests(&self) -> f64 {
        let half_lives = self.report_age.as_secs_f64() / PACED_HALF_LIFE.as_secs_f64();
        let deviation = f64::from(self.other_requests) - self.usual_requests;
        f64::from(self.open_requests) + self.usual_requests + deviation * (-half_lives).exp2()
    }

    /// Returns the cost of its distance.
    fn remote_cost(&self) -> f64 {
        if self.local {
            0.0
        } else {
            REMOTE_COST_MS
        }
    }

    /// Reports whether a recent report showed that it had a free slot.
    pub fn has_free_slot(&self) -> bool {
        self.report_age < REPORT_HALF_LIFE && self.open_requests + self.other_requests < self.slots
    }

    /// Reports whether a recent report showed that it had no free slot.
    pub fn is_full(&self) -> bool {
        self.report_age < REPORT_HALF_LIFE && self.open_requests + self.other_requests >= self.slots
    }

    /// Returns the estimated time that a request waits there before it is processed.
    pub fn expected_wait(&self) -> Duration {
        let slots = f64::from(self.slots.max(1));
        let ahead = (self.estimated_requests() + 1.0 - slots).max(0.0);
        Duration::from_secs_f64(ahead / slots * self.service_time.unwrap_or(0.0) / 1000.0)
    }
}

/// Chooses a backend server and returns its index; `random` yields numbers from 0 to 1.
///
/// Backend servers that are suspect or were tried before are chosen only if no other is left.
pub fn choose<R>(candidates: &[Candidate], demand: RequestDemand, mut random: R) -> Option<usize>
where
    R: FnMut() -> f64,
{
    let errors = mean_error_rate(candidates);
    let spread = match demand.input {
        0 => 0.0,
        _ => engine_spread(candidates),
    };
    let paced = demand.input == 0 && candidates.iter().any(|c| c.work_factor.is_some());
    let mut best: Option<(u32, f64, usize)> = None;
    for (i, candidate) in candidates.iter().enumerate().filter(|(_, c)| !c.excluded) {
        let class = class(candidate, demand);
        let cost = match paced {
            true => paced_cost(candidate, random()),
            false => cost(candidate, demand, spread, random()),
        };
        let cost = cost + failure_cost(candidate, errors);
        let better = best.is_none_or(|(c, k, _)| (class, cost) < (c, k));
        if better {
            best = Some((class, cost, i));
        }
    }
    best.map(|(_, _, i)| i)
}

/// Returns the class of a candidate, the lowest being the best. It takes precedence over the cost.
fn class(candidate: &Candidate, demand: RequestDemand) -> u32 {
    let full = demand.capacity.is_some_and(|capacity| {
        let filled = (candidate.peak_tokens + demand.peak_tokens) as f64;
        candidate.open_requests >= candidate.slots || filled > capacity as f64 * MAX_MEMORY_FILL
    });
    u32::from(candidate.tried) * 4 + u32::from(candidate.suspect) * 2 + u32::from(full)
}

/// Returns the scale of the random part of an engine's cost, in milliseconds.
///
/// The more engines there are, the less the costs of their places in the order of preference differ.
/// The random part spans, on average, as many places as a search for the prompt queries: otherwise a
/// caller that reconnects to another node of a large fleet would not find its prompt.
fn engine_spread(candidates: &[Candidate]) -> f64 {
    let usable = candidates.iter().filter(|c| !c.excluded).count().max(1);
    let place_cost = PREFERENCE_COST_MS / usable as f64;
    BATCH_DELAY_MS.min(place_cost * SEARCHED_ENGINES as f64)
}

/// Returns a rough estimate of the time until the request is served, in milliseconds; `spread` is the
/// scale of the random part for engines.
fn cost(candidate: &Candidate, demand: RequestDemand, spread: f64, random: f64) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    let requests = candidate.estimated_requests();
    let remote = candidate.remote_cost();
    if demand.input > 0 {
        let prefill = candidate.unread_tokens as f64 / PREFILL_TOKENS_PER_MS;
        let preference = candidate.preference_rank * PREFERENCE_COST_MS;
        return prefill + requests * BATCH_DELAY_MS + preference + remote + random * spread;
    }
    if demand.contended {
        let wait = candidate.expected_wait().as_secs_f64() * 1000.0;
        let spread = candidate.service_time.unwrap_or(0.0) * CONTENDED_SPREAD;
        return wait + remote + spread * gumbel(random);
    }
    let took = candidate.latency.unwrap_or(UNKNOWN_SERVICE_MS);
    let queue = (requests + random - slots + 1.0).max(0.0);
    took * (1.0 + queue / slots) + took * requests / slots * 0.3 + remote + random * took * 0.1
}

/// Returns the estimate for a plain service whose backend servers report work times.
///
/// An old report says nothing of the queue, but the mean of reports tells which servers usually have
/// one: those of low speed, or those that other nodes prefer.
fn paced_cost(candidate: &Candidate, random: f64) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    let requests = candidate.expected_requests();
    let queue = (requests + 1.0 - slots).max(0.0);
    let mean = candidate.service_time.unwrap_or(UNKNOWN_SERVICE_MS);
    let took = mean * candidate.work_factor.unwrap_or(1.0);
    let times = 1.0 + (queue + requests * PACED_FILL_COST) / slots;
    // The random part can be negative, and would favour slow machines if it grew with their factor.
    let spread = mean * PACED_SPREAD * gumbel(random);
    took * times + spread + candidate.remote_cost()
}

/// Returns the cost of a candidate that fails more often than its service, in milliseconds.
fn failure_cost(candidate: &Candidate, errors: f64) -> f64 {
    (candidate.error_rate - errors - ERROR_RATE_TOLERANCE).max(0.0) * ERROR_COST_MS
}

/// Returns a number of Gumbel's distribution for a uniform one from 0 to 1. Costs with such parts
/// are lowest with a probability that falls exponentially with the cost.
fn gumbel(random: f64) -> f64 {
    (-random.clamp(1e-9, 1.0 - 1e-9).ln()).ln()
}

/// Returns the mean error rate of the candidates that are not excluded.
fn mean_error_rate(candidates: &[Candidate]) -> f64 {
    let usable = candidates.iter().filter(|c| !c.excluded);
    let count = usable.clone().count().max(1);
    usable.map(|c| c.error_rate).sum::<f64>() / count as f64
}
