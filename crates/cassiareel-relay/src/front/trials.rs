//! What requests tell of the version that they ran at, where their service moves between versions.

use std::sync::Arc;

use super::request::Request;
use crate::{
    clock,
    moves::{Size, Trial},
};

/// What a first event takes beside the reading of its prompt, as a number of tokens.
const OVERHEAD_TOKENS: u64 = 500;

/// How the time to a stream's first event is judged, of whose prompt `unread` tokens have to be read.
pub(super) fn stream_size(request: &Request, unread: u64) -> Size {
    Size {
        units: (unread + OVERHEAD_TOKENS) as f64,
        objective: request.route.objective.as_secs_f64(),
    }
}

/// How the time of a plain request is judged.
pub(super) fn plain_size(request: &Request) -> Size {
    Size {
        units: 1.0,
        objective: request.route.objective.as_secs_f64(),
    }
}

/// Counts a whole answer.
pub(super) fn record_response(trial: Option<&Arc<Trial>>) {
    if let Some(trial) = trial {
        trial.event(clock::now());
    }
}

/// Counts a run that failed or was lost.
pub(super) fn record_failure(trial: Option<&Arc<Trial>>) {
    if let Some(trial) = trial {
        trial.failed();
    }
}
