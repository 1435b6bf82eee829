//! The index is correct in the end although events are late, duplicated or missing.

use test_case::test_case;

use super::{CacheFeed, Fetch};
use crate::{
    backend::{CacheEvent, CacheEventKind, CacheEvents},
    kernel::routing::PrefixIndex,
};

fn stored(sequence: u64, block: u64) -> CacheEvent {
    CacheEvent {
        sequence,
        kind: CacheEventKind::Stored,
        block,
    }
}

fn removed(sequence: u64, block: u64) -> CacheEvent {
    CacheEvent {
        sequence,
        kind: CacheEventKind::Removed,
        block,
    }
}

fn answer(events: &[CacheEvent], next: u64) -> CacheEvents {
    CacheEvents {
        events: events.to_vec(),
        snapshot: None,
        next,
    }
}

fn snapshot(blocks: &[u64], next: u64) -> CacheEvents {
    CacheEvents {
        events: Vec::new(),
        snapshot: Some(blocks.to_vec()),
        next,
    }
}

struct Case {
    answers: Vec<CacheEvents>,
    fetch: Fetch,
    gaps: u64,
    cached: &'static [u64],
    absent: &'static [u64],
}

#[test_case(&Case {
    answers: vec![snapshot(&[5, 6], 3), answer(&[stored(3, 7), removed(4, 5)], 5)],
    fetch: Fetch::Since(5), gaps: 0, cached: &[6, 7], absent: &[5],
}; "in order")]
#[test_case(&Case {
    answers: vec![snapshot(&[5], 3), answer(&[stored(3, 7)], 4), answer(&[removed(3, 5), stored(4, 8)], 5)],
    fetch: Fetch::Since(5), gaps: 0, cached: &[5, 7, 8], absent: &[],
}; "a duplicate event is skipped")]
#[test_case(&Case {
    answers: vec![snapshot(&[5], 3), answer(&[stored(4, 7)], 5)],
    fetch: Fetch::Full, gaps: 1, cached: &[5, 7], absent: &[],
}; "a gap requests a snapshot")]
#[test_case(&Case {
    answers: vec![snapshot(&[5], 3), answer(&[], 9)],
    fetch: Fetch::Full, gaps: 1, cached: &[5], absent: &[],
}; "a gap at the end is detected by the next number")]
#[test_case(&Case {
    answers: vec![snapshot(&[5], 3), answer(&[stored(4, 7)], 5), snapshot(&[7, 9], 6)],
    fetch: Fetch::Since(6), gaps: 1, cached: &[7, 9], absent: &[5],
}; "a snapshot repairs a gap")]
#[test_case(&Case {
    answers: vec![snapshot(&[5], 30), answer(&[], 2)],
    fetch: Fetch::Full, gaps: 1, cached: &[5], absent: &[],
}; "a restarted engine")]
#[test_case(&Case {
    answers: vec![snapshot(&[5], 3), answer(&[stored(u64::MAX, 7)], 4)],
    fetch: Fetch::Full, gaps: 1, cached: &[5, 7], absent: &[],
}; "the largest sequence number")]
fn feed(case: &Case) {
    let index = PrefixIndex::new(256, 4);
    let mut feed = CacheFeed::default();
    assert_eq!(feed.fetch(), Fetch::Full);
    for answer in &case.answers {
        feed.apply(2, answer, &index);
    }
    assert_eq!((feed.fetch(), feed.gaps()), (case.fetch, case.gaps));
    let mut depths = [0; 4];
    for (blocks, depth) in [(case.cached, 1), (case.absent, 0)] {
        for &block in blocks {
            index.depths(&[block], &mut depths);
            assert_eq!(depths, [0, 0, depth, 0], "block {block}");
        }
    }
}
