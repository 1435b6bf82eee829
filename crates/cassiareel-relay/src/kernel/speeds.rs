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
    pub read: u64,
    /// The time until the first event.
    pub reading: Duration,
    /// The largest number of tokens that the caller allowed.
    pub output: u64,
    /// The number of the last event.
    pub events: u64,
    /// Events since the run began.
    pub made: u64,
    /// The time from the first to the last event of the run.
    pub writing: Duration,
}

/// The best that was seen of one service.
#[derive(Clone, Copy, Debug)]
struct Speed {
    ended: u32,
    /// Tokens an event. A stream may end before the largest number of tokens, so that the smallest
    /// quotient is nearest to the truth.
    stride: u64,
    /// The shortest answer, as a part of what its caller allowed.
    shortest: f64,
    /// The time for a token of a prompt.
    read: Duration,
    /// The time for an event.
    write: Duration,
}

/// The best that was seen, by service.
#[derive(Debug, Default)]
pub struct ServiceSpeeds {
    services: HashMap<ServiceId, Speed>,
}

impl ServiceSpeeds {
    /// Takes in a stream that ended.
    pub fn ended(&mut self, service: &ServiceId, stream: EndedStream) {
        let Some(stride) = stream.output.checked_div(stream.events) else {
            return;
        };
        let stride = stride.max(1);
        let pace = self.services.entry(service.clone()).or_insert(Speed {
            ended: 0,
            stride,
            shortest: 1.0,
            read: Duration::MAX,
            write: Duration::MAX,
        });
        pace.ended += 1;
        pace.stride = pace.stride.min(stride);
        let part = (stream.events * pace.stride) as f64 / stream.output as f64;
        pace.shortest = pace.shortest.min(part);
        if stream.read > 0 {
            pace.read = pace.read.min(stream.reading.div_f64(stream.read as f64));
        }
        if stream.made > 1 {
            pace.write = pace
                .write
                .min(stream.writing.div_f64((stream.made - 1) as f64));
        }
    }

    /// Tokens in a number of events; at least one an event.
    pub fn tokens(&self, service: &ServiceId, events: u64) -> u64 {
        self.services.get(service).map_or(1, |pace| pace.stride) * events
    }

    /// The least time in which a stream can end, of which the caller has `done` events and an engine
    /// still has to read `unread` prompt tokens; zero where too little is known.
    pub fn least(&self, service: &ServiceId, prompt: &Prompt, unread: u64, done: u64) -> Duration {
        let known = self.services.get(service);
        let Some(pace) = known.filter(|pace| pace.ended >= ENOUGH) else {
            return Duration::ZERO;
        };
        let shortest = prompt.output as f64 * pace.shortest / pace.stride as f64;
        let left = (shortest - done as f64).max(0.0);
        times(pace.read, unread as f64) + times(pace.write, left)
    }
}

/// A time for each of `count`; nothing where the time is not known.
fn times(each: Duration, count: f64) -> Duration {
    if each == Duration::MAX {
        return Duration::ZERO;
    }
    each.mul_f64(count)
}
