/*!
Which of a few engines gets a prompt, after each told its load just now.

On a large fleet a node sees too little of an engine's load on its own answers. Asking a few engines
before each prompt answers the load at which prompts meet by chance: with a quarter of the engines
reading a prompt, one in four would wait for another's, and of those that choose among three, one in
sixty. The engines are asked in the prompt's own order of preference, which decides between equals.

What they tell also shows whether any has room. It answers the load past capacity: a prompt that is
sent to an engine without room waits longer than its caller, or makes the engine drop what it has
read of others when its memory runs out, so that the more is asked for the less is served.
*/

use std::time::Duration;

/// Engines that are asked for their loads before a prompt is sent.
pub const PROBED_ENGINES: usize = 3;

/// Engines that are asked beyond these where none of them has room.
pub const EXTRA_PROBED_ENGINES: usize = 5;

/// The part of its objective for which a stream may be held until there is room.
pub const MAX_HOLD_PART: f64 = 0.11;

/// The time between looks for room meanwhile.
pub const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(160);

/// Time that a prompt that is being read adds, in milliseconds.
const READING: f64 = 1000.0;

/// Time that a running generation adds, in milliseconds.
const GENERATING: f64 = 40.0;

/// What each place in the prompt's order of preference costs, in milliseconds.
const PLACE: f64 = 120.0;

/// What an engine costs that told nothing, in milliseconds.
const SILENT: f64 = 1500.0;

/// The part of an engine's memory that may be filled. What requests will need is an estimate.
const FILL: f64 = 0.85;

/// The part of an engine's room beyond which others may take what is left at the same time.
const TIGHT: f64 = 0.55;

/// A request for which an engine generates.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RunningRequest {
    /// Its tokens in memory.
    pub tokens: u64,
    /// Those of them that were generated.
    pub generated: u64,
}

/// The load that an engine told.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineLoad {
    /// Requests whose prompts are being read or wait for it.
    pub prefilling: u64,
    /// Requests for which it generates.
    pub generating: u64,
    /// Those of them that it tells of one by one.
    pub runs: Vec<RunningRequest>,
    /// Requests that it runs at once; zero where it is not known.
    pub slots: u64,
    /// Memory in use that can't yield, in tokens.
    pub used: u64,
    /// All of its memory, in tokens; zero where it does not tell.
    pub capacity: u64,
}

/// What a prompt needs of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PromptDemand {
    /// Prompt tokens.
    pub input: u64,
    /// Memory at its end, in tokens.
    pub peak_tokens: u64,
    /// The part of an engine's room that has to be left free.
    pub reserved_part: f64,
    /// The time in which an engine reads a prompt of usual size.
    pub prefill_time: Duration,
    /// How long the prompt may wait for those that came before.
    pub max_wait: Duration,
}

/// What an engine lacks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shortage {
    /// A place among the requests that it runs at once.
    Place,
    /// Memory for the request at its end.
    Memory,
    /// Time: too many prompts are to be read before.
    Time,
}

impl Shortage {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Shortage::Place => "place",
            Shortage::Memory => "memory",
            Shortage::Time => "time",
        }
    }
}

impl EngineLoad {
    /// What the engine lacks for a prompt; `None` where it has room. An idle engine has room for any.
    pub fn shortage(&self, want: &PromptDemand) -> Option<Shortage> {
        let held = self.prefilling + self.generating;
        if held == 0 {
            return None;
        }
        let open = 1.0 - want.reserved_part;
        if self.slots > 0 && (held + 1) as f64 > (self.slots as f64 * open).max(1.0) {
            return Some(Shortage::Place);
        }
        let memory = self.capacity as f64 * FILL * open;
        if self.capacity > 0 && self.peak_tokens(want) > memory {
            return Some(Shortage::Memory);
        }
        let wait = want.prefill_time.mul_f64(self.prefilling as f64);
        (wait > want.max_wait.mul_f64(open)).then_some(Shortage::Time)
    }

    /// Reports whether so much of its room is taken that others may take what is left meanwhile.
    pub fn is_tight(&self, want: &PromptDemand) -> bool {
        let held = self.prefilling + self.generating;
        let places = self.slots > 0 && (held + 1) as f64 > self.slots as f64 * TIGHT;
        let memory = self.capacity > 0 && self.peak_tokens(want) > self.capacity as f64 * TIGHT;
        held > 0 && (places || memory)
    }

    /// The most memory that its requests and the one that comes will need at any time, in tokens.
    ///
    /// Each is taken to generate as much as the one that comes, and all at the same pace. Whenever
    /// one ends, its memory is free for the growth of the others; so the most is needed right before
    /// one of the ends.
    fn peak_tokens(&self, want: &PromptDemand) -> f64 {
        let output = want.peak_tokens.saturating_sub(want.input);
        let unread = RunningRequest {
            tokens: want.input,
            generated: 0,
        };
        let coming = std::iter::repeat_n(unread, self.prefilling as usize + 1);
        let mut runs: Vec<RunningRequest> = self.runs.iter().copied().chain(coming).collect();
        runs.sort_by_key(|run| std::cmp::Reverse(run.generated));
        let mut held = self.used + (self.prefilling + 1) * want.input;
        let mut peak = held;
        for (ended, run) in runs.iter().enumerate() {
            let growth = output.saturating_sub(run.generated);
            let growing = (runs.len() - ended) as u64;
            peak = peak.max(held + growth * growing);
            held = held.saturating_sub(run.tokens);
        }
        peak as f64
    }

    /// The memory that has to be free for the prompt that comes and for the growth of all that runs,
    /// in tokens. Where others have taken some of it since the engine told, it is not.
    pub fn tokens_to_reserve(&self, want: &PromptDemand) -> u64 {
        (self.peak_tokens(want) as u64).saturating_sub(self.used)
    }

    /// The part of its memory that is in use; `None` where it does not tell.
    pub fn memory_fill(&self) -> Option<f64> {
        (self.capacity > 0).then(|| self.used as f64 / self.capacity as f64)
    }

    /// The time that its load costs a prompt, in milliseconds.
    fn cost(&self) -> f64 {
        self.prefilling as f64 * READING + self.generating as f64 * GENERATING
    }
}

/// Chooses among engines in their order of preference; `None` stands for one that told nothing.
///
/// # Examples
///
/// ```
/// use cassiareel_relay::kernel::{choose_least_loaded, EngineLoad};
///
/// let idle = EngineLoad::default();
/// let reading = EngineLoad { prefilling: 1, ..EngineLoad::default() };
/// assert_eq!(choose_least_loaded(&[Some(reading), None, Some(idle)]), Some(2));
/// ```
pub fn choose_least_loaded(engines: &[Option<EngineLoad>]) -> Option<usize> {
    least_cost(engines, |_| true)
}

/// Chooses among the engines that told of room for a prompt.
///
/// # Errors
///
/// Fails where none has room, with what the preferred one of them lacks; with `None` where none told
/// anything.
pub fn choose_with_room(
    engines: &[Option<EngineLoad>],
    want: &PromptDemand,
) -> Result<usize, Option<Shortage>> {
    let has_room = |engine: usize| {
        engines[engine]
            .as_ref()
            .is_some_and(|told| told.shortage(want).is_none())
    };
    let lack = || {
        engines
            .iter()
            .flatten()
            .find_map(|told| told.shortage(want))
    };
    least_cost(engines, has_room).ok_or_else(lack)
}

fn least_cost<F>(engines: &[Option<EngineLoad>], may: F) -> Option<usize>
where
    F: Fn(usize) -> bool,
{
    let cost = |place: usize| {
        let load = engines[place].as_ref().map_or(SILENT, EngineLoad::cost);
        load + place as f64 * PLACE
    };
    (0..engines.len())
        .filter(|engine| may(*engine))
        .min_by(|a, b| cost(*a).total_cmp(&cost(*b)))
}

/// Chooses the engine that keeps most of a prompt, of those that told how many of its tokens they
/// keep; `None` where none keeps any.
///
/// # Examples
///
/// ```
/// use cassiareel_relay::kernel::choose_most_cached;
///
/// assert_eq!(choose_most_cached(&[Some(0), None, Some(5000)]), Some(2));
/// assert_eq!(choose_most_cached(&[Some(0), None]), None);
/// ```
pub fn choose_most_cached(kept: &[Option<u64>]) -> Option<usize> {
    let tokens = |engine: &usize| kept[*engine].unwrap_or(0);
    let holders = (0..kept.len()).filter(|engine| tokens(engine) > 0);
    // Of equals, the one that is preferred.
    holders.rev().max_by_key(tokens)
}
