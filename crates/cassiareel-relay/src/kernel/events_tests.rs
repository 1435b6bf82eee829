//! Only complete events are returned, wherever reads end.

use test_case::test_case;

use super::EventSplitter;

struct Case {
    stream: &'static [u8],
    /// The ids of the complete events.
    ids: &'static [Option<u64>],
    /// The number of bytes after the last complete event.
    pending: usize,
}

#[test_case(&Case { stream: b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", ids: &[Some(1), Some(2)], pending: 0 }; "two events")]
#[test_case(&Case { stream: b"id: 1\r\ndata: a\r\n\r\n", ids: &[Some(1)], pending: 0 }; "carriage returns")]
#[test_case(&Case { stream: b"id: 1\ndata: a\r\nb\n\n", ids: &[Some(1)], pending: 0 }; "a carriage return inside")]
#[test_case(&Case { stream: b"id: 1\ndata: a\n\nid: 2\nda", ids: &[Some(1)], pending: 8 }; "cut inside")]
#[test_case(&Case { stream: b"id: 1\ndata: a\n", ids: &[], pending: 14 }; "cut before the blank line")]
#[test_case(&Case { stream: b"data: a\n\n", ids: &[None], pending: 0 }; "no id")]
#[test_case(&Case { stream: b"x-version: 3\nid:7\ndata: id: 9\n\n", ids: &[Some(7)], pending: 0 }; "other fields")]
fn events_are_complete_wherever_reads_end(case: &Case) {
    for size in 1..=case.stream.len() {
        let mut splitter = EventSplitter::default();
        let (mut ids, mut bytes) = (Vec::new(), Vec::new());
        for part in case.stream.chunks(size) {
            splitter.push(part).expect("the events are small");
            while let Some(event) = splitter.pop() {
                ids.push(event.id);
                bytes.extend_from_slice(&event.bytes);
            }
        }
        assert_eq!(ids, case.ids, "reads of {size}");
        assert_eq!(splitter.pending_bytes(), case.pending, "reads of {size}");
        assert_eq!(bytes, case.stream[..case.stream.len() - case.pending]);
    }
}

#[test]
fn an_event_that_does_not_end_is_rejected() {
    let mut splitter = EventSplitter::default();
    let part = vec![b'a'; 1 << 19];
    let pushed: Vec<bool> = (0..3).map(|_| splitter.push(&part).is_ok()).collect();
    assert_eq!(pushed, [true, true, false]);
}
