/*!
Which backend server gets a request.

A node knows its own open work exactly and the rest only from loads that are told late. Many nodes
see the same late loads; if all of them took the least loaded backend server, they would meet there.
The estimate therefore adds a random part as large as the uncertainty, and own open work counts in
full. For engines, each prompt prefers engines in an order of its own, the same on all nodes: a
caller that comes back after a node or a connection was lost finds its prompt still in memory,
without any node having to remember where it ran. What delays the first event is the prompts that are read before it; memory that
running requests will need at their ends bounds how many may meet on one engine.
*/

use std::time::Duration;

/// The age at which a told load counts half.
const HALF_LIFE: Duration = Duration::from_millis(400);

/// Cost of another data centre, in milliseconds of waiting.
const FAR: f64 = 2.0;

/// Prompt tokens that an engine reads in a millisecond, for estimates before any was seen.
const PREFILL: f64 = 5.0;

/// Time that a running generation adds to the others of its batch, in milliseconds.
const BATCHED: f64 = 40.0;

/// What the least preferred engine costs a prompt, in milliseconds of waiting.
const PREFERENCE: f64 = 1500.0;

/// The part of an engine's memory that own work may fill.
const FILL: f64 = 0.9;

/// Excess of a backend server's failure rate over its service's that is normal scatter.
const SCATTER: f64 = 0.12;

/// Cost of failing always, in milliseconds of waiting.
const FAILING: f64 = 2000.0;

/// A backend server that a request may go to.
#[derive(Clone, Debug, Default)]
pub struct Candidate {
    /// Whether it is in the node's own data centre.
    pub local: bool,
    /// Requests that it runs at once.
    pub slots: u32,
    /// The node's own open requests there.
    pub open_requests: u32,
    /// Prompt tokens of the node's own requests there that wait for their first event.
    pub unread_tokens: u64,
    /// Memory that the node's own open requests there need at their ends, in tokens.
    pub peak_tokens: u64,
    /// Requests of other nodes there when the load was last told.
    pub other_requests: u32,
    /// The age of that.
    pub report_age: Duration,
    /// The mean time to an answer in milliseconds.
    pub latency: Option<f64>,
    /// The mean time to an answer without a wait, in milliseconds.
    pub service_time: Option<f64>,
    /// The share of its answers that fail.
    pub error_rate: f64,
    /// How little the prompt prefers it, from 0 to 1.
    pub preference_rank: f64,
    /// Whether it is believed to fail.
    pub suspect: bool,
    /// Whether the request was sent there before.
    pub tried: bool,
    /// Whether it leaves or may not be used for this request.
    pub excluded: bool,
}

/// What a request needs of a backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestDemand {
    /// Prompt tokens to read; zero where no model is run.
    pub input: u64,
    /// Memory at the end, in tokens.
    pub peak_tokens: u64,
    /// An engine's memory, in tokens; `None` where no model is run.
    pub capacity: Option<u64>,
}

impl Candidate {
    /// The node's own open requests and others', those that were told of long ago counting less.
    fn busy(&self) -> f64 {
        let half_lives = self.report_age.as_secs_f64() / HALF_LIFE.as_secs_f64();
        f64::from(self.open_requests) + f64::from(self.other_requests) * 0.5f64.powf(half_lives)
    }

    /// How long a request waits there before it is worked on, as far as is known.
    pub fn expected_wait(&self) -> Duration {
        let slots = f64::from(self.slots.max(1));
        let ahead = (self.busy() + 1.0 - slots).max(0.0);
        Duration::from_secs_f64(ahead / slots * self.service_time.unwrap_or(0.0) / 1000.0)
    }
}

/// Chooses a backend server by its index; `random` gives numbers from 0 to 1.
///
/// Backend servers that are suspect or were tried before are taken only where no other is left.
pub fn choose<R>(candidates: &[Candidate], need: RequestDemand, mut random: R) -> Option<usize>
where
    R: FnMut() -> f64,
{
    let errors = mean_errors(candidates);
    let mut best: Option<(u32, f64, usize)> = None;
    for (i, candidate) in candidates.iter().enumerate().filter(|(_, c)| !c.excluded) {
        let class = class(candidate, need);
        let cost = cost(candidate, need, errors, random());
        let better = best.is_none_or(|(c, k, _)| (class, cost) < (c, k));
        if better {
            best = Some((class, cost, i));
        }
    }
    best.map(|(_, _, i)| i)
}

/// Reasons against a backend server that count before any load, the lowest best.
fn class(candidate: &Candidate, need: RequestDemand) -> u32 {
    let full = need.capacity.is_some_and(|capacity| {
        let filled = (candidate.peak_tokens + need.peak_tokens) as f64;
        candidate.open_requests >= candidate.slots || filled > capacity as f64 * FILL
    });
    u32::from(candidate.tried) * 4 + u32::from(candidate.suspect) * 2 + u32::from(full)
}

/// The time until the request is served, in milliseconds, by a rough estimate.
fn cost(candidate: &Candidate, need: RequestDemand, errors: f64, random: f64) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    let busy = candidate.busy();
    let far = if candidate.local { 0.0 } else { FAR };
    let failing = (candidate.error_rate - errors - SCATTER).max(0.0) * FAILING;
    if need.input > 0 {
        let reading = candidate.unread_tokens as f64 / PREFILL;
        let preference = candidate.preference_rank * PREFERENCE;
        return reading + busy * BATCHED + preference + far + failing + random * BATCHED;
    }
    let took = candidate.latency.unwrap_or(50.0);
    let queue = (busy + random - slots + 1.0).max(0.0);
    took * (1.0 + queue / slots) + took * busy / slots * 0.3 + far + failing + random * took * 0.1
}

/// The failure rate of the service.
fn mean_errors(candidates: &[Candidate]) -> f64 {
    let open = candidates.iter().filter(|c| !c.excluded);
    let count = open.clone().count().max(1);
    open.map(|c| c.error_rate).sum::<f64>() / count as f64
}
