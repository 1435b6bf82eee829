//! Only whole events are cut out, wherever reads end.

use test_case::test_case;

use super::EventSplitter;

struct Case {
    stream: &'static [u8],
    /// The events' ids.
    ids: &'static [Option<u64>],
    /// Bytes that belong to no whole event.
    left: usize,
}

#[test_case(&Case { stream: b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", ids: &[Some(1), Some(2)], left: 0 }; "two")]
#[test_case(&Case { stream: b"id: 1\r\ndata: a\r\n\r\n", ids: &[Some(1)], left: 0 }; "carriage returns")]
#[test_case(&Case { stream: b"id: 1\ndata: a\r\nb\n\n", ids: &[Some(1)], left: 0 }; "a carriage return inside")]
#[test_case(&Case { stream: b"id: 1\ndata: a\n\nid: 2\nda", ids: &[Some(1)], left: 8 }; "cut inside")]
#[test_case(&Case { stream: b"id: 1\ndata: a\n", ids: &[], left: 14 }; "cut before the blank line")]
#[test_case(&Case { stream: b"data: a\n\n", ids: &[None], left: 0 }; "no id")]
#[test_case(&Case { stream: b"x-version: 3\nid:7\ndata: id: 9\n\n", ids: &[Some(7)], left: 0 }; "other lines")]
fn events_are_whole_wherever_reads_end(case: &Case) {
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
        assert_eq!(splitter.pending_bytes(), case.left, "reads of {size}");
        assert_eq!(bytes, case.stream[..case.stream.len() - case.left]);
    }
}

#[test]
fn an_event_without_an_end_is_refused() {
    let mut splitter = EventSplitter::default();
    let part = vec![b'a'; 1 << 19];
    let pushed: Vec<bool> = (0..3).map(|_| splitter.push(&part).is_ok()).collect();
    assert_eq!(pushed, [true, true, false]);
}
