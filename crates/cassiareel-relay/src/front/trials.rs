//! What requests tell of the version that they ran at, where their service moves between versions.

use std::sync::Arc;

use super::request::Request;
use crate::{
    clock,
    rollouts::{MeasuredRun, RunSize},
};

/// What a first event takes beside the reading of its prompt, as a number of tokens.
const OVERHEAD_TOKENS: u64 = 500;

/// How the time to a stream's first event is judged, of whose prompt `unread` tokens have to be read.
pub(super) fn stream_size(request: &Request, unread: u64) -> RunSize {
    RunSize {
        units: (unread + OVERHEAD_TOKENS) as f64,
        objective: request.route.objective.as_secs_f64(),
    }
}

/// How the time of a plain request is judged.
pub(super) fn plain_size(request: &Request) -> RunSize {
    RunSize {
        units: 1.0,
        objective: request.route.objective.as_secs_f64(),
    }
}

/// Counts a whole answer.
pub(super) fn record_response(trial: Option<&Arc<MeasuredRun>>) {
    if let Some(trial) = trial {
        trial.note_event(clock::now());
    }
}

/// Counts a run that failed or was lost.
pub(super) fn record_failure(trial: Option<&Arc<MeasuredRun>>) {
    if let Some(trial) = trial {
        trial.note_failure();
    }
}
