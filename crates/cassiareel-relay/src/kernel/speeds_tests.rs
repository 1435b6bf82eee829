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
            prefilled_tokens: 5_000,
            prefill_time: Duration::from_millis(1000 + i * 10),
            max_output: 1_040,
            last_event: 130,
            run_events: 130,
            decode_time: Duration::from_millis(129 * (30 + i)),
        };
        paces.record(&service, ended);
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
        max_output: 1_040,
        ..Prompt::default()
    };
    let least = paces.min_time(&service, &prompt, case.unread, case.done);
    let off = least.abs_diff(case.least);
    assert!(off < Duration::from_millis(2), "{least:?}");
}

#[test]
fn answers_that_may_be_short_are_not_called_long() {
    let (mut paces, service) = seen(40);
    let short = EndedStream {
        prefilled_tokens: 0,
        prefill_time: Duration::ZERO,
        max_output: 1_040,
        last_event: 13,
        run_events: 13,
        decode_time: Duration::from_millis(12 * 30),
    };
    paces.record(&service, short);
    let prompt = Prompt {
        input: 5_000,
        max_output: 1_040,
        ..Prompt::default()
    };
    assert!(paces.min_time(&service, &prompt, 0, 10) < Duration::from_millis(100));
    assert_eq!(paces.tokens(&service, 10), 80);
}
