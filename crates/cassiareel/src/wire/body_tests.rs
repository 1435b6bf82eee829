//! The memory of whole bodies.

use std::sync::Arc;

use bytes::Bytes;
use futures_lite::io::{repeat, AsyncReadExt, BufReader};
use http_types::Body;
use test_case::test_case;

use super::body::{read_charged, BodyError};
use crate::body_budget::BodyBudget;

/// The size limit of each body, and the memory of all, in bytes.
const LIMIT: usize = 100_000;
const BUDGET: u64 = 1_000_000;

/// Returns a body of `size` bytes, whose length may be announced.
fn body(size: usize, is_announced: bool) -> Body {
    let bytes = BufReader::new(repeat(b'x').take(size as u64));
    Body::from_reader(bytes, is_announced.then_some(size))
}

/// Guards against bodies that are within their limits and exceed the memory together.
#[test_case(true; "announced")]
#[test_case(false; "in chunks")]
fn bodies_that_are_held_have_a_bound_in_sum(is_announced: bool) {
    let budget = Arc::new(BodyBudget::new(BUDGET));
    let read = || smol::block_on(read_charged(body(LIMIT, is_announced), LIMIT, &budget));
    let held: Vec<Bytes> = (0..20).map_while(|_| read().ok()).collect();
    let sum: usize = held.iter().map(Bytes::len).sum();
    assert!(held.len() >= 5 && sum as u64 <= BUDGET, "{sum}");
    assert_eq!(read(), Err(BodyError::NoMemory));
    drop(held);
    assert_eq!(budget.held(), 0);
    assert_eq!(read().map(|bytes| bytes.len()), Ok(LIMIT));
}

/// Guards against a body without an end.
#[test]
fn a_body_without_an_end_is_too_long() {
    let budget = Arc::new(BodyBudget::new(BUDGET));
    let endless = body(usize::MAX, false);
    let read = smol::block_on(read_charged(endless, LIMIT, &budget));
    assert_eq!(read, Err(BodyError::TooLong { limit: LIMIT }));
    assert_eq!(budget.held(), 0);
}
