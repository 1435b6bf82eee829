//! The shortest time of a stream, computed from streams that ended.

use std::time::Duration;

use test_case::test_case;

use super::{EndedStream, ServiceSpeeds};
use crate::model::{Prompt, ServiceId};

/// Records `count` streams of 130 events with 8 tokens each; a prompt token takes at least 200 us,
/// an event at least 30 ms.
fn recorded(count: u64) -> (ServiceSpeeds, ServiceId) {
    let mut speeds = ServiceSpeeds::default();
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
        speeds.record(&service, ended);
    }
    (speeds, service)
}

struct Case {
    streams: u64,
    unread: u64,
    done: u64,
    min_time: Duration,
}

#[test_case(&Case { streams: 3, unread: 5_000, done: 0, min_time: Duration::ZERO }; "too few streams are recorded")]
#[test_case(&Case { streams: 40, unread: 5_000, done: 0, min_time: Duration::from_millis(4_900) }; "a new stream")]
#[test_case(&Case { streams: 40, unread: 0, done: 100, min_time: Duration::from_millis(900) }; "the rest of a stream whose prompt is in memory")]
#[test_case(&Case { streams: 40, unread: 5_000, done: 130, min_time: Duration::from_millis(1_000) }; "only the end is missing")]
fn the_fastest_streams_give_the_shortest_time(case: &Case) {
    let (speeds, service) = recorded(case.streams);
    let prompt = Prompt {
        input: 5_000,
        max_output: 1_040,
        ..Prompt::default()
    };
    let min_time = speeds.min_time(&service, &prompt, case.unread, case.done);
    let error = min_time.abs_diff(case.min_time);
    assert!(error < Duration::from_millis(2), "{min_time:?}");
}

#[test]
fn one_short_answer_shortens_the_expected_time() {
    let (mut speeds, service) = recorded(40);
    let short = EndedStream {
        prefilled_tokens: 0,
        prefill_time: Duration::ZERO,
        max_output: 1_040,
        last_event: 13,
        run_events: 13,
        decode_time: Duration::from_millis(12 * 30),
    };
    speeds.record(&service, short);
    let prompt = Prompt {
        input: 5_000,
        max_output: 1_040,
        ..Prompt::default()
    };
    assert!(speeds.min_time(&service, &prompt, 0, 10) < Duration::from_millis(100));
    assert_eq!(speeds.tokens(&service, 10), 80);
}
