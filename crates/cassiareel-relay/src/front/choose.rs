//! Chooses a backend server out of the fleet for one send.

use std::{sync::Arc, time::Duration};

use crate::{
    clock::{self, Moment},
    fleet::Member,
    kernel::{choose, Candidate, Need, Split},
    model::Prompt,
    state::State,
};

use super::request::Request;

/// A backend server that said nothing for this long may be asked for a report.
pub(super) const FRESH: Duration = Duration::from_millis(400);

/// Chooses a backend server for a request that was sent to `tried` before.
pub(super) fn pick(state: &State, request: &Request, tried: &[u64]) -> Option<Arc<Member>> {
    let members = state.fleet.members(&request.service);
    let need = need(state, request);
    let version = version(state, request);
    let now = clock::now();
    let candidates: Vec<Candidate> = members
        .iter()
        .map(|member| {
            let mut candidate = describe(state, member, now);
            candidate.tried = tried.contains(&member.number);
            candidate.closed |= !version.allows(&member.entry.version);
            candidate
        })
        .collect();
    let chosen = choose(&candidates, need, fastrand::f64)?;
    Some(members[chosen].clone())
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

/// Which version a request may go to, while versions are moved.
enum VersionRule {
    /// Any.
    Any,
    /// Only this one.
    Only(Arc<str>),
    /// Any but this one.
    Not(Arc<str>),
}

impl VersionRule {
    fn allows(&self, version: &Arc<str>) -> bool {
        match self {
            VersionRule::Any => true,
            VersionRule::Only(only) => only == version,
            VersionRule::Not(not) => not != version,
        }
    }
}

/// Draws the version for one send.
fn version(state: &State, request: &Request) -> VersionRule {
    let moves = state.moves.load();
    let Some(one) = moves.get(&request.service) else {
        return VersionRule::Any;
    };
    let target = one.target.clone();
    match one.split {
        Split::Complete => VersionRule::Only(target),
        Split::RollBack => VersionRule::Not(target),
        Split::Share(share) if fastrand::f64() < share => VersionRule::Only(target),
        Split::Share(_) => VersionRule::Not(target),
    }
}
