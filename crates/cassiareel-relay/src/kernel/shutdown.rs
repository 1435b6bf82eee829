/*!
Which requests a node that was told to stop still takes.

The balancer needs a moment to send callers elsewhere, and kept connections go on bringing requests.
What can't end before the process does is refused at once, so that the caller goes to another node.
A stream that may be resumed is taken as long as the balancer may not have heard of the stop: a caller
that is refused then often meets another node that stops, while one whose stream is handed over at
the end finds its prompt in its engine's memory. After that, connections without a request are closed, so that
their callers' next ones go to other nodes at once.
*/

use std::time::Duration;

use crate::model::{Prompt, Route, RouteKind};

/// The usual time of a stream that does not tell its size.
const STREAM_TIME: Duration = Duration::from_millis(6000);

/// The time in which an engine reads one token of a prompt.
const READ_TOKEN: Duration = Duration::from_micros(240);

/// The time in which a busy engine generates one token.
const WRITE_TOKEN: Duration = Duration::from_micros(7500);

/// The time that a plain request may take where the route allows more.
const PLAIN_TIME: Duration = Duration::from_millis(4300);

/// How long after the stop the balancer may still bring callers.
pub const BALANCER_DELAY: Duration = Duration::from_millis(2500);

/// Time kept back for the process's own end.
const LAST_MOMENT: Duration = Duration::from_millis(300);

/// A stop under way.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    /// The time since the node was told.
    pub elapsed: Duration,
    /// The time until it ends.
    pub remaining: Duration,
}

/// Reports whether a stopping node takes a request, of whose answer the caller has `done` tokens.
pub fn accepts_during_shutdown(leave: Shutdown, route: &Route, prompt: &Prompt, done: u64) -> bool {
    if route.kind == RouteKind::ResumableStream && leave.elapsed <= BALANCER_DELAY {
        return true;
    }
    let usual = if route.kind.is_stream() {
        stream_time(prompt, done)
    } else {
        PLAIN_TIME
    };
    leave.remaining >= usual.min(route.timeout) + LAST_MOMENT
}

/// The longest usual time of a stream from its arrival to its end.
fn stream_time(prompt: &Prompt, done: u64) -> Duration {
    if prompt.max_output == 0 {
        return STREAM_TIME;
    }
    let output = prompt.peak_tokens() - prompt.input;
    let left = output.saturating_sub(done);
    READ_TOKEN.mul_f64((prompt.input + done) as f64) + WRITE_TOKEN.mul_f64(left as f64)
}
