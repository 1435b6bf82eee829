//! Chooses a backend server of a service for one send.

use std::{sync::Arc, time::Duration};

use cassiareel::kernel::quota::Purpose;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    backends::{Backend, ServiceBackends},
    clock::{self, Moment},
    kernel::{choose, Candidate, RequestDemand},
    rollouts::VersionRank,
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
    members: ServiceBackends,
    candidates: Vec<Candidate>,
    need: RequestDemand,
    /// What the request would use a permit for.
    purpose: Purpose,
    /// Whether a candidate was passed over because its limit leaves no permit.
    passed_over: bool,
}

impl CandidateSet {
    /// Returns the candidates for a request that was already sent to the backend servers in
    /// `tried`, and that needs a permit for `purpose` where they name limits.
    pub(super) fn new(
        state: &State,
        request: &Request,
        tried: &[u64],
        purpose: Purpose,
    ) -> CandidateSet {
        let members = state.backends.of_service(&request.service);
        let now = clock::now();
        let mut candidates: Vec<Candidate> = members
            .iter()
            .map(|member| {
                let mut candidate = base_candidate(state, member, now);
                candidate.tried = tried.contains(&member.number);
                candidate.preference_rank = prompt_rank(request, member);
                candidate
            })
            .collect();
        apply_version_rule(state, request, &members, &mut candidates, purpose);
        let mut set = CandidateSet {
            need: need(state, request),
            members,
            candidates,
            purpose,
            passed_over: false,
        };
        set.pass_over_limited(state);
        set
    }

    /// Reports whether a candidate was passed over because its limit leaves no permit.
    pub(super) fn is_limited(&self) -> bool {
        self.passed_over
    }

    /// Excludes the candidates whose limit leaves no permit. Those that would be chosen before others
    /// are counted as wanted.
    fn pass_over_limited(&mut self, state: &State) {
        if !state.server_limits.is_any() {
            return;
        }
        let now = clock::now();
        let mut quotas = state.server_limits.quotas();
        while let Some(chosen) = choose(&self.candidates, self.need, fastrand::f64) {
            let process = self.members[chosen].process();
            if quotas.may_send(process, self.purpose, now) {
                break;
            }
            quotas.note_want(process, self.purpose, now);
            self.candidates[chosen].excluded = true;
            self.passed_over = true;
        }
        for (member, candidate) in self.members.iter().zip(&mut self.candidates) {
            candidate.excluded |= !quotas.may_send(member.process(), self.purpose, now);
        }
        drop(quotas);
        if self.passed_over {
            state.server_limits.wanted.notify(usize::MAX);
        }
    }

    /// Returns the best candidate; one that was tried only if no other is left.
    pub(super) fn best(&self) -> Option<Arc<Backend>> {
        self.best_with_wait().map(|(member, _)| member)
    }

    /// Returns the best candidate and the time that a request waits there, as far as it is known.
    pub(super) fn best_with_wait(&self) -> Option<(Arc<Backend>, Duration)> {
        let chosen = choose(&self.candidates, self.need, fastrand::f64)?;
        Some((
            self.members[chosen].clone(),
            self.candidates[chosen].expected_wait(),
        ))
    }

    /// Reports whether a candidate that was not tried has a free slot, by a recent report.
    pub(super) fn has_free_slot(&self) -> bool {
        let usable = |candidate: &&Candidate| !candidate.excluded && !candidate.tried;
        self.candidates
            .iter()
            .filter(usable)
            .any(Candidate::has_free_slot)
    }

    /// Returns up to `limit` of the best candidates that were not tried, and marks them as tried.
    pub(super) fn take_preferred(&mut self, limit: usize) -> Vec<Arc<Backend>> {
        std::iter::from_fn(|| self.take_next(fastrand::f64))
            .take(limit)
            .collect()
    }

    /// Returns up to `limit` of the best candidates that were not tried, by cost without its random
    /// part, and marks them as tried. Other nodes most likely chose these for the same prompt.
    pub(super) fn take_most_preferred(&mut self, limit: usize) -> Vec<Arc<Backend>> {
        std::iter::from_fn(|| self.take_next(|| 0.0))
            .take(limit)
            .collect()
    }

    /// Reports whether the request may be sent to the backend server with this number.
    pub(super) fn allows(&self, number: u64) -> bool {
        let position = self.members.iter().position(|m| m.number == number);
        position.is_some_and(|index| !self.candidates[index].excluded)
    }

    /// Returns the best candidate that was not tried, and marks it as tried.
    fn take_next<R>(&mut self, random: R) -> Option<Arc<Backend>>
    where
        R: FnMut() -> f64,
    {
        let chosen = choose(&self.candidates, self.need, random)?;
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
    runner: &Backend,
    excluded: &[u64],
) -> Option<Arc<Backend>> {
    if !state.admission.may_copy(&request.service) {
        return None;
    }
    let members = state.backends.of_service(&request.service);
    let now = clock::now();
    let candidates: Vec<Candidate> = members
        .iter()
        .map(|member| {
            let mut candidate = base_candidate(state, member, now);
            let same = member.entry.data_centre == runner.entry.data_centre;
            candidate.excluded |= member.number == runner.number
                || candidate.suspect
                || state.server_limits.limit(member.process(), now).is_some()
                || excluded.contains(&member.number)
                || member.entry.version != runner.entry.version;
            // Engines of one data centre often fail together, so those of the runner's are the last
            // choice.
            candidate.tried = same;
            candidate.suspect = is_liveness_uncertain(state, member, now);
            candidate.preference_rank = prompt_rank(request, member);
            candidate
        })
        .collect();
    let chosen = choose(&candidates, need(state, request), fastrand::f64)?;
    Some(members[chosen].clone())
}

/// Reports whether a backend server may have been lost together with others of its data centre:
/// another one was lost lately, and nothing was received from this one since.
pub(super) fn is_liveness_uncertain(state: &State, member: &Backend, now: Moment) -> bool {
    let entry = &member.entry;
    let lost = state
        .data_centre_losses()
        .last_loss(&entry.service, &entry.data_centre);
    let recent = lost.filter(|lost| now.saturating_sub(*lost) < REGISTRY_LAG);
    recent.is_some_and(|lost| !member.received_since(lost))
}

/// Returns the facts about a backend server that do not depend on the request.
fn base_candidate(state: &State, member: &Backend, now: Moment) -> Candidate {
    let own = &state.settings.load().node.data_centre;
    let near = member.entry.data_centre == *own;
    let mut candidate = member.candidate(now, near);
    let zone = &member.entry.data_centre;
    candidate.suspect |= !member.received_within(now, MAX_CONTACT_AGE)
        && state
            .data_centre_losses()
            .is_suspect(&member.entry.service, zone, now);
    candidate
}

/// Returns the rank of an engine in the order of preference of a request's prompt, from 0
/// (preferred) to 1. It is the same on every node.
fn prompt_rank(request: &Request, member: &Backend) -> f64 {
    let Some((part, _)) = request.ask.prompt.parts.last() else {
        return 0.0;
    };
    let hash = xxh3_64_with_seed(member.entry.id.as_bytes(), *part);
    hash as f64 / u64::MAX as f64
}

/// Returns what a request needs of a backend server.
fn need(state: &State, request: &Request) -> RequestDemand {
    let prompt = &request.ask.prompt;
    match state.engine_shape(&request.service) {
        Some(engine) => RequestDemand {
            input: prompt.input.max(1),
            peak_tokens: prompt.peak_tokens(),
            capacity: Some(engine.capacity),
            contended: false,
        },
        None => RequestDemand {
            contended: state
                .admission
                .with_load(&request.service, |load| load.sends.is_bounded()),
            ..RequestDemand::default()
        },
    }
}

/// Closes the candidates whose version the rollout rule excludes, and those whose version appeared
/// after the operator's orders were last read.
fn apply_version_rule(
    state: &State,
    request: &Request,
    members: &[Arc<Backend>],
    candidates: &mut [Candidate],
    purpose: Purpose,
) {
    let checked = |member: &Backend| {
        state
            .rollouts
            .is_covered(&request.service, &member.entry.version)
    };
    let rule = state.rollouts.version_rule(&request.service);
    let unproven = state.rollouts.unproven_versions(&request.service);
    let rank = |member: &Backend| rule.rank(&member.entry.version, &unproven);
    // The new version's share may go elsewhere where its limits leave no permit. The rest may not go
    // to the new version for that reason.
    let is_usable = |member: &Backend| {
        rank(member) != Some(VersionRank::Preferred)
            || state
                .server_limits
                .may_send(member.process(), purpose, clock::now())
    };
    let lowest = members
        .iter()
        .zip(candidates.iter())
        .filter(|(member, candidate)| !candidate.excluded && checked(member) && is_usable(member))
        .filter_map(|(member, _)| rank(member))
        .min();
    for (member, candidate) in members.iter().zip(candidates) {
        let is_allowed = rank(member).is_some_and(|rank| lowest.is_none_or(|least| rank <= least));
        candidate.excluded |= !checked(member) || !is_allowed;
    }
}
