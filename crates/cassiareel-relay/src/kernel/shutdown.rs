/*!
Which requests a node still accepts during its shutdown.

The balancer needs a moment to send callers elsewhere, and kept-alive connections continue to bring
requests. A request that can't end before the process does is rejected at once, so that the caller
goes to another node: one that may run once if a slow run would not end in time, and one that may be
repeated if a usual run would not. Where nothing is known of the runs, the route's timeout stands for
both. A resumable stream is accepted as long as the balancer may not know of the
shutdown yet: a caller that is rejected then often reaches another node that is shutting down, while
one whose stream is handed over at the end finds its prompt in its engine's memory. After that,
connections without a request are closed, so that their callers' next requests go to other nodes at
once.
*/

use std::time::Duration;

use super::ExpectedTimes;
use crate::model::{Prompt, Route, RouteKind};

/// The assumed duration of a stream of unknown size.
const STREAM_TIME: Duration = Duration::from_millis(6000);

/// The time in which an engine prefills one prompt token.
const PREFILL_TOKEN_TIME: Duration = Duration::from_micros(240);

/// The time in which a busy engine generates one token.
const DECODE_TOKEN_TIME: Duration = Duration::from_micros(7500);

/// How long after the start of a shutdown the balancer may still send callers.
pub const BALANCER_DELAY: Duration = Duration::from_millis(2500);

/// How long before the end of a shutdown open requests are answered. It leaves time to write the
/// answers.
pub const ANSWER_MARGIN: Duration = Duration::from_millis(400);

/// How long before the end of a shutdown open streams are handed over.
pub const HAND_OVER_MARGIN: Duration = Duration::from_millis(450);

/// The time that a stream may wait for a place at its engine.
const ENGINE_WAIT: Duration = Duration::from_millis(450);

/// The time that has to be left for any stream, since a busy engine may make even a short one wait for
/// more than a second.
const MIN_STREAM_TIME: Duration = Duration::from_secs(3);

/// A shutdown in progress.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    /// The time since the node was told to stop.
    pub elapsed: Duration,
    /// The time until the process exits.
    pub remaining: Duration,
}

/// Reports whether a node that is shutting down sends a request to a backend server. `done` is the
/// number of tokens of the answer that the caller already has, and `times` what is known of the runs.
pub fn accepts_during_shutdown(
    shutdown: Shutdown,
    route: &Route,
    prompt: &Prompt,
    done: u64,
    times: ExpectedTimes,
) -> bool {
    if route.kind == RouteKind::ResumableStream && shutdown.elapsed <= BALANCER_DELAY {
        return shutdown.remaining > HAND_OVER_MARGIN;
    }
    let usual = times.usual.unwrap_or(route.timeout);
    let slow = times.slow.unwrap_or(route.timeout);
    let by_size = (stream_time(prompt, done) + ENGINE_WAIT).max(MIN_STREAM_TIME);
    let (expected, margin) = match route.kind {
        RouteKind::Idempotent => (usual, ANSWER_MARGIN),
        RouteKind::NonIdempotent => (slow, ANSWER_MARGIN),
        RouteKind::ResumableStream if done > 0 => (by_size, HAND_OVER_MARGIN),
        RouteKind::ResumableStream => {
            let usual = times.usual.unwrap_or_default();
            (usual.max(by_size), HAND_OVER_MARGIN)
        }
        RouteKind::Stream if prompt.max_output == 0 => (slow, HAND_OVER_MARGIN),
        RouteKind::Stream => (slow.max(by_size), HAND_OVER_MARGIN),
    };
    shutdown.remaining >= expected.min(route.timeout) + margin
}

/// Returns the longest typical time of a stream from its arrival to its end.
fn stream_time(prompt: &Prompt, done: u64) -> Duration {
    if prompt.max_output == 0 {
        return STREAM_TIME;
    }
    let output = prompt.peak_tokens() - prompt.input;
    let left = output.saturating_sub(done);
    PREFILL_TOKEN_TIME.mul_f64((prompt.input + done) as f64)
        + DECODE_TOKEN_TIME.mul_f64(left as f64)
}
