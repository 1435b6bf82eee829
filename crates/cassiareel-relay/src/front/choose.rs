//! Chooses a backend server of a service for one send.

use std::{sync::Arc, time::Duration};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    clock::{self, Moment},
    fleet::{Member, Members},
    kernel::{choose, Candidate, Need},
    moves::Rule,
    state::State,
};

use super::request::Request;

/// A backend server from which no byte was received for this long may be probed.
pub(super) const MAX_CONTACT_AGE: Duration = Duration::from_millis(400);

/// How long the registry may still list a backend server after it was lost.
const REGISTRY_LAG: Duration = Duration::from_secs(8);

/// The backend servers of a request's service and their state at one moment.
///
/// The version for the request is drawn once per set, so that choosing by load among several
/// candidates can't give a new version more than its share of the requests.
pub(super) struct CandidateSet {
    members: Members,
    candidates: Vec<Candidate>,
    need: Need,
}

impl CandidateSet {
    /// Returns the candidates for a request that was already sent to the backend servers in
    /// `tried`.
    pub(super) fn new(state: &State, request: &Request, tried: &[u64]) -> CandidateSet {
        let members = state.fleet.members(&request.service);
        let now = clock::now();
        let mut candidates: Vec<Candidate> = members
            .iter()
            .map(|member| {
                let mut candidate = base_candidate(state, member, now);
                candidate.tried = tried.contains(&member.number);
                candidate.rank = prompt_rank(request, member);
                candidate
            })
            .collect();
        apply_version_rule(state, request, &members, &mut candidates);
        CandidateSet {
            need: need(state, request),
            members,
            candidates,
        }
    }

    /// Returns the best candidate; one that was tried only if no other is left.
    pub(super) fn best(&self) -> Option<Arc<Member>> {
        self.best_with_wait().map(|(member, _)| member)
    }

    /// Returns the best candidate and the time that a request waits there, as far as it is known.
    pub(super) fn best_with_wait(&self) -> Option<(Arc<Member>, Duration)> {
        let chosen = choose(&self.candidates, self.need, fastrand::f64)?;
        Some((self.members[chosen].clone(), self.candidates[chosen].wait()))
    }

    /// Returns up to `limit` of the best candidates that were not tried, and marks them as tried.
    pub(super) fn take_preferred(&mut self, limit: usize) -> Vec<Arc<Member>> {
        std::iter::from_fn(|| self.take_next())
            .take(limit)
            .collect()
    }

    /// Returns the best candidate that was not tried, and marks it as tried.
    fn take_next(&mut self) -> Option<Arc<Member>> {
        let chosen = choose(&self.candidates, self.need, fastrand::f64)?;
        let candidate = &mut self.candidates[chosen];
        if candidate.tried {
            return None;
        }
        candidate.tried = true;
        Some(self.members[chosen].clone())
    }
}

/// Chooses an engine for a copy of a run's memory, other than the `excluded` ones and preferably in
/// another data centre than `runner`. Returns `None` while runs need the memory that the copy would
/// take.
pub(super) fn pick_backup(
    state: &State,
    request: &Request,
    runner: &Member,
    excluded: &[u64],
) -> Option<Arc<Member>> {
    if !state.admission.may_copy(&request.service) {
        return None;
    }
    let members = state.fleet.members(&request.service);
    let now = clock::now();
    let candidates: Vec<Candidate> = members
        .iter()
        .map(|member| {
            let mut candidate = base_candidate(state, member, now);
            let same = member.entry.data_centre == runner.entry.data_centre;
            candidate.closed |= member.number == runner.number
                || candidate.suspect
                || excluded.contains(&member.number)
                || member.entry.version != runner.entry.version;
            // Engines of one data centre often fail together, so those of the runner's are the last
            // choice.
            candidate.tried = same;
            candidate.suspect = is_liveness_uncertain(state, member, now);
            candidate.rank = prompt_rank(request, member);
            candidate
        })
        .collect();
    let chosen = choose(&candidates, need(state, request), fastrand::f64)?;
    Some(members[chosen].clone())
}

/// Reports whether a backend server may have been lost together with others of its data centre:
/// another one was lost lately, and nothing was received from this one since.
pub(super) fn is_liveness_uncertain(state: &State, member: &Member, now: Moment) -> bool {
    let entry = &member.entry;
    let lost = state.zones().last_loss(&entry.service, &entry.data_centre);
    let recent = lost.filter(|lost| now.saturating_sub(*lost) < REGISTRY_LAG);
    recent.is_some_and(|lost| !member.was_heard_since(lost))
}

/// Returns the facts about a backend server that do not depend on the request.
fn base_candidate(state: &State, member: &Member, now: Moment) -> Candidate {
    let own = &state.settings.load().node.data_centre;
    let near = member.entry.data_centre == *own;
    let mut candidate = member.candidate(now, near);
    let zone = &member.entry.data_centre;
    candidate.suspect |= !member.was_heard(now, MAX_CONTACT_AGE)
        && state.zones().is_suspect(&member.entry.service, zone, now);
    candidate
}

/// Returns the rank of an engine in the order of preference of a request's prompt, from 0
/// (preferred) to 1. It is the same on every node.
fn prompt_rank(request: &Request, member: &Member) -> f64 {
    let Some((part, _)) = request.ask.prompt.parts.last() else {
        return 0.0;
    };
    let hash = xxh3_64_with_seed(member.entry.id.as_bytes(), *part);
    hash as f64 / u64::MAX as f64
}

/// Returns what a request needs of a backend server.
fn need(state: &State, request: &Request) -> Need {
    let prompt = &request.ask.prompt;
    match state.engine(&request.service) {
        Some(engine) => Need {
            input: prompt.input.max(1),
            tokens: prompt.footprint(),
            capacity: Some(engine.capacity),
        },
        None => Need::default(),
    }
}

/// Closes the candidates whose version the rollout rule excludes, and those whose version appeared
/// after the operator's orders were last read.
fn apply_version_rule(
    state: &State,
    request: &Request,
    members: &[Arc<Member>],
    candidates: &mut [Candidate],
) {
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
    let matches_rule = |member: &Member| {
        wanted.is_none_or(|wanted| (Some(&member.entry.version) == version.as_ref()) == wanted)
    };
    let any_match = members
        .iter()
        .zip(candidates.iter())
        .any(|(member, candidate)| !candidate.closed && checked(member) && matches_rule(member));
    for (member, candidate) in members.iter().zip(candidates) {
        candidate.closed |= !checked(member) || ((any_match || strict) && !matches_rule(member));
    }
}
