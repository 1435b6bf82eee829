//! Refusal of requests that take their engines down.

use http_types::StatusCode;

use super::{Parts, Refusal};
use crate::{
    kernel::{
        suspect::{Loss, Suspects},
        ticket::Short,
        Attempt, RequestId,
    },
    orders::now_ms,
    settings::Resolved,
};

/// The refusal of a request under which too many engines died; none where it may run.
///
/// An answer that advances between its losses is more likely beside the cause than the cause, and
/// may lose twice as many engines.
pub(super) fn refusal(
    parts: &Parts,
    policy: &Resolved,
    content: &Short,
    advances: bool,
) -> Option<Refusal> {
    let losses = with(parts, |suspects| suspects.losses(content, now_ms()));
    let bound = policy.retries.engine_losses;
    let bound = if advances { 2 * bound } else { bound };
    if losses < bound {
        return None;
    }
    let message = format!("{losses} engines died under this request, which is refused for a time");
    Some(Refusal::new(StatusCode::UnprocessableEntity, message).with_code("engines_lost"))
}

/// Notes an engine that died under a request.
pub(super) fn lost(parts: &Parts, content: Short, generation: &RequestId, attempt: Attempt) {
    let loss = Loss {
        at_ms: now_ms(),
        generation: generation.clone(),
        attempt,
    };
    with(parts, |suspects| suspects.lost(content, loss));
}

/// Notes that a request completed.
pub(super) fn cleared(parts: &Parts, content: &Short) {
    with(parts, |suspects| suspects.cleared(content, now_ms()));
}

fn with<F, T>(parts: &Parts, look: F) -> T
where
    F: FnOnce(&mut Suspects) -> T,
{
    look(&mut parts.suspects.lock().unwrap_or_else(|e| e.into_inner()))
}
