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
};
use crate::{
    clock,
    fleet::Member,
    kernel::{choose_holder, choose_reported, Reported},
    state::State,
};

/// Engines that are asked for their loads before a prompt is sent.
const ASKED: usize = 3;

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
    pub member: Arc<Member>,
    /// Whether it holds the prompt.
    pub holds: bool,
}

/// Chooses an engine for a request that was sent to `tried` before.
pub(super) async fn pick_engine(state: &State, request: &Request, tried: &[u64]) -> Option<Chosen> {
    if request.ask.last_event.is_some() && tried.is_empty() {
        if let Some(member) = search_holder(state, request).await {
            return Some(Chosen {
                member,
                holds: true,
            });
        }
    }
    let member = least_loaded(state, request, tried).await?;
    Some(Chosen {
        member,
        holds: false,
    })
}

/// The engine with the least to do, of the first few in the request's order of preference.
async fn least_loaded(state: &State, request: &Request, tried: &[u64]) -> Option<Arc<Member>> {
    let mut choice = Choice::new(state, request, tried);
    let mut engines = choice.preferred(ASKED);
    if engines.len() < 2 {
        return engines.pop().or_else(|| choice.best());
    }
    let asking = engines.iter().map(|e| ask_load(state, request, e));
    let told = join_all(asking).await;
    let chosen = choose_reported(&told)?;
    Some(engines.swap_remove(chosen))
}

/// Looks for the engine that still holds the prompt of a stream that its caller resumes, again while
/// the node has just started: entries that lapsed while the store was away come back by and by.
async fn search_holder(state: &State, request: &Request) -> Option<Arc<Member>> {
    let (part, _) = *request.ask.prompt.parts.last()?;
    loop {
        let found = find_holder(state, request, part).await;
        if found.is_some() || !state.is_young(SETTLING) || request.left() < SEARCHING {
            return found;
        }
        Timer::after(AGAIN).await;
    }
}

/// Asks the engines that a resumed stream's prompt prefers whether they hold its last part.
async fn find_holder(state: &State, request: &Request, part: u64) -> Option<Arc<Member>> {
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
async fn ask_load(state: &State, request: &Request, engine: &Member) -> Option<Reported> {
    let body = ask(state, engine, state.dialect.report_path()).await?;
    let report = state.dialect.read_report(&body, &request.ask.id)?;
    let own = engine.candidate(clock::now(), true).unread / request.ask.prompt.input.max(1);
    Some(Reported {
        reading: report.held.saturating_sub(report.generating).max(own),
        generating: report.generating,
    })
}

/// Asks one engine how many tokens of a prompt's part it keeps.
async fn ask_memory(state: &State, part: u64, engine: &Member) -> Option<u64> {
    let body = ask(state, engine, state.dialect.memory_path()).await?;
    Some(state.dialect.read_memory(&body, part).unwrap_or(0))
}

/// Asks one engine for what stands at a path.
async fn ask(state: &State, engine: &Member, path: &str) -> Option<Bytes> {
    match report::read_within(state, engine, path, ASKING, KEPT).await {
        Life::Lives(body) => Some(body),
        Life::Ended | Life::Silent => None,
    }
}
