//! The memory of bodies that arrive in odd pieces, or without an end.

use std::{convert::Infallible, sync::Arc};

use bytes::{Bytes, BytesMut};
use cassiareel::body_budget::BodyBudget;
use futures_lite::stream;
use http_body::Frame;
use http_body_util::StreamBody;
use test_case::test_case;

use super::{read_body, BodyError};

/// The size of the buffer that a connection reads into, in bytes.
const READ_BUFFER: usize = 64 << 10;

/// A body that arrives in equal pieces, and how it is read.
struct Case {
    /// The number of bytes in each piece.
    piece: usize,
    /// The number of pieces.
    pieces: usize,
    /// The size limit, in bytes.
    limit: usize,
    /// The budget, in bytes.
    budget: u64,
    /// The length that is read, or the error.
    expected: Result<usize, BodyError>,
}

const TOO_LARGE: BodyError = BodyError::TooLarge { limit: 10_000 };

/// Returns a piece of a body, which keeps the whole buffer that it was read into.
fn piece(size: usize) -> Bytes {
    let mut buffer = BytesMut::zeroed(READ_BUFFER);
    buffer.split_to(size).freeze()
}

async fn read(case: &Case, budget: &Arc<BodyBudget>) -> Result<Bytes, BodyError> {
    let pieces = (0..case.pieces).map(|_| Ok::<_, Infallible>(Frame::data(piece(case.piece))));
    read_body(StreamBody::new(stream::iter(pieces)), case.limit, budget).await
}

/// Guards against bodies that are small in sum and keep large read buffers, and against bodies
/// without an end.
#[test_case(&Case { piece: 0, pieces: 0, limit: 10_000, budget: 100_000, expected: Ok(0) }; "empty")]
#[test_case(&Case { piece: 800, pieces: 1, limit: 10_000, budget: 100_000, expected: Ok(800) }; "one piece")]
#[test_case(&Case { piece: 1, pieces: 9_000, limit: 10_000, budget: 100_000, expected: Ok(9_000) }; "byte by byte")]
#[test_case(&Case { piece: 1_460, pieces: 6, limit: 10_000, budget: 100_000, expected: Ok(8_760) }; "packets")]
#[test_case(&Case { piece: 1_000, pieces: 10, limit: 10_000, budget: 100_000, expected: Ok(10_000) }; "as large as allowed")]
#[test_case(&Case { piece: 1_000, pieces: usize::MAX, limit: 10_000, budget: 100_000, expected: Err(TOO_LARGE) }; "without an end")]
#[test_case(&Case { piece: 1, pieces: usize::MAX, limit: 10_000, budget: 100_000, expected: Err(TOO_LARGE) }; "without an end, byte by byte")]
#[test_case(&Case { piece: 1_000, pieces: usize::MAX, limit: 10_000, budget: 10_000, expected: Err(BodyError::NoMemory) }; "no memory")]
fn a_body_takes_no_more_memory_than_is_charged(case: &Case) {
    let budget = Arc::new(BodyBudget::new(case.budget));
    let read = smol::block_on(read(case, &budget));
    assert_eq!(
        read.as_ref().map(Bytes::len),
        case.expected.as_ref().copied()
    );
    let length = read.as_ref().map_or(0, Bytes::len) as u64;
    assert_eq!(budget.held(), length, "a body is charged while it is held");
    let clone = read.as_ref().ok().cloned();
    drop(read);
    assert_eq!(budget.held(), length, "a clone holds the body");
    drop(clone);
    assert_eq!(budget.held(), 0, "nothing is held");
}

/// Guards against a server whose endless bodies take the memory of sound ones.
#[test]
fn small_bodies_find_memory_beside_endless_ones() {
    let budget = Arc::new(BodyBudget::new(1 << 20));
    let mut endless: Vec<_> = (0..8).map(|_| budget.charge()).collect();
    for bytes in (0..)
        .map(|step| step << 10)
        .take_while(|bytes| *bytes < 1 << 20)
    {
        for charge in &mut endless {
            let _ = charge.resize(bytes);
        }
    }
    let small = Case {
        piece: 800,
        pieces: 1,
        limit: 10_000,
        budget: 0,
        expected: Ok(800),
    };
    let bodies: Vec<_> = (0..50)
        .map(|_| smol::block_on(read(&small, &budget)))
        .collect();
    assert!(bodies.iter().all(Result::is_ok), "{}", budget.held());
    assert!(budget.held() <= 1 << 20);
}

/// A budget that was lowered admits nothing until enough was released.
#[test]
fn a_lower_limit_is_in_force_at_once() {
    let budget = Arc::new(BodyBudget::new(100));
    let mut first = budget.charge();
    assert!(first.resize(40));
    budget.set_limit(50);
    let mut second = budget.charge();
    assert!(!second.resize(20));
    drop(first);
    assert!(second.resize(20));
    assert!(second.resize(0) && budget.held() == 0);
}
