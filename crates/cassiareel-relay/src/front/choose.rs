//! Chooses a backend server out of the fleet for one send.

use std::{future::Future, sync::Arc, task::Poll, time::Duration};

use futures_lite::future::poll_fn;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    clock::{self, Moment},
    fleet::Member,
    kernel::{choose, choose_reported, Candidate, Need, Reported},
    model::Prompt,
    moves::Rule,
    state::State,
};

use super::{
    report::{self, Life},
    request::Request,
};

/// A backend server that said nothing for this long may be asked for a report.
pub(super) const FRESH: Duration = Duration::from_millis(400);

/// Engines that are asked for their loads before a prompt is sent.
const ASKED: usize = 3;

/// How long they may take to tell.
const ASKING: Duration = Duration::from_millis(60);

/// How long a connection may have been idle over which they are asked.
const KEPT: Duration = Duration::from_secs(4);

/// Chooses a backend server for a request that was sent to `tried` before.
pub(super) fn pick(state: &State, request: &Request, tried: &[u64]) -> Option<Arc<Member>> {
    let members = state.fleet.members(&request.service);
    let need = need(state, request);
    let now = clock::now();
    let mut candidates: Vec<Candidate> = members
        .iter()
        .map(|member| {
            let mut candidate = describe(state, member, now);
            candidate.tried = tried.contains(&member.number);
            candidate.rank = rank(request, member);
            candidate
        })
        .collect();
    apply_rule(state, request, &members, &mut candidates);
    let chosen = choose(&candidates, need, fastrand::f64)?;
    Some(members[chosen].clone())
}

/// Chooses an engine for a prompt, after a few were asked for their loads.
///
/// A caller that comes back gets the engine that its prompt prefers, which most likely holds it.
pub(super) async fn pick_engine(
    state: &State,
    request: &Request,
    tried: &[u64],
) -> Option<Arc<Member>> {
    let mut left_out = tried.to_vec();
    let mut engines: Vec<Arc<Member>> = Vec::new();
    while engines.len() < ASKED {
        let next = pick(state, request, &left_out);
        let Some(next) = next.filter(|next| !left_out.contains(&next.number)) else {
            break;
        };
        left_out.push(next.number);
        engines.push(next);
    }
    if engines.len() < 2 || request.ask.last_event.is_some() {
        return engines
            .into_iter()
            .next()
            .or_else(|| pick(state, request, tried));
    }
    let told = ask_all(state, request, &engines).await;
    let chosen = choose_reported(&told)?;
    Some(engines.swap_remove(chosen))
}

/// Asks engines for their loads, all at once.
async fn ask_all(
    state: &State,
    request: &Request,
    engines: &[Arc<Member>],
) -> Vec<Option<Reported>> {
    let mut asking: Vec<_> = engines
        .iter()
        .map(|engine| Box::pin(ask_load(state, request, engine)))
        .collect();
    let mut told: Vec<Option<Option<Reported>>> = vec![None; engines.len()];
    poll_fn(|cx| {
        for (asked, told) in asking.iter_mut().zip(&mut told) {
            if told.is_none() {
                if let Poll::Ready(load) = asked.as_mut().poll(cx) {
                    *told = Some(load);
                }
            }
        }
        if told.iter().all(Option::is_some) {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    })
    .await;
    told.into_iter().map(Option::flatten).collect()
}

/// Asks one engine for its load, and adds what this node has just sent there.
async fn ask_load(state: &State, request: &Request, engine: &Member) -> Option<Reported> {
    match report::read_within(state, engine, ASKING, KEPT).await {
        Life::Lives(body) => {
            let report = state.dialect.read_report(&body, &request.ask.id)?;
            let own = engine.candidate(clock::now(), true).unread / request.ask.prompt.input.max(1);
            Some(Reported {
                reading: report.held.saturating_sub(report.generating).max(own),
                generating: report.generating,
            })
        }
        Life::Ended => {
            engine.replaced();
            None
        }
        Life::Silent => None,
    }
}

/// Chooses an engine in another data centre for a copy of a run's memory.
pub(super) fn pick_backup(
    state: &State,
    request: &Request,
    runner: &Member,
) -> Option<Arc<Member>> {
    let members = state.fleet.members(&request.service);
    let now = clock::now();
    let candidates: Vec<Candidate> = members
        .iter()
        .map(|member| {
            let mut candidate = describe(state, member, now);
            let same = member.entry.data_centre == runner.entry.data_centre;
            // Engines of one data centre often fail together.
            candidate.tried = same;
            candidate.rank = rank(request, member);
            candidate.closed |= member.number == runner.number
                || candidate.suspect
                || member.entry.version != runner.entry.version;
            candidate
        })
        .collect();
    let chosen = choose(&candidates, need(state, request), fastrand::f64)?;
    Some(members[chosen].clone())
}

/// What is known of a backend server.
fn describe(state: &State, member: &Member, now: Moment) -> Candidate {
    let own = &state.settings.load().node.data_centre;
    let near = member.entry.data_centre == *own;
    let mut candidate = member.candidate(now, near);
    let zone = &member.entry.data_centre;
    candidate.suspect |=
        !member.was_heard(now, FRESH) && state.zones().is_suspect(&member.entry.service, zone, now);
    candidate
}

/// How little a request's prompt prefers an engine, from 0 to 1: the same on every node.
fn rank(request: &Request, member: &Member) -> f64 {
    let Some((part, _)) = request.ask.prompt.parts.last() else {
        return 0.0;
    };
    let hash = xxh3_64_with_seed(member.entry.id.as_bytes(), *part);
    hash as f64 / u64::MAX as f64
}

/// What a request needs of a backend server.
fn need(state: &State, request: &Request) -> Need {
    let capacity = state
        .catalog()
        .and_then(|catalog| Some(catalog.engine(&request.service)?.capacity));
    match capacity {
        Some(_) => Need {
            input: request.ask.prompt.input.max(1),
            tokens: Prompt::footprint(&request.ask.prompt),
            capacity,
        },
        None => Need::default(),
    }
}

/// Closes the backend servers whose version the rule leaves out.
fn apply_rule(state: &State, request: &Request, members: &[Arc<Member>], open: &mut [Candidate]) {
    let checked = |member: &Member| {
        state
            .moves
            .is_checked(&request.service, &member.entry.version)
    };
    let (wanted, version, strict) = match state.moves.rule(&request.service) {
        Rule::Any => (None, None, false),
        Rule::Prefer(version) => (Some(true), Some(version), false),
        Rule::Avoid(version) => (Some(false), Some(version), false),
        Rule::Never(version) => (Some(false), Some(version), true),
    };
    let fits = |member: &Member| {
        wanted.is_none_or(|wanted| (Some(&member.entry.version) == version.as_ref()) == wanted)
    };
    let any = members
        .iter()
        .zip(open.iter())
        .any(|(member, candidate)| !candidate.closed && checked(member) && fits(member));
    for (member, candidate) in members.iter().zip(open) {
        candidate.closed |= !checked(member) || ((any || strict) && !fits(member));
    }
}
