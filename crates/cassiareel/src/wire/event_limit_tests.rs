//! Event streams with large events, and without an end.

use futures_lite::{
    io::{BufReader, Cursor},
    StreamExt,
};
use test_case::test_case;

use super::event_limit::{EventLimit, MAX_EVENT_BYTES};

/// Events, and how many of them are decoded before the stream ends.
struct Case {
    /// The data of one event, in bytes.
    data: usize,
    events: usize,
    line_end: &'static str,
    decoded: usize,
}

/// Guards against an event that is kept without a limit.
#[test_case(&Case { data: 10, events: 1000, line_end: "\n", decoded: 1000 }; "small")]
#[test_case(&Case { data: 10, events: 1000, line_end: "\r\n", decoded: 1000 }; "other line ends")]
#[test_case(&Case { data: MAX_EVENT_BYTES - 100, events: 3, line_end: "\n", decoded: 3 }; "as large as allowed")]
#[test_case(&Case { data: MAX_EVENT_BYTES, events: 3, line_end: "\n", decoded: 0 }; "too large")]
fn events_are_decoded_up_to_the_limit(case: &Case) {
    let event = format!(
        "data: {}{end}{end}",
        "x".repeat(case.data),
        end = case.line_end
    );
    let reader = BufReader::new(Cursor::new(event.repeat(case.events)));
    let results: Vec<_> =
        smol::block_on(async_sse::decode(EventLimit::new(reader)).collect::<Vec<_>>());
    let decoded = results.iter().filter(|result| result.is_ok()).count();
    assert_eq!(decoded, case.decoded);
}

/// Guards against a line without an end, and lines without a blank one, which were kept to the end of
/// the connection.
#[test_case("x"; "a line")]
#[test_case("data: x\n"; "an event")]
#[test_case("\r"; "line ends that are none")]
fn an_event_without_an_end_ends_the_stream(text: &str) {
    let bytes = text.repeat(16 * MAX_EVENT_BYTES / text.len());
    let mut reader = BufReader::new(Cursor::new(bytes));
    let mut events = async_sse::decode(EventLimit::new(&mut reader));
    let next = smol::block_on(events.next());
    assert!(next.is_none(), "{next:?}");
    drop(events);
    let read = reader.get_ref().position();
    assert!(read < 2 * MAX_EVENT_BYTES as u64, "{read} bytes were read");
}
