//! What a stream needs at least, from those that ended.

use std::time::Duration;

use test_case::test_case;

use super::{EndedStream, ServiceSpeeds};
use crate::model::{Prompt, ServiceId};

/// Streams of 130 events of 8 tokens; a prompt token takes 200 us or more, an event 30 ms or more.
fn seen(count: u64) -> (ServiceSpeeds, ServiceId) {
    let mut paces = ServiceSpeeds::default();
    let service = ServiceId::from("model");
    for i in 0..count {
        let ended = EndedStream {
            read: 5_000,
            reading: Duration::from_millis(1000 + i * 10),
            output: 1_040,
            events: 130,
            made: 130,
            writing: Duration::from_millis(129 * (30 + i)),
        };
        paces.ended(&service, ended);
    }
    (paces, service)
}

struct Case {
    ended: u64,
    unread: u64,
    done: u64,
    least: Duration,
}

#[test_case(&Case { ended: 3, unread: 5_000, done: 0, least: Duration::ZERO }; "too little is known")]
#[test_case(&Case { ended: 40, unread: 5_000, done: 0, least: Duration::from_millis(4_900) }; "a new stream")]
#[test_case(&Case { ended: 40, unread: 0, done: 100, least: Duration::from_millis(900) }; "a rest whose prompt is held")]
#[test_case(&Case { ended: 40, unread: 5_000, done: 130, least: Duration::from_millis(1_000) }; "the end alone")]
fn the_fastest_streams_tell_the_least_time(case: &Case) {
    let (paces, service) = seen(case.ended);
    let prompt = Prompt {
        input: 5_000,
        output: 1_040,
        ..Prompt::default()
    };
    let least = paces.least(&service, &prompt, case.unread, case.done);
    let off = least.abs_diff(case.least);
    assert!(off < Duration::from_millis(2), "{least:?}");
}

#[test]
fn answers_that_may_be_short_are_not_called_long() {
    let (mut paces, service) = seen(40);
    let short = EndedStream {
        read: 0,
        reading: Duration::ZERO,
        output: 1_040,
        events: 13,
        made: 13,
        writing: Duration::from_millis(12 * 30),
    };
    paces.ended(&service, short);
    let prompt = Prompt {
        input: 5_000,
        output: 1_040,
        ..Prompt::default()
    };
    assert!(paces.least(&service, &prompt, 0, 10) < Duration::from_millis(100));
    assert_eq!(paces.tokens(&service, 10), 80);
}
