/*!
Which requests a node that was told to stop still takes.

The balancer needs a moment to send callers elsewhere, and kept connections go on bringing requests.
What can't end before the process does is refused at once, so that the caller goes to another node:
a stream that is cut later costs its caller the same, and its prompt as well.
*/

use std::time::Duration;

use crate::model::{Prompt, Route};

/// The usual time of a stream that does not tell its size.
const STREAM_TIME: Duration = Duration::from_millis(6000);

/// The time in which an engine reads one token of a prompt.
const READ_TOKEN: Duration = Duration::from_micros(240);

/// The time in which an engine generates one token.
const WRITE_TOKEN: Duration = Duration::from_micros(5300);

/// The time that a plain request may take where the route allows more.
const PLAIN_TIME: Duration = Duration::from_millis(4300);

/// Time kept back for the process's own end.
const LAST_MOMENT: Duration = Duration::from_millis(300);

/// Reports whether a node with `left` until its end has time for a request.
pub fn has_time(left: Duration, route: &Route, prompt: &Prompt) -> bool {
    let usual = if route.kind.is_stream() {
        stream_time(prompt)
    } else {
        PLAIN_TIME
    };
    left >= usual.min(route.timeout) + LAST_MOMENT
}

/// The usual time of a stream from its arrival to its end.
fn stream_time(prompt: &Prompt) -> Duration {
    if prompt.output == 0 {
        return STREAM_TIME;
    }
    let output = prompt.footprint() - prompt.input;
    READ_TOKEN.mul_f64(prompt.input as f64) + WRITE_TOKEN.mul_f64(output as f64)
}
