//! The limits that backend servers name on the requests which they take from all nodes together.

use std::sync::Arc;

use cassiareel::kernel::quota::{LimitReading, Purpose};
use slog::{info, warn};

use super::request::Request;
use crate::{
    backends::Backend,
    clock::{self, Moment},
    peers::record_limit_answer,
    protocol::{Answer, LimitHeader},
    state::State,
};

/// The right to send one request or call to a backend server. Nothing is sent without one.
#[derive(Debug)]
pub(super) struct Permit(());

/// Takes a permit for one request or call; returns `None` if the limit of the backend server leaves
/// none.
pub(super) fn take_permit(state: &State, member: &Backend, purpose: Purpose) -> Option<Permit> {
    let limits = &state.server_limits;
    let taken = limits.take(member.process(), purpose, clock::now());
    taken.then_some(Permit(()))
}

/// Reports whether a backend server names a limit.
pub(super) fn is_limited(state: &State, member: &Backend) -> bool {
    let limit = state.server_limits.limit(member.process(), clock::now());
    limit.is_some()
}

/// Records the limit that a backend server names in its answer to a request that was sent at `sent`.
///
/// An answer without a limit ends it only where it is the answer of a run: reports and rejections may
/// lack the header, and another process may have answered.
pub(super) fn record_limit(state: &Arc<State>, member: &Backend, answer: &Answer, sent: Moment) {
    let received = clock::now();
    let limit = match &answer.limit {
        LimitHeader::Absent if !answer.signed => return,
        LimitHeader::Absent => None,
        LimitHeader::Rate(rate) => Some(*rate),
        LimitHeader::Malformed { text, lowest } => {
            let known = state.server_limits.limit(member.process(), received);
            let limit = lowest.or(known);
            warn!(state.log, "backend named an unclear limit"; "backend" => &*member.entry.id,
                "service" => &*member.entry.service, "text" => text, "limit" => limit);
            limit
        }
    };
    let reading = LimitReading {
        limit,
        sent,
        received,
    };
    record_limit_answer(state, member.process(), reading);
}

/// Logs that a request is not sent because no backend server's limit has room for it.
pub(super) fn log_no_permit(state: &State, request: &Request) {
    let now = clock::now();
    let backends = state.backends.of_service(&request.service);
    let quotas = state.server_limits.quotas();
    let limits: Vec<f64> = backends
        .iter()
        .filter_map(|backend| quotas.limit(backend.process(), now))
        .collect();
    info!(state.log, "no permit left"; "request" => &*request.ask.id,
        "service" => &*request.service, "tenant" => request.tenant.as_deref(),
        "backends" => backends.len(), "limited" => limits.len(),
        "limit" => limits.iter().sum::<f64>());
}
