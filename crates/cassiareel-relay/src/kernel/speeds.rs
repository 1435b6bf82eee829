/*!
How fast a service's engines read and generate at best, from streams that ended.

A stream that can't end before its time is over serves nobody, and keeps engines from others. After
all nodes were lost at once, all their callers come back together, most of them with little time
left. What a stream needs at least is known from the fastest ones; one that has less is refused at
once.
*/

use std::{collections::HashMap, time::Duration};

use crate::model::{Prompt, ServiceId};

/// Streams that must have ended before any is called too late.
const ENOUGH: u32 = 20;

/// A stream that ended.
#[derive(Clone, Copy, Debug)]
pub struct EndedStream {
    /// Prompt tokens that were read; zero where a part may have been held.
    pub prefilled_tokens: u64,
    /// The time until the first event.
    pub prefill_time: Duration,
    /// The largest number of tokens that the caller allowed.
    pub max_output: u64,
    /// The number of the last event.
    pub last_event: u64,
    /// Events since the run began.
    pub run_events: u64,
    /// The time from the first to the last event of the run.
    pub decode_time: Duration,
}

/// The best that was seen of one service.
#[derive(Clone, Copy, Debug)]
struct Speed {
    streams: u32,
    /// Tokens an event. A stream may end before the largest number of tokens, so that the smallest
    /// quotient is nearest to the truth.
    tokens_per_event: u64,
    /// The shortest answer, as a part of what its caller allowed.
    shortest_part: f64,
    /// The time for a token of a prompt.
    prefill_per_token: Duration,
    /// The time for an event.
    time_per_event: Duration,
}

/// The best that was seen, by service.
#[derive(Debug, Default)]
pub struct ServiceSpeeds {
    services: HashMap<ServiceId, Speed>,
}

impl ServiceSpeeds {
    /// Takes in a stream that ended.
    pub fn record(&mut self, service: &ServiceId, stream: EndedStream) {
        let Some(stride) = stream.max_output.checked_div(stream.last_event) else {
            return;
        };
        let stride = stride.max(1);
        let pace = self.services.entry(service.clone()).or_insert(Speed {
            streams: 0,
            tokens_per_event: stride,
            shortest_part: 1.0,
            prefill_per_token: Duration::MAX,
            time_per_event: Duration::MAX,
        });
        pace.streams += 1;
        pace.tokens_per_event = pace.tokens_per_event.min(stride);
        let part = (stream.last_event * pace.tokens_per_event) as f64 / stream.max_output as f64;
        pace.shortest_part = pace.shortest_part.min(part);
        if stream.prefilled_tokens > 0 {
            pace.prefill_per_token = pace
                .prefill_per_token
                .min(stream.prefill_time.div_f64(stream.prefilled_tokens as f64));
        }
        if stream.run_events > 1 {
            pace.time_per_event = pace
                .time_per_event
                .min(stream.decode_time.div_f64((stream.run_events - 1) as f64));
        }
    }

    /// Tokens in a number of events; at least one an event.
    pub fn tokens(&self, service: &ServiceId, events: u64) -> u64 {
        self.services
            .get(service)
            .map_or(1, |pace| pace.tokens_per_event)
            * events
    }

    /// The least time in which a stream can end, of which the caller has `done` events and an engine
    /// still has to read `unread` prompt tokens; zero where too little is known.
    pub fn min_time(
        &self,
        service: &ServiceId,
        prompt: &Prompt,
        unread: u64,
        done: u64,
    ) -> Duration {
        let known = self.services.get(service);
        let Some(pace) = known.filter(|pace| pace.streams >= ENOUGH) else {
            return Duration::ZERO;
        };
        let shortest = prompt.max_output as f64 * pace.shortest_part / pace.tokens_per_event as f64;
        let left = (shortest - done as f64).max(0.0);
        times(pace.prefill_per_token, unread as f64) + times(pace.time_per_event, left)
    }
}

/// A time for each of `count`; nothing where the time is not known.
fn times(each: Duration, count: f64) -> Duration {
    if each == Duration::MAX {
        return Duration::ZERO;
    }
    each.mul_f64(count)
}
