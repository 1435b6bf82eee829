//! Records how requests fare at each version of a service during a rollout.

use std::sync::Arc;

use super::request::Request;
use crate::{
    clock,
    rollouts::{MeasuredRun, RunSize},
};

/// Cost of a first event beyond the prefill of its prompt, in tokens.
const OVERHEAD_TOKENS: u64 = 500;

/// Returns the measure for the time to a stream's first event, where `unread` prompt tokens have to
/// be prefilled.
pub(super) fn stream_size(request: &Request, unread: u64) -> RunSize {
    RunSize {
        units: (unread + OVERHEAD_TOKENS) as f64,
        objective: request.route.objective.as_secs_f64(),
    }
}

/// Returns the measure for the response time of a plain request.
pub(super) fn plain_size(request: &Request) -> RunSize {
    RunSize {
        units: 1.0,
        objective: request.route.objective.as_secs_f64(),
    }
}

/// Records a complete response.
pub(super) fn record_response(trial: Option<&Arc<MeasuredRun>>) {
    if let Some(trial) = trial {
        trial.note_event(clock::now());
    }
}

/// Records a run that was lost with its backend server.
pub(super) fn record_loss(trial: Option<&Arc<MeasuredRun>>) {
    if let Some(trial) = trial {
        trial.note_loss(clock::now());
    }
}

/// Records a run that failed, or that did not end in time.
pub(super) fn record_failure(trial: Option<&Arc<MeasuredRun>>) {
    if let Some(trial) = trial {
        trial.note_failure();
    }
}
