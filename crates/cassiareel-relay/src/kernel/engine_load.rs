/*!
Chooses an engine for a prompt by the loads that a few engines have just reported.

On a large fleet a node learns too little about an engine's load from its own answers. Probing a few
engines before each prompt avoids that prompts meet at one engine by chance: if a quarter of the
engines are prefilling a prompt, one in four prompts would wait for another, but only one in sixty
if each chooses among three engines. The engines are probed in the prompt's own order of preference,
which also breaks ties.

The reports also show whether an engine has room. This protects a service under more load than its
capacity: a prompt that is sent to an engine without room waits longer than its caller does, or
makes the engine run out of memory and drop what it has prefilled for other requests, so that the
more is requested the less is served.
*/

use std::time::Duration;

/// The number of engines that are probed for their loads before a prompt is sent.
pub const PROBED_ENGINES: usize = 3;

/// The number of further engines that are probed if none of the first ones has room.
pub const EXTRA_PROBED_ENGINES: usize = 5;

/// The part of its objective for which a stream may be held until an engine has room.
pub const MAX_HOLD_PART: f64 = 0.11;

/// The interval at which engines are probed for room while a stream is held.
pub const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(160);

/// The cost of a prompt that is being prefilled, in milliseconds.
const PREFILLING_COST_MS: f64 = 1000.0;

/// The cost of a running generation, in milliseconds.
const GENERATING_COST_MS: f64 = 40.0;

/// The cost of each position in the prompt's order of preference, in milliseconds.
const POSITION_COST_MS: f64 = 120.0;

/// The cost of an engine that did not report its load, in milliseconds.
const UNREPORTED_COST_MS: f64 = 1500.0;

/// The part of an engine's memory that may be filled, since the needs of requests are estimates.
const MAX_MEMORY_FILL: f64 = 0.85;

/// The used part of an engine's room beyond which concurrent requests may exhaust the rest.
const TIGHT_PART: f64 = 0.55;

/// A request for which an engine generates.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RunningRequest {
    /// Its tokens in memory.
    pub tokens: u64,
    /// The part of these tokens that was generated.
    pub generated: u64,
    /// Its priority, 0 being the highest.
    pub priority: u8,
}

/// The load that an engine reported.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineLoad {
    /// The number of requests whose prompts are being prefilled or wait for it.
    pub prefilling: u64,
    /// The number of requests for which it generates.
    pub generating: u64,
    /// The generating requests that it reported individually.
    pub runs: Vec<RunningRequest>,
    /// The number of requests that it runs concurrently; zero if unknown.
    pub slots: u64,
    /// The memory in use that can't be freed, in tokens.
    pub used: u64,
    /// The total memory, in tokens; zero if not reported.
    pub capacity: u64,
}

/// What a prompt needs of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PromptDemand {
    /// The length of the prompt, in tokens.
    pub input: u64,
    /// The memory that the request occupies when it ends, in tokens.
    pub peak_tokens: u64,
    /// The part of an engine's room that has to stay free.
    pub reserved_part: f64,
    /// The time in which an engine prefills a prompt of average size.
    pub prefill_time: Duration,
    /// The longest time that the prompt may wait for earlier ones.
    pub max_wait: Duration,
    /// The priority, 0 being the highest.
    pub priority: u8,
    /// The part of an engine's places that is left to higher priorities.
    pub left_part: f64,
    /// The part of an engine's memory that it may fill besides the usual one.
    pub extra_fill: f64,
}

/// The resource that an engine is short of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shortage {
    /// A slot among the requests that it runs concurrently.
    Place,
    /// Memory for the request until its end.
    Memory,
    /// Time: too many prompts wait to be prefilled before.
    Time,
    /// Requests that backend servers take from all nodes, by the limits that they name.
    Limit,
    /// Sends: as many as a contended plain service can serve were sent already.
    Sends,
}

impl Shortage {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Shortage::Place => "place",
            Shortage::Memory => "memory",
            Shortage::Time => "time",
            Shortage::Limit => "limit",
            Shortage::Sends => "sends",
        }
    }
}

impl EngineLoad {
    /// Returns the resource that the engine lacks for a prompt; `None` if it has room. An idle
    /// engine has room for any prompt.
    pub fn shortage(&self, demand: &PromptDemand) -> Option<Shortage> {
        let requests = self.prefilling + self.generating;
        if requests == 0 {
            return None;
        }
        let usable = 1.0 - demand.reserved_part;
        let places = self.slots as f64 * usable - self.left_places(demand);
        if self.slots > 0 && (requests + 1) as f64 > places.max(1.0) {
            return Some(Shortage::Place);
        }
        let memory = self.capacity as f64 * (MAX_MEMORY_FILL + demand.extra_fill) * usable;
        if self.capacity > 0 && self.peak_tokens(demand) > memory {
            return Some(Shortage::Memory);
        }
        let wait = demand.prefill_time.mul_f64(self.prefilling as f64);
        (wait > demand.max_wait.mul_f64(usable)).then_some(Shortage::Time)
    }

    /// Reports whether so much of its room is in use that concurrent requests may take the rest
    /// before this one arrives, so that room has to be reserved.
    pub fn is_tight(&self, demand: &PromptDemand) -> bool {
        let requests = self.prefilling + self.generating;
        let slots = self.slots > 0 && (requests + 1) as f64 > self.slots as f64 * TIGHT_PART;
        let memory =
            self.capacity > 0 && self.peak_tokens(demand) > self.capacity as f64 * TIGHT_PART;
        requests > 0 && (slots || memory)
    }

    /// Returns the largest amount of memory that its requests and the new one will need at any
    /// time, in tokens.
    ///
    /// All requests are assumed to generate as much as the new one, and at the same speed. When one
    /// ends, its memory is free for the growth of the others, so the need is largest right before
    /// one of the ends.
    fn peak_tokens(&self, demand: &PromptDemand) -> f64 {
        let output = demand.peak_tokens.saturating_sub(demand.input);
        let unread = RunningRequest {
            tokens: demand.input,
            generated: 0,
            priority: demand.priority,
        };
        let coming = std::iter::repeat_n(unread, self.prefilling as usize + 1);
        let mut runs: Vec<RunningRequest> = self.runs.iter().copied().chain(coming).collect();
        runs.sort_by_key(|run| std::cmp::Reverse(run.generated));
        let mut occupied = self.used + (self.prefilling + 1) * demand.input;
        let mut peak = occupied;
        for (ended, run) in runs.iter().enumerate() {
            let growth = output.saturating_sub(run.generated);
            let growing = (runs.len() - ended) as u64;
            peak = peak.max(occupied + growth * growing);
            occupied = occupied.saturating_sub(run.tokens);
        }
        peak as f64
    }

    /// Returns the number of places that are left to higher priorities: their part of all places,
    /// less the ones that they have.
    fn left_places(&self, demand: &PromptDemand) -> f64 {
        let part = (self.slots as f64 * demand.left_part).floor();
        if part < 1.0 {
            return 0.0;
        }
        let higher = self.runs.iter().filter(|r| r.priority < demand.priority);
        (part - higher.count() as f64).max(0.0)
    }

    /// Returns the memory to reserve for the new prompt and for the growth of all running requests,
    /// in tokens. The reservation fails if others took that memory since the engine's report.
    pub fn tokens_to_reserve(&self, demand: &PromptDemand) -> u64 {
        (self.peak_tokens(demand) as u64).saturating_sub(self.used)
    }

    /// Returns the part of its memory that is in use; `None` if it does not report its memory.
    pub fn memory_fill(&self) -> Option<f64> {
        (self.capacity > 0).then(|| self.used as f64 / self.capacity as f64)
    }

    /// Returns the delay that its load causes for a prompt, in milliseconds.
    fn cost(&self) -> f64 {
        self.prefilling as f64 * PREFILLING_COST_MS + self.generating as f64 * GENERATING_COST_MS
    }
}

/// Chooses among engines in their order of preference; `None` stands for an engine that did not
/// report its load.
///
/// # Examples
///
/// ```
/// use cassiareel_relay::kernel::{choose_least_loaded, EngineLoad};
///
/// let idle = EngineLoad::default();
/// let prefilling = EngineLoad { prefilling: 1, ..EngineLoad::default() };
/// assert_eq!(choose_least_loaded(&[Some(prefilling), None, Some(idle)]), Some(2));
/// ```
pub fn choose_least_loaded(engines: &[Option<EngineLoad>]) -> Option<usize> {
    least_cost(engines, |_| true)
}

/// Chooses among the engines that reported room for a prompt.
///
/// # Errors
///
/// Fails if none has room, with the shortage of the most preferred engine that reported its load;
/// with `None` if no engine did.
pub fn choose_with_room(
    engines: &[Option<EngineLoad>],
    demand: &PromptDemand,
) -> Result<usize, Option<Shortage>> {
    let has_room = |engine: usize| {
        engines[engine]
            .as_ref()
            .is_some_and(|load| load.shortage(demand).is_none())
    };
    let shortage = || {
        engines
            .iter()
            .flatten()
            .find_map(|load| load.shortage(demand))
    };
    least_cost(engines, has_room).ok_or_else(shortage)
}

fn least_cost<F>(engines: &[Option<EngineLoad>], is_eligible: F) -> Option<usize>
where
    F: Fn(usize) -> bool,
{
    let cost = |position: usize| {
        let load = engines[position]
            .as_ref()
            .map_or(UNREPORTED_COST_MS, EngineLoad::cost);
        load + position as f64 * POSITION_COST_MS
    };
    (0..engines.len())
        .filter(|engine| is_eligible(*engine))
        .min_by(|a, b| cost(*a).total_cmp(&cost(*b)))
}

/// Chooses the engine with the largest part of a prompt in its cache. `cached` has, for each
/// engine, the number of the prompt's tokens that it reported as cached. Returns `None` if no
/// engine has any.
///
/// # Examples
///
/// ```
/// use cassiareel_relay::kernel::choose_most_cached;
///
/// assert_eq!(choose_most_cached(&[Some(0), None, Some(5000)]), Some(2));
/// assert_eq!(choose_most_cached(&[Some(0), None]), None);
/// ```
pub fn choose_most_cached(cached: &[Option<u64>]) -> Option<usize> {
    let tokens = |engine: &usize| cached[*engine].unwrap_or(0);
    let holders = (0..cached.len()).filter(|engine| tokens(engine) > 0);
    // Reversed, since `max_by_key` returns the last of equal elements: ties go to the preferred
    // one.
    holders.rev().max_by_key(tokens)
}
