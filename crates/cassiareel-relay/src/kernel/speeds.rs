/*!
The highest speeds at which a service's engines prefill and generate, measured on streams that
ended.

A stream that can't end before its deadline serves nobody and keeps engines from others. After all
nodes were lost at once, all their callers reconnect together, most of them with little time left.
The fastest streams give the shortest time that a stream needs; one that has less time left is
rejected at once.
*/

use std::{collections::HashMap, time::Duration};

use crate::model::{Prompt, ServiceId};

/// The number of recorded streams from which on a minimum time is returned.
const MIN_STREAMS: u32 = 20;

/// The measurements of a stream that ended.
#[derive(Clone, Copy, Debug)]
pub struct EndedStream {
    /// The number of prompt tokens that were prefilled; zero if a part may have been in memory.
    pub prefilled_tokens: u64,
    /// The time until the first event.
    pub prefill_time: Duration,
    /// The largest number of tokens that the caller allowed.
    pub max_output: u64,
    /// The number of the last event.
    pub last_event: u64,
    /// The number of events of the run.
    pub run_events: u64,
    /// The time from the first to the last event of the run.
    pub decode_time: Duration,
}

/// The highest speeds that were measured for one service.
#[derive(Clone, Copy, Debug)]
struct Speed {
    streams: u32,
    /// The number of tokens in an event. A stream may end before it reaches the largest number of
    /// tokens, so the smallest quotient is nearest to the true number.
    tokens_per_event: u64,
    /// The length of the shortest answer, as a part of what its caller allowed.
    shortest_part: f64,
    /// The shortest prefill time of a prompt token.
    prefill_per_token: Duration,
    /// The shortest time between events.
    time_per_event: Duration,
}

/// The highest measured speeds by service.
#[derive(Debug, Default)]
pub struct ServiceSpeeds {
    services: HashMap<ServiceId, Speed>,
}

impl ServiceSpeeds {
    /// Records a stream that ended.
    pub fn record(&mut self, service: &ServiceId, stream: EndedStream) {
        let Some(tokens_per_event) = stream.max_output.checked_div(stream.last_event) else {
            return;
        };
        let tokens_per_event = tokens_per_event.max(1);
        let speed = self.services.entry(service.clone()).or_insert(Speed {
            streams: 0,
            tokens_per_event,
            shortest_part: 1.0,
            prefill_per_token: Duration::MAX,
            time_per_event: Duration::MAX,
        });
        speed.streams += 1;
        speed.tokens_per_event = speed.tokens_per_event.min(tokens_per_event);
        let part = (stream.last_event * speed.tokens_per_event) as f64 / stream.max_output as f64;
        speed.shortest_part = speed.shortest_part.min(part);
        if stream.prefilled_tokens > 0 {
            speed.prefill_per_token = speed
                .prefill_per_token
                .min(stream.prefill_time.div_f64(stream.prefilled_tokens as f64));
        }
        if stream.run_events > 1 {
            speed.time_per_event = speed
                .time_per_event
                .min(stream.decode_time.div_f64((stream.run_events - 1) as f64));
        }
    }

    /// Returns the number of tokens in `events` events; at least one token for each event.
    pub fn tokens(&self, service: &ServiceId, events: u64) -> u64 {
        self.services
            .get(service)
            .map_or(1, |speed| speed.tokens_per_event)
            * events
    }

    /// Returns the shortest time in which a stream can end, of which the caller has `done` events
    /// and an engine still has to prefill `unread` prompt tokens; zero if too few streams were
    /// recorded.
    pub fn min_time(
        &self,
        service: &ServiceId,
        prompt: &Prompt,
        unread: u64,
        done: u64,
    ) -> Duration {
        let known = self.services.get(service);
        let Some(speed) = known.filter(|speed| speed.streams >= MIN_STREAMS) else {
            return Duration::ZERO;
        };
        let shortest =
            prompt.max_output as f64 * speed.shortest_part / speed.tokens_per_event as f64;
        let left = (shortest - done as f64).max(0.0);
        total_time(speed.prefill_per_token, unread as f64) + total_time(speed.time_per_event, left)
    }
}

/// Returns the time of `count` units; zero if the time of each is unknown.
fn total_time(each: Duration, count: f64) -> Duration {
    if each == Duration::MAX {
        return Duration::ZERO;
    }
    each.mul_f64(count)
}
