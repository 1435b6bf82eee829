//! The expected time to the first token on a backend server of typical speed.

use super::{Candidate, RoutingRequest, BLOCK_TOKENS};

/// Duration of an engine step, in milliseconds, if the engine has not reported it.
const DEFAULT_STEP_MS: f64 = 10.0;
/// Time to prefill one prompt token, in milliseconds.
const PREFILL_MS_PER_TOKEN: f64 = 0.1;
/// Time added by each outstanding request, in milliseconds.
const MS_PER_OUTSTANDING_REQUEST: f64 = 1.0;

/// Returns the number of prompt tokens that a server must prefill if its cache holds `cached`
/// leading blocks. The result is at least 1.
pub(crate) fn unread_tokens(request: &RoutingRequest, cached: u32) -> u64 {
    u64::from(
        request
            .prompt_tokens
            .saturating_sub(cached * BLOCK_TOKENS)
            .max(1),
    )
}

/// Returns the expected time to the first token, in milliseconds.
///
/// This is the sum of one step, the prefill of the backlog and of the request's own prompt, and the
/// share of the other requests in each step. [`Load`](super::Load) tracks by which factor a server
/// differs from it.
pub(crate) fn expected_ms(request: &RoutingRequest, c: &Candidate<'_>, cached: u32) -> f64 {
    let step = if c.token_ms > 0.0 {
        f64::from(c.token_ms)
    } else {
        DEFAULT_STEP_MS
    };
    let read = (c.backlog_tokens + unread_tokens(request, cached)) as f64;
    step + read * PREFILL_MS_PER_TOKEN + f64::from(c.outstanding) * MS_PER_OUTSTANDING_REQUEST
}
