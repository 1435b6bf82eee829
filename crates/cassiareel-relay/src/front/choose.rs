//! Chooses a backend server out of the fleet for one send.

use std::{sync::Arc, time::Duration};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    backends::{Backend, ServiceBackends},
    clock::{self, Moment},
    kernel::{choose, Candidate, Need},
    rollouts::VersionRule,
    state::State,
};

use super::request::Request;

/// A backend server that said nothing for this long may be asked for a report.
pub(super) const FRESH: Duration = Duration::from_millis(400);

/// How long the registry may go on naming a backend server that was lost.
const UNCERTAIN: Duration = Duration::from_secs(8);

/// The backend servers of a request's service, as they are known at one moment.
///
/// The version that the request goes to is drawn once, so that a choice by load among several of
/// them can't bring a new version more than its share.
pub(super) struct Choice {
    members: ServiceBackends,
    candidates: Vec<Candidate>,
    need: Need,
}

impl Choice {
    /// The backend servers for a request that was sent to `tried` before.
    pub(super) fn new(state: &State, request: &Request, tried: &[u64]) -> Choice {
        let members = state.backends.of_service(&request.service);
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
        Choice {
            need: need(state, request),
            members,
            candidates,
        }
    }

    /// The best one; one that was tried only where no other is left.
    pub(super) fn best(&self) -> Option<Arc<Backend>> {
        self.best_with_wait().map(|(member, _)| member)
    }

    /// The best one, and how long a request waits there as far as is known.
    pub(super) fn best_with_wait(&self) -> Option<(Arc<Backend>, Duration)> {
        let chosen = choose(&self.candidates, self.need, fastrand::f64)?;
        Some((self.members[chosen].clone(), self.candidates[chosen].wait()))
    }

    /// The best ones that were not tried, at most `most`. They count as tried from now on.
    pub(super) fn preferred(&mut self, most: usize) -> Vec<Arc<Backend>> {
        std::iter::from_fn(|| self.next()).take(most).collect()
    }

    /// The best one that was not tried, which counts as tried from now on.
    fn next(&mut self) -> Option<Arc<Backend>> {
        let chosen = choose(&self.candidates, self.need, fastrand::f64)?;
        let candidate = &mut self.candidates[chosen];
        if candidate.tried {
            return None;
        }
        candidate.tried = true;
        Some(self.members[chosen].clone())
    }
}

/// Chooses an engine in another data centre for a copy of a run's memory, but for those that are
/// left out. Where memory is needed for runs, there is no copy.
pub(super) fn pick_backup(
    state: &State,
    request: &Request,
    runner: &Backend,
    left_out: &[u64],
) -> Option<Arc<Backend>> {
    if !state.admission.may_copy(&request.service) {
        return None;
    }
    let members = state.backends.of_service(&request.service);
    let now = clock::now();
    let candidates: Vec<Candidate> = members
        .iter()
        .map(|member| {
            let mut candidate = describe(state, member, now);
            let same = member.entry.data_centre == runner.entry.data_centre;
            candidate.closed |= member.number == runner.number
                || candidate.suspect
                || left_out.contains(&member.number)
                || member.entry.version != runner.entry.version;
            // Engines of one data centre often fail together.
            candidate.tried = same;
            candidate.suspect = is_doubted(state, member, now);
            candidate.rank = rank(request, member);
            candidate
        })
        .collect();
    let chosen = choose(&candidates, need(state, request), fastrand::f64)?;
    Some(members[chosen].clone())
}

/// Reports whether a backend server may have been lost with others of its data centre: it was not
/// heard since one was.
pub(super) fn is_doubted(state: &State, member: &Backend, now: Moment) -> bool {
    let entry = &member.entry;
    let lost = state
        .data_centre_losses()
        .last_loss(&entry.service, &entry.data_centre);
    let recent = lost.filter(|lost| now.saturating_sub(*lost) < UNCERTAIN);
    recent.is_some_and(|lost| !member.received_since(lost))
}

/// What is known of a backend server.
fn describe(state: &State, member: &Backend, now: Moment) -> Candidate {
    let own = &state.settings.load().node.data_centre;
    let near = member.entry.data_centre == *own;
    let mut candidate = member.candidate(now, near);
    let zone = &member.entry.data_centre;
    candidate.suspect |= !member.received_within(now, FRESH)
        && state
            .data_centre_losses()
            .is_suspect(&member.entry.service, zone, now);
    candidate
}

/// How little a request's prompt prefers an engine, from 0 to 1: the same on every node.
fn rank(request: &Request, member: &Backend) -> f64 {
    let Some((part, _)) = request.ask.prompt.parts.last() else {
        return 0.0;
    };
    let hash = xxh3_64_with_seed(member.entry.id.as_bytes(), *part);
    hash as f64 / u64::MAX as f64
}

/// What a request needs of a backend server.
fn need(state: &State, request: &Request) -> Need {
    let prompt = &request.ask.prompt;
    match state.engine_shape(&request.service) {
        Some(engine) => Need {
            input: prompt.input.max(1),
            tokens: prompt.footprint(),
            capacity: Some(engine.capacity),
        },
        None => Need::default(),
    }
}

/// Closes the backend servers whose version the rule leaves out.
fn apply_rule(state: &State, request: &Request, members: &[Arc<Backend>], open: &mut [Candidate]) {
    let checked = |member: &Backend| {
        state
            .rollouts
            .is_covered(&request.service, &member.entry.version)
    };
    let (wanted, version, strict) = match state.rollouts.version_rule(&request.service) {
        VersionRule::Any => (None, None, false),
        VersionRule::Prefer(version) => (Some(true), Some(version), false),
        VersionRule::Avoid(version) => (Some(false), Some(version), false),
        VersionRule::Never(version) => (Some(false), Some(version), true),
    };
    let fits = |member: &Backend| {
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
