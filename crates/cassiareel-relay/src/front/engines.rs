/*!
Chooses an engine for a prompt, after a few engines were asked.

A new prompt goes where least is read and generated. A caller that resumes a stream has lost its node
or its connection, and its prompt is most likely still in the memory of the engine that ran it: that
one is looked for first, since reading a prompt anew takes a second of an engine and delays all
others there.
*/

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::future::join_all;
use slog::info;
use smol::Timer;

use super::{
    choose::CandidateSet,
    report::{self, Liveness},
    request::Request,
    reservation::{reserve, Reservation},
};
use crate::{
    backends::Backend,
    clock,
    kernel::{
        choose_least_loaded, choose_most_cached, choose_with_room, max_wait, EngineLoad,
        PromptDemand, RunningRequest, Shortage, EXTRA_PROBED_ENGINES, HOLD_POLL_INTERVAL,
        MAX_HOLD_PART, PROBED_ENGINES,
    },
    protocol::{MemoryCopy, Report},
    state::State,
};

/// Engines that are asked whether they hold the prompt of a stream that is resumed.
const MAX_SEARCHED: usize = 8;

/// How long asked engines may take to tell.
const QUERY_TIMEOUT: Duration = Duration::from_millis(60);

/// How long after a node's start the registry may lack engines that live.
const REGISTRY_SETTLE_TIME: Duration = Duration::from_millis(1500);

/// The time between searches meanwhile.
const SEARCH_INTERVAL: Duration = Duration::from_millis(250);

/// What must be left of a request's time for a search to go on.
const MIN_TIME_TO_SEARCH: Duration = Duration::from_secs(4);

/// How long a connection may have been idle over which they are asked.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// An engine that was chosen.
#[derive(Debug)]
pub(super) struct ChosenEngine {
    /// The engine.
    pub member: Arc<Backend>,
    /// Whether it holds the prompt.
    pub has_prompt: bool,
    /// The copy of the run's memory from which the stream goes on there.
    pub copy: Option<MemoryCopy>,
    /// Whether it told that it has nothing else to do.
    pub idle: bool,
    /// What it has set aside for the request.
    pub reservation: Option<Arc<str>>,
}

impl ChosenEngine {
    /// An engine of whose load nothing is known.
    fn without_load(member: Arc<Backend>) -> ChosenEngine {
        ChosenEngine {
            member,
            has_prompt: false,
            copy: None,
            idle: false,
            reservation: None,
        }
    }

    /// The engine that holds a copy of the run's memory.
    pub(super) fn at_copy(member: Arc<Backend>, copy: MemoryCopy) -> ChosenEngine {
        ChosenEngine {
            has_prompt: true,
            copy: Some(copy),
            ..ChosenEngine::without_load(member)
        }
    }

    /// Tokens of a prompt of `input` that the engine has to read.
    pub(super) fn unread(&self, input: u64) -> u64 {
        if self.has_prompt {
            0
        } else {
            input
        }
    }

    /// An engine that told its load.
    fn with_load(member: &Arc<Backend>, reported: Option<&EngineLoad>) -> ChosenEngine {
        ChosenEngine {
            idle: reported.is_some_and(|load| load.prefilling + load.generating == 0),
            ..ChosenEngine::without_load(member.clone())
        }
    }
}

/// Why no engine was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PickError {
    /// None is known that may be used.
    NoEngine,
    /// None of those that were asked has room.
    NoCapacity(Shortage),
}

/// Chooses an engine for a request that was sent to `tried` before.
///
/// A stream that has not begun goes only where there is room, so that nothing is read for a caller
/// that can't be served, and none that has begun is broken off.
pub(super) async fn pick_engine(
    state: &State,
    request: &Request,
    tried: &[u64],
) -> Result<ChosenEngine, PickError> {
    if request.ask.last_event.is_some() && tried.is_empty() {
        if let Some(member) = search_prompt_holder(state, request).await {
            return Ok(ChosenEngine {
                has_prompt: true,
                ..ChosenEngine::without_load(member)
            });
        }
    }
    if request.ask.last_event.is_some() || !tried.is_empty() {
        return least_loaded(state, request, tried).await;
    }
    wait_for_capacity(state, request).await
}

/// Asks engines until one has room, for a short while: places come free all the time.
async fn wait_for_capacity(state: &State, request: &Request) -> Result<ChosenEngine, PickError> {
    let end = request.arrived + request.route.objective.mul_f64(MAX_HOLD_PART);
    loop {
        let found = find_with_capacity(state, request).await;
        let full = matches!(found, Err(PickError::NoCapacity(_)));
        if !full || clock::now() + HOLD_POLL_INTERVAL > end {
            return found;
        }
        Timer::after(HOLD_POLL_INTERVAL).await;
    }
}

/// Asks a few engines for room, and more of them where those have none.
async fn find_with_capacity(state: &State, request: &Request) -> Result<ChosenEngine, PickError> {
    let mut choice = CandidateSet::new(state, request, &[]);
    let want = requirements(state, request);
    let mut asked = 0;
    let mut silent = None;
    let mut lack = None;
    for batch in [PROBED_ENGINES, EXTRA_PROBED_ENGINES] {
        let engines = choice.take_preferred(batch);
        let loads = query_loads(state, request, &engines).await;
        asked += engines.len();
        match claim_engine(state, request, &engines, loads, &want).await {
            Ok(chosen) => return Ok(chosen),
            Err(Some(found)) => lack = Some(found),
            Err(None) if silent.is_none() => silent = engines.into_iter().next(),
            Err(None) => {}
        }
    }
    match (lack, silent.or_else(|| choice.best())) {
        // Nothing is known of any load: the preferred engine is as good as another.
        (None, Some(member)) => Ok(ChosenEngine::without_load(member)),
        (None, None) => Err(PickError::NoEngine),
        (Some(lack), _) => {
            info!(state.log, "no engine with capacity"; "request" => &*request.ask.id,
                "service" => &*request.service, "tenant" => request.tenant.as_deref(),
                "asked" => asked, "lack" => lack.name(), "tokens" => want.peak_tokens,
                "patience_ms" => want.max_wait.as_millis() as u64, "reserve" => want.reserved_part);
            Err(PickError::NoCapacity(lack))
        }
    }
}

/// Takes the best of the engines that told of room. One that is nearly full has to set it aside.
///
/// # Errors
///
/// Fails with what is missing; with `None` where no engine told anything.
async fn claim_engine(
    state: &State,
    request: &Request,
    engines: &[Arc<Backend>],
    mut loads: Vec<Option<EngineLoad>>,
    want: &PromptDemand,
) -> Result<ChosenEngine, Option<Shortage>> {
    let mut lack = None;
    loop {
        let chosen = choose_with_room(&loads, want).map_err(|found| lack.or(found))?;
        let load = loads[chosen].as_ref();
        let mut found = ChosenEngine::with_load(&engines[chosen], load);
        let Some(load) = load.filter(|load| load.is_tight(want)) else {
            return Ok(found);
        };
        let tokens = load.tokens_to_reserve(want).min(want.peak_tokens);
        match reserve(state, request, &engines[chosen], tokens).await {
            Reservation::Made(name) => {
                found.reservation = Some(name);
                return Ok(found);
            }
            Reservation::Unsupported => return Ok(found),
            Reservation::Full => {
                loads[chosen] = None;
                lack = Some(Shortage::Place);
            }
        }
    }
}

/// What a request needs of an engine, and how long it may wait there.
fn requirements(state: &State, request: &Request) -> PromptDemand {
    let prompt = &request.ask.prompt;
    let objective = request.route.objective;
    let part = state.settings.load().admission.wait_part;
    let (read, usual) = state.admission.with(&request.service, |load| {
        (load.prefill_time(prompt.input), load.mean_prefill_time())
    });
    PromptDemand {
        input: prompt.input,
        peak_tokens: prompt.peak_tokens(),
        reserved_part: request.admitted.reserve,
        prefill_time: usual,
        max_wait: max_wait(objective, request.age(), read, part),
    }
}

/// The engine with the least to do, of the first few in the request's order of preference.
async fn least_loaded(
    state: &State,
    request: &Request,
    tried: &[u64],
) -> Result<ChosenEngine, PickError> {
    let mut choice = CandidateSet::new(state, request, tried);
    let mut engines = choice.take_preferred(PROBED_ENGINES);
    if engines.len() < 2 {
        let member = engines.pop().or_else(|| choice.best());
        return member
            .ok_or(PickError::NoEngine)
            .map(ChosenEngine::without_load);
    }
    let loads = query_loads(state, request, &engines).await;
    // An engine with room is better than one that is cheaper for its load alone.
    let chosen = choose_with_room(&loads, &requirements(state, request))
        .ok()
        .or_else(|| choose_least_loaded(&loads))
        .ok_or(PickError::NoEngine)?;
    Ok(ChosenEngine::with_load(
        &engines[chosen],
        loads[chosen].as_ref(),
    ))
}

/// Asks engines for their loads.
async fn query_loads(
    state: &State,
    request: &Request,
    engines: &[Arc<Backend>],
) -> Vec<Option<EngineLoad>> {
    let queries = engines.iter().map(|e| query_load(state, request, e));
    let loads = join_all(queries).await;
    let fills = loads.iter().flatten().filter_map(EngineLoad::memory_fill);
    state.admission.with(&request.service, |load| {
        fills.for_each(|fill| load.record_fill(fill));
    });
    loads
}

/// Looks for the engine that still holds the prompt of a stream that its caller resumes, again while
/// the node has just started: entries that lapsed while the store was away come back by and by.
async fn search_prompt_holder(state: &State, request: &Request) -> Option<Arc<Backend>> {
    let (part, _) = *request.ask.prompt.parts.last()?;
    loop {
        let found = find_prompt_holder(state, request, part).await;
        if found.is_some()
            || !state.is_young(REGISTRY_SETTLE_TIME)
            || request.left() < MIN_TIME_TO_SEARCH
        {
            return found;
        }
        Timer::after(SEARCH_INTERVAL).await;
    }
}

/// Asks the engines that a resumed stream's prompt prefers whether they hold its last part.
async fn find_prompt_holder(state: &State, request: &Request, part: u64) -> Option<Arc<Backend>> {
    let mut engines = CandidateSet::new(state, request, &[]).take_preferred(MAX_SEARCHED);
    let queries = engines.iter().map(|e| query_prompt_tokens(state, part, e));
    let kept = join_all(queries).await;
    let chosen = choose_most_cached(&kept);
    info!(state.log, "prompt searched"; "request" => &*request.ask.id, "asked" => engines.len(),
        "told" => kept.iter().flatten().count(),
        "backend" => chosen.map(|chosen| engines[chosen].entry.id.to_string()),
        "tokens" => chosen.and_then(|chosen| kept[chosen]));
    Some(engines.swap_remove(chosen?))
}

/// Asks one engine for its load, and adds what this node has just sent there.
async fn query_load(state: &State, request: &Request, engine: &Backend) -> Option<EngineLoad> {
    let body = query(state, engine, state.protocol.report_path()).await?;
    let report = state.protocol.read_report(&body, &request.ask.id)?;
    let own = engine.candidate(clock::now(), true).unread_tokens / request.ask.prompt.input.max(1);
    Some(EngineLoad {
        prefilling: report
            .open_requests
            .saturating_sub(report.generating)
            .max(own),
        generating: report.generating,
        runs: running_requests(state, request, &report),
        slots: u64::from(engine.entry.slots),
        used: report.used_tokens,
        capacity: report.capacity_tokens,
    })
}

/// The requests for which an engine generates, as its report tells them.
fn running_requests(state: &State, request: &Request, report: &Report) -> Vec<RunningRequest> {
    let paces = state.speeds();
    let run = |(tokens, events): &(u64, u64)| RunningRequest {
        tokens: *tokens,
        generated: paces.tokens(&request.service, *events),
    };
    report.per_request.iter().map(run).collect()
}

/// Asks one engine how many tokens of a prompt's part it keeps.
async fn query_prompt_tokens(state: &State, part: u64, engine: &Backend) -> Option<u64> {
    let body = query(state, engine, state.protocol.memory_events_path()).await?;
    Some(state.protocol.read_memory(&body, part).unwrap_or(0))
}

/// Asks one engine for what stands at a path.
async fn query(state: &State, engine: &Backend, path: &str) -> Option<Bytes> {
    match report::read_path(state, engine, path, QUERY_TIMEOUT, MAX_IDLE).await {
        Liveness::Alive(body) => Some(body),
        Liveness::Gone | Liveness::Silent => None,
    }
}
