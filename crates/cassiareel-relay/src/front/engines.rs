/*!
Chooses an engine for a prompt by querying a few engines first.

A new prompt goes to the engine with the least prefill and generation under way. A caller that
resumes a stream has lost its node or its connection, and its prompt is most likely still in the
memory of the engine that ran it. That engine is searched for first, since another prefill takes a
second of an engine and delays all other requests there.
*/

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cassiareel::{kernel::quota::Purpose, runtime::within};
use futures_util::future::join_all;
use slog::{debug, info, warn};
use smol::Timer;

use super::{
    choose::{CandidateSet, MAX_CONTACT_AGE},
    limit::{is_limited, log_no_permit},
    report::{self, Liveness},
    request::Request,
    reservation::{reserve, Reservation},
};
use crate::{
    backends::Backend,
    clock::{self, Moment},
    holds::{EnginePlace, HoldRank},
    kernel::{
        choose_least_loaded, choose_most_cached, choose_with_room, max_wait, EngineLoad,
        Precedence, PromptDemand, Rivals, RunningRequest, Shortage, EXTRA_PROBED_ENGINES,
        HOLD_POLL_INTERVAL, MAX_HOLD_PART, PROBED_ENGINES, SEARCHED_ENGINES,
    },
    protocol::{MemoryCopy, Report},
    state::State,
};

/// Timeout for an engine's answer to a query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(60);

/// Time after a node's start during which live engines may be missing in the registry.
const REGISTRY_SETTLE_TIME: Duration = Duration::from_millis(1500);

/// Interval between searches for a prompt during that time.
const SEARCH_INTERVAL: Duration = Duration::from_millis(250);

/// Time that has to be left to a request for another search to be made.
const MIN_TIME_TO_SEARCH: Duration = Duration::from_secs(4);

/// Longest idle time of a connection that is used for a query.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// An engine chosen for a send.
#[derive(Debug)]
pub(super) struct ChosenEngine {
    pub member: Arc<Backend>,
    /// Whether the engine has the prompt in its memory.
    pub has_prompt: bool,
    /// The copy of the run's memory from which the stream continues there.
    pub copy: Option<MemoryCopy>,
    /// Whether the engine reported that it has no other requests.
    pub idle: bool,
    /// The name of the reservation that the engine made for the request.
    pub reservation: Option<Arc<str>>,
}

impl ChosenEngine {
    /// Returns an engine whose load is unknown.
    fn without_load(member: Arc<Backend>) -> ChosenEngine {
        ChosenEngine {
            member,
            has_prompt: false,
            copy: None,
            idle: false,
            reservation: None,
        }
    }

    /// Returns the engine that holds a copy of the run's memory.
    pub(super) fn at_copy(member: Arc<Backend>, copy: MemoryCopy) -> ChosenEngine {
        ChosenEngine {
            has_prompt: true,
            copy: Some(copy),
            ..ChosenEngine::without_load(member)
        }
    }

    /// Returns how many tokens of a prompt of `input` tokens the engine has to prefill.
    pub(super) fn unread(&self, input: u64) -> u64 {
        if self.has_prompt {
            0
        } else {
            input
        }
    }

    /// Returns an engine that another stream passed on.
    fn from_place(place: EnginePlace) -> ChosenEngine {
        ChosenEngine {
            idle: place.idle,
            reservation: place.reservation,
            ..ChosenEngine::without_load(place.member)
        }
    }

    /// Returns an engine with the load that it reported, if any.
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
    /// No usable engine is known.
    NoEngine,
    /// No engine that was queried has capacity.
    NoCapacity(Shortage),
}

/// Chooses an engine for a request that was already sent to the engines in `tried`.
///
/// A new stream goes only to an engine with capacity. Otherwise a prompt would be prefilled for a
/// caller that can't be served in time, or a stream that has begun would be interrupted.
pub(super) async fn pick_engine(
    state: &Arc<State>,
    request: &Request,
    tried: &[u64],
    purpose: Purpose,
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
        return least_loaded(state, request, tried, purpose).await;
    }
    wait_for_capacity(state, request).await
}

/// Queries engines for a short while until one has capacity, since slots become free all the time.
async fn wait_for_capacity(
    state: &Arc<State>,
    request: &Request,
) -> Result<ChosenEngine, PickError> {
    let end = request.arrived + request.route.objective.mul_f64(MAX_HOLD_PART);
    if rivals(state, request) != Rivals::default() {
        return wait_in_order(state, request, end).await;
    }
    let mut waiting = None;
    loop {
        let found = find_with_capacity(state, request).await;
        let full = matches!(found, Err(PickError::NoCapacity(_)));
        if !full || clock::now() + HOLD_POLL_INTERVAL > end {
            return found;
        }
        waiting = waiting.or_else(|| state.begin_wait(&request.service));
        Timer::after(HOLD_POLL_INTERVAL).await;
    }
}

/// Queries engines until one has capacity, and passes it to the held stream of the node that goes
/// first.
async fn wait_in_order(
    state: &Arc<State>,
    request: &Request,
    end: Moment,
) -> Result<ChosenEngine, PickError> {
    let rank = (request.priority, request.arrived + request.route.objective);
    let tokens = request.ask.prompt.peak_tokens();
    let mut waiting = None;
    loop {
        let found = find_with_capacity(state, request).await;
        let error = match found {
            Ok(chosen) => match pass_place(state, request, rank, chosen) {
                Some(own) => return Ok(own),
                None => PickError::NoCapacity(Shortage::Place),
            },
            Err(PickError::NoEngine) => return Err(PickError::NoEngine),
            Err(error) => error,
        };
        if clock::now() + HOLD_POLL_INTERVAL > end {
            return Err(error);
        }
        waiting = waiting.or_else(|| state.begin_wait(&request.service));
        let hold = state.holds.hold(&request.service, rank, tokens);
        let passed = within(HOLD_POLL_INTERVAL, hold.place()).await.flatten();
        let Some(place) = passed.or_else(|| hold.take()) else {
            continue;
        };
        if let Some(chosen) = accept_place(state, request, place) {
            return Ok(chosen);
        }
    }
}

/// Passes an engine to a held stream that goes before the request; returns it if there is none.
fn pass_place(
    state: &State,
    request: &Request,
    rank: HoldRank,
    chosen: ChosenEngine,
) -> Option<ChosenEngine> {
    let tokens = request.ask.prompt.peak_tokens();
    let place = EnginePlace {
        member: chosen.member,
        idle: chosen.idle,
        reservation: chosen.reservation,
    };
    let own = state.holds.pass(&request.service, rank, tokens, place);
    if own.is_none() {
        debug!(state.log, "place passed on"; "request" => &*request.ask.id,
            "service" => &*request.service, "priority" => request.priority);
    }
    own.map(ChosenEngine::from_place)
}

/// Accepts an engine that another stream passed on, if the request may use it.
fn accept_place(state: &State, request: &Request, place: EnginePlace) -> Option<ChosenEngine> {
    let is_usable =
        CandidateSet::new(state, request, &[], Purpose::New).allows(place.member.number);
    is_usable.then(|| ChosenEngine::from_place(place))
}

/// Queries a few engines for capacity, and then more of them if the first have none.
async fn find_with_capacity(
    state: &Arc<State>,
    request: &Request,
) -> Result<ChosenEngine, PickError> {
    let mut candidates = CandidateSet::new(state, request, &[], Purpose::New);
    let usual = requirements(state, request);
    let mut want = usual;
    let mut asked = 0;
    let mut silent = None;
    let mut lack = None;
    for batch in [PROBED_ENGINES, EXTRA_PROBED_ENGINES] {
        let engines = candidates.take_preferred(batch);
        let loads = query_loads(state, request, &engines).await;
        asked += engines.len();
        want = apply_precedence(state, request, usual);
        match claim_engine(state, request, &engines, loads, &want).await {
            Ok(chosen) => return Ok(chosen),
            Err(Some(found)) => lack = Some(found),
            Err(None) if silent.is_none() => silent = engines.into_iter().next(),
            Err(None) => {}
        }
    }
    match (lack, silent.or_else(|| candidates.best())) {
        // No load is known at all, so the preferred engine is as good as any other.
        (None, Some(member)) => Ok(ChosenEngine::without_load(member)),
        (None, None) if candidates.is_limited() => {
            log_no_permit(state, request);
            Err(PickError::NoCapacity(Shortage::Limit))
        }
        (None, None) => Err(PickError::NoEngine),
        (Some(lack), _) => {
            info!(state.log, "no engine with capacity"; "request" => &*request.ask.id,
                "service" => &*request.service, "tenant" => request.tenant.as_deref(),
                "asked" => asked, "lack" => lack.name(), "tokens" => want.peak_tokens,
                "patience_ms" => want.max_wait.as_millis() as u64, "reserve" => want.reserved_part,
                "priority" => request.priority, "left_part" => want.left_part,
                "extra_fill" => want.extra_fill);
            Err(PickError::NoCapacity(lack))
        }
    }
}

/// Claims the best of the engines that reported capacity. An engine that is nearly full has to make
/// a reservation.
///
/// # Errors
///
/// Returns what the engines lack, or `None` if no engine answered.
async fn claim_engine(
    state: &Arc<State>,
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

/// Chooses the engine that takes the place of one that is silent. Returns `None` if no other engine
/// answers or no retry is left: the run is then better left where it is, since its engine may go on.
pub(super) async fn pick_successor(
    state: &Arc<State>,
    request: &Request,
    silent: &Backend,
    tried: &[u64],
    purpose: Purpose,
) -> Option<ChosenEngine> {
    if !state.may_retry(&request.service, purpose == Purpose::Ongoing) {
        return None;
    }
    let chosen = pick_engine(state, request, tried, purpose).await.ok()?;
    let member = &chosen.member;
    if member.number == silent.number {
        return None;
    }
    let recent = member.received_within(clock::now(), MAX_CONTACT_AGE);
    if !recent && !is_responding(state, member).await {
        return None;
    }
    // The silent engine may go on at any moment, at best together with others.
    (!is_responding(state, silent).await).then_some(chosen)
}

/// Probes whether an engine responds now.
async fn is_responding(state: &Arc<State>, engine: &Backend) -> bool {
    let liveness = report::read(state, engine).await;
    let responds = matches!(liveness, Liveness::Alive(_) | Liveness::Answered);
    if responds {
        engine.note_received(clock::now());
    }
    responds
}

/// Returns what a request needs of an engine, and how long it may wait there.
fn requirements(state: &State, request: &Request) -> PromptDemand {
    let prompt = &request.ask.prompt;
    let objective = request.route.objective;
    let part = state.settings.load().admission.wait_part;
    let (read, usual) = state.admission.with_load(&request.service, |load| {
        (load.prefill_time(prompt.input), load.mean_prefill_time())
    });
    PromptDemand {
        input: prompt.input,
        peak_tokens: prompt.peak_tokens(),
        reserved_part: request.admitted.reserve,
        prefill_time: usual,
        max_wait: max_wait(objective, request.age(), read, part),
        priority: request.priority,
        ..PromptDemand::default()
    }
}

/// Changes what a request needs by the priorities that compete for the service's engines, as the
/// engines' reports show.
fn apply_precedence(state: &State, request: &Request, demand: PromptDemand) -> PromptDemand {
    let read = state
        .admission
        .with_load(&request.service, |load| load.prefill_time(demand.input));
    let objective = request.route.objective;
    let left = objective.saturating_sub(request.age()).saturating_sub(read);
    let part = state.settings.load().admission.wait_part;
    precedence(state, request).apply(demand, left, part)
}

/// Returns how a request stands to those of other priorities of its service.
fn precedence(state: &State, request: &Request) -> Precedence {
    let rivals = rivals(state, request);
    state.admission.with_load(&request.service, |load| {
        load.priorities
            .precedence(rivals, request.priority, clock::now())
    })
}

/// Returns the other priorities of a request's service by the routes.
fn rivals(state: &State, request: &Request) -> Rivals {
    state.catalog().map_or_else(Rivals::default, |catalog| {
        catalog.rivals(&request.service, request.priority, request.route.objective)
    })
}

/// Chooses the least loaded engine of the first few in the request's order of preference.
async fn least_loaded(
    state: &Arc<State>,
    request: &Request,
    tried: &[u64],
    purpose: Purpose,
) -> Result<ChosenEngine, PickError> {
    let mut candidates = CandidateSet::new(state, request, tried, purpose);
    let mut engines = candidates.take_preferred(PROBED_ENGINES);
    if engines.len() < 2 {
        let member = engines.pop().or_else(|| candidates.best());
        return member
            .ok_or(PickError::NoEngine)
            .map(ChosenEngine::without_load);
    }
    let loads = query_loads(state, request, &engines).await;
    // An engine with capacity is better than one with a lower load alone.
    let chosen = choose_with_room(&loads, &requirements(state, request))
        .ok()
        .or_else(|| choose_least_loaded(&loads))
        .ok_or(PickError::NoEngine)?;
    Ok(ChosenEngine::with_load(
        &engines[chosen],
        loads[chosen].as_ref(),
    ))
}

/// Queries the loads of engines.
async fn query_loads(
    state: &Arc<State>,
    request: &Request,
    engines: &[Arc<Backend>],
) -> Vec<Option<EngineLoad>> {
    let queries = engines.iter().map(|e| query_load(state, request, e));
    let loads = join_all(queries).await;
    let fills = loads.iter().flatten().filter_map(EngineLoad::memory_fill);
    state.admission.with_load(&request.service, |load| {
        fills.for_each(|fill| load.record_fill(fill));
        let now = clock::now();
        let runs = loads.iter().flatten().flat_map(|engine| &engine.runs);
        runs.for_each(|run| load.priorities.record(run.priority, now));
    });
    loads
}

/// Searches for the engine that still has the prompt of a stream that its caller resumes. Repeats
/// the search while the node has just started: registry entries that expired while the store was
/// unreachable come back gradually.
async fn search_prompt_holder(state: &Arc<State>, request: &Request) -> Option<Arc<Backend>> {
    let (part, _) = *request.ask.prompt.parts.last()?;
    loop {
        let found = find_prompt_holder(state, request, part).await;
        if found.is_some()
            || !state.started_within(REGISTRY_SETTLE_TIME)
            || request.left() < MIN_TIME_TO_SEARCH
        {
            return found;
        }
        Timer::after(SEARCH_INTERVAL).await;
    }
}

/// Queries the engines that a resumed stream's prompt prefers for the last part of the prompt.
async fn find_prompt_holder(
    state: &Arc<State>,
    request: &Request,
    part: u64,
) -> Option<Arc<Backend>> {
    let mut candidates = CandidateSet::new(state, request, &[], Purpose::Ongoing);
    let mut engines = candidates.take_most_preferred(SEARCHED_ENGINES);
    let queries = engines.iter().map(|e| query_prompt_tokens(state, part, e));
    let kept = join_all(queries).await;
    let chosen = choose_most_cached(&kept);
    info!(state.log, "prompt searched"; "request" => &*request.ask.id, "asked" => engines.len(),
        "told" => kept.iter().flatten().count(),
        "backend" => chosen.map(|chosen| engines[chosen].entry.id.to_string()),
        "tokens" => chosen.and_then(|chosen| kept[chosen]));
    Some(engines.swap_remove(chosen?))
}

/// Queries the load of one engine, and adds what this node has just sent there. An engine that
/// limits its requests is not queried: its load is taken to be this node's own.
async fn query_load(state: &Arc<State>, request: &Request, engine: &Backend) -> Option<EngineLoad> {
    if is_limited(state, engine) {
        return Some(own_load(state, request, engine));
    }
    let body = query(state, engine, state.protocol.report_path()).await?;
    let report = state.protocol.read_report(&body, &request.ask.id);
    let unreadable = report.as_ref().map_or(1, |report| report.unreadable);
    note_unreadable(state, engine, "report", unreadable);
    let report = report?;
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

/// Returns the load of an engine by this node's own requests.
fn own_load(state: &State, request: &Request, engine: &Backend) -> EngineLoad {
    let own = engine.candidate(clock::now(), true);
    let prefilling = own.unread_tokens / request.ask.prompt.input.max(1);
    let shape = state.engine_shape(&request.service);
    EngineLoad {
        prefilling,
        generating: u64::from(own.open_requests).saturating_sub(prefilling),
        runs: Vec::new(),
        slots: u64::from(engine.entry.slots),
        used: own.peak_tokens,
        capacity: shape.map_or(0, |shape| shape.capacity),
    }
}

/// Returns the requests for which an engine generates, from its report.
fn running_requests(state: &State, request: &Request, report: &Report) -> Vec<RunningRequest> {
    let paces = state.speeds();
    let run = |(tokens, events, priority): &(u64, u64, u64)| RunningRequest {
        tokens: *tokens,
        generated: paces.tokens(&request.service, *events),
        priority: u8::try_from(*priority).unwrap_or(u8::MAX),
    };
    report.per_request.iter().map(run).collect()
}

/// Queries how many tokens of a prompt's part an engine has in its memory.
async fn query_prompt_tokens(state: &Arc<State>, part: u64, engine: &Backend) -> Option<u64> {
    if is_limited(state, engine) {
        return None;
    }
    let body = query(state, engine, state.protocol.memory_events_path()).await?;
    let reading = state.protocol.read_memory(&body, part);
    note_unreadable(state, engine, "memory", reading.unreadable);
    Some(reading.tokens.unwrap_or(0))
}

/// Logs and counts values in an engine's answer that could not be read.
fn note_unreadable(state: &State, engine: &Backend, call: &str, values: usize) {
    if values > 0 {
        state.metrics.count_unreadable(call, values);
        warn!(state.log, "values unreadable"; "backend" => &*engine.entry.id, "call" => call,
            "count" => values);
    }
}

/// Reads a path from one engine.
async fn query(state: &Arc<State>, engine: &Backend, path: &str) -> Option<Bytes> {
    match report::read_path(state, engine, path, QUERY_TIMEOUT, MAX_IDLE).await {
        Liveness::Alive(body) => Some(body),
        Liveness::Replaced
        | Liveness::Refused
        | Liveness::Answered
        | Liveness::Unreachable
        | Liveness::Silent
        | Liveness::Unknown => None,
    }
}
