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
    choose::Choice,
    report::{self, Life},
    request::Request,
    reservation::{reserve, Reservation},
};
use crate::{
    backends::Backend,
    clock,
    kernel::{
        choose_holder, choose_reported, choose_with_room, patience, Lack, Reported, Running, Want,
        ASKED, ASKED_MORE, HOLD_LOOK, HOLD_PART,
    },
    protocol::{MemoryCopy, Report},
    state::State,
};

/// Engines that are asked whether they hold the prompt of a stream that is resumed.
const SEARCHED: usize = 8;

/// How long asked engines may take to tell.
const ASKING: Duration = Duration::from_millis(60);

/// How long after a node's start the registry may lack engines that live.
const SETTLING: Duration = Duration::from_millis(1500);

/// The time between searches meanwhile.
const AGAIN: Duration = Duration::from_millis(250);

/// What must be left of a request's time for a search to go on.
const SEARCHING: Duration = Duration::from_secs(4);

/// How long a connection may have been idle over which they are asked.
const KEPT: Duration = Duration::from_secs(4);

/// An engine that was chosen.
#[derive(Debug)]
pub(super) struct Chosen {
    /// The engine.
    pub member: Arc<Backend>,
    /// Whether it holds the prompt.
    pub holds: bool,
    /// The copy of the run's memory from which the stream goes on there.
    pub copy: Option<MemoryCopy>,
    /// Whether it told that it has nothing else to do.
    pub alone: bool,
    /// What it has set aside for the request.
    pub reservation: Option<Arc<str>>,
}

impl Chosen {
    /// An engine of whose load nothing is known.
    fn of(member: Arc<Backend>) -> Chosen {
        Chosen {
            member,
            holds: false,
            copy: None,
            alone: false,
            reservation: None,
        }
    }

    /// The engine that holds a copy of the run's memory.
    pub(super) fn at_copy(member: Arc<Backend>, copy: MemoryCopy) -> Chosen {
        Chosen {
            holds: true,
            copy: Some(copy),
            ..Chosen::of(member)
        }
    }

    /// Tokens of a prompt of `input` that the engine has to read.
    pub(super) fn unread(&self, input: u64) -> u64 {
        if self.holds {
            0
        } else {
            input
        }
    }

    /// An engine that told its load.
    fn told(member: &Arc<Backend>, told: Option<&Reported>) -> Chosen {
        Chosen {
            alone: told.is_some_and(|told| told.reading + told.generating == 0),
            ..Chosen::of(member.clone())
        }
    }
}

/// Why no engine was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Missing {
    /// None is known that may be used.
    Engine,
    /// None of those that were asked has room.
    Room(Lack),
}

/// Chooses an engine for a request that was sent to `tried` before.
///
/// A stream that has not begun goes only where there is room, so that nothing is read for a caller
/// that can't be served, and none that has begun is broken off.
pub(super) async fn pick_engine(
    state: &State,
    request: &Request,
    tried: &[u64],
) -> Result<Chosen, Missing> {
    if request.ask.last_event.is_some() && tried.is_empty() {
        if let Some(member) = search_holder(state, request).await {
            return Ok(Chosen {
                holds: true,
                ..Chosen::of(member)
            });
        }
    }
    if request.ask.last_event.is_some() || !tried.is_empty() {
        return least_loaded(state, request, tried).await;
    }
    wait_for_room(state, request).await
}

/// Asks engines until one has room, for a short while: places come free all the time.
async fn wait_for_room(state: &State, request: &Request) -> Result<Chosen, Missing> {
    let end = request.arrived + request.route.objective.mul_f64(HOLD_PART);
    loop {
        let found = find_room(state, request).await;
        let full = matches!(found, Err(Missing::Room(_)));
        if !full || clock::now() + HOLD_LOOK > end {
            return found;
        }
        Timer::after(HOLD_LOOK).await;
    }
}

/// Asks a few engines for room, and more of them where those have none.
async fn find_room(state: &State, request: &Request) -> Result<Chosen, Missing> {
    let mut choice = Choice::new(state, request, &[]);
    let want = want(state, request);
    let mut asked = 0;
    let mut silent = None;
    let mut lack = None;
    for most in [ASKED, ASKED_MORE] {
        let engines = choice.preferred(most);
        let told = ask_loads(state, request, &engines).await;
        asked += engines.len();
        match take_room(state, request, &engines, told, &want).await {
            Ok(chosen) => return Ok(chosen),
            Err(Some(found)) => lack = Some(found),
            Err(None) if silent.is_none() => silent = engines.into_iter().next(),
            Err(None) => {}
        }
    }
    match (lack, silent.or_else(|| choice.best())) {
        // Nothing is known of any load: the preferred engine is as good as another.
        (None, Some(member)) => Ok(Chosen::of(member)),
        (None, None) => Err(Missing::Engine),
        (Some(lack), _) => {
            info!(state.log, "no room"; "request" => &*request.ask.id,
                "service" => &*request.service, "tenant" => request.tenant.as_deref(),
                "asked" => asked, "lack" => lack.name(), "tokens" => want.tokens,
                "patience_ms" => want.patience.as_millis() as u64, "reserve" => want.reserve);
            Err(Missing::Room(lack))
        }
    }
}

/// Takes the best of the engines that told of room. One that is nearly full has to set it aside.
///
/// # Errors
///
/// Fails with what is missing; with `None` where no engine told anything.
async fn take_room(
    state: &State,
    request: &Request,
    engines: &[Arc<Backend>],
    mut told: Vec<Option<Reported>>,
    want: &Want,
) -> Result<Chosen, Option<Lack>> {
    let mut lack = None;
    loop {
        let chosen = choose_with_room(&told, want).map_err(|found| lack.or(found))?;
        let load = told[chosen].as_ref();
        let mut found = Chosen::told(&engines[chosen], load);
        let Some(load) = load.filter(|load| load.is_tight(want)) else {
            return Ok(found);
        };
        let tokens = load.extra(want).min(want.tokens);
        match reserve(state, request, &engines[chosen], tokens).await {
            Reservation::Made(name) => {
                found.reservation = Some(name);
                return Ok(found);
            }
            Reservation::Unknown => return Ok(found),
            Reservation::Full => {
                told[chosen] = None;
                lack = Some(Lack::Place);
            }
        }
    }
}

/// What a request needs of an engine, and how long it may wait there.
fn want(state: &State, request: &Request) -> Want {
    let prompt = &request.ask.prompt;
    let objective = request.route.objective;
    let part = state.settings.load().admission.wait_part;
    let (read, usual) = state.admission.with_load(&request.service, |load| {
        (load.read_time(prompt.input), load.usual_read())
    });
    Want {
        input: prompt.input,
        tokens: prompt.footprint(),
        reserve: request.admitted.reserve,
        read: usual,
        patience: patience(objective, request.age(), read, part),
    }
}

/// The engine with the least to do, of the first few in the request's order of preference.
async fn least_loaded(state: &State, request: &Request, tried: &[u64]) -> Result<Chosen, Missing> {
    let mut choice = Choice::new(state, request, tried);
    let mut engines = choice.preferred(ASKED);
    if engines.len() < 2 {
        let member = engines.pop().or_else(|| choice.best());
        return member.ok_or(Missing::Engine).map(Chosen::of);
    }
    let told = ask_loads(state, request, &engines).await;
    // An engine with room is better than one that is cheaper for its load alone.
    let chosen = choose_with_room(&told, &want(state, request))
        .ok()
        .or_else(|| choose_reported(&told))
        .ok_or(Missing::Engine)?;
    Ok(Chosen::told(&engines[chosen], told[chosen].as_ref()))
}

/// Asks engines for their loads.
async fn ask_loads(
    state: &State,
    request: &Request,
    engines: &[Arc<Backend>],
) -> Vec<Option<Reported>> {
    let asking = engines.iter().map(|e| ask_load(state, request, e));
    let told = join_all(asking).await;
    let fills = told.iter().flatten().filter_map(Reported::fill);
    state.admission.with_load(&request.service, |load| {
        fills.for_each(|fill| load.note_fill(fill));
    });
    told
}

/// Looks for the engine that still holds the prompt of a stream that its caller resumes, again while
/// the node has just started: entries that lapsed while the store was away come back by and by.
async fn search_holder(state: &State, request: &Request) -> Option<Arc<Backend>> {
    let (part, _) = *request.ask.prompt.parts.last()?;
    loop {
        let found = find_holder(state, request, part).await;
        if found.is_some() || !state.started_within(SETTLING) || request.left() < SEARCHING {
            return found;
        }
        Timer::after(AGAIN).await;
    }
}

/// Asks the engines that a resumed stream's prompt prefers whether they hold its last part.
async fn find_holder(state: &State, request: &Request, part: u64) -> Option<Arc<Backend>> {
    let mut engines = Choice::new(state, request, &[]).preferred(SEARCHED);
    let asking = engines.iter().map(|e| ask_memory(state, part, e));
    let held = join_all(asking).await;
    let chosen = choose_holder(&held);
    info!(state.log, "prompt searched"; "request" => &*request.ask.id, "asked" => engines.len(),
        "told" => held.iter().flatten().count(),
        "backend" => chosen.map(|chosen| engines[chosen].entry.id.to_string()),
        "tokens" => chosen.and_then(|chosen| held[chosen]));
    Some(engines.swap_remove(chosen?))
}

/// Asks one engine for its load, and adds what this node has just sent there.
async fn ask_load(state: &State, request: &Request, engine: &Backend) -> Option<Reported> {
    let body = ask(state, engine, state.protocol.report_path()).await?;
    let report = state.protocol.read_report(&body, &request.ask.id)?;
    let own = engine.candidate(clock::now(), true).unread / request.ask.prompt.input.max(1);
    Some(Reported {
        reading: report
            .open_requests
            .saturating_sub(report.generating)
            .max(own),
        generating: report.generating,
        runs: runs(state, request, &report),
        slots: u64::from(engine.entry.slots),
        used: report.used_tokens,
        capacity: report.capacity_tokens,
    })
}

/// The requests for which an engine generates, as its report tells them.
fn runs(state: &State, request: &Request, report: &Report) -> Vec<Running> {
    let paces = state.speeds();
    let run = |(tokens, events): &(u64, u64)| Running {
        tokens: *tokens,
        made: paces.tokens(&request.service, *events),
    };
    report.per_request.iter().map(run).collect()
}

/// Asks one engine how many tokens of a prompt's part it keeps.
async fn ask_memory(state: &State, part: u64, engine: &Backend) -> Option<u64> {
    let body = ask(state, engine, state.protocol.memory_events_path()).await?;
    Some(state.protocol.read_memory(&body, part).unwrap_or(0))
}

/// Asks one engine for what stands at a path.
async fn ask(state: &State, engine: &Backend, path: &str) -> Option<Bytes> {
    match report::read_within(state, engine, path, ASKING, KEPT).await {
        Life::Lives(body) => Some(body),
        Life::Ended | Life::Silent => None,
    }
}
