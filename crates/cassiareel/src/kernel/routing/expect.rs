//! The time to the first token that a backend server of common speed would take.

use super::{Candidate, RoutingRequest, BLOCK_TOKENS};

/// Milliseconds of a step where the engine has not told it.
const STEP_MS: f64 = 10.0;
/// Milliseconds to read a token of a prompt.
const PREFILL_MS: f64 = 0.1;
/// Milliseconds for each request that is outstanding.
const LOAD_MS: f64 = 1.0;

/// Tokens of a prompt that a server must read, as far as its cache is known.
pub(crate) fn unread_tokens(ask: &RoutingRequest, cached: u32) -> u64 {
    u64::from(
        ask.prompt_tokens
            .saturating_sub(cached * BLOCK_TOKENS)
            .max(1),
    )
}

/// The expected time, in milliseconds: a step, the reading of what waits and of the request's own
/// prompt, and the other requests' part of each step. A [`Load`](super::Load) learns by how much a
/// server differs from it.
pub(crate) fn expected_ms(ask: &RoutingRequest, c: &Candidate<'_>, cached: u32) -> f64 {
    let step = if c.token_ms > 0.0 {
        f64::from(c.token_ms)
    } else {
        STEP_MS
    };
    let read = (c.backlog_tokens + unread_tokens(ask, cached)) as f64;
    step + read * PREFILL_MS + f64::from(c.outstanding) * LOAD_MS
}
