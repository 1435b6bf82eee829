//! What nodes go by is younger than the bound, also over two hops.

use std::time::Duration;

use test_case::test_case;

use super::pace::{interval, own_age, peer_age, LARGE, WAIT};

/// The time that one answer of store or peer may take.
const ANSWER: Duration = Duration::from_millis(60);

/// A backend server leaves while a reader hears the store through another one: a node that asked it
/// went by a list that was 3.2 s old where 3 s are allowed.
#[test_case(2_000; "bound of small deployments")]
#[test_case(3_000; "bound of large deployments")]
fn what_is_gone_by_is_younger_than_the_bound(bound: u64) {
    let bound = Duration::from_millis(bound);
    let oldest = peer_age(bound) + LARGE + ANSWER;
    assert!(oldest < bound, "{oldest:?}");
}

/// In the normal case words are younger than what sends nodes to the store.
#[test]
fn words_of_readers_are_fresh_enough() {
    let usual = interval(true) + WAIT + ANSWER * 2;
    assert!(usual < peer_age(Duration::from_millis(3_000)));
}

/// A node that reads the store itself learns a change within the bound of small deployments, with a
/// quarter of it to spare.
#[test]
fn own_reads_are_in_time() {
    let bound = Duration::from_millis(2_000);
    assert!(interval(false) + ANSWER < bound.mul_f64(0.75));
}

/// Nodes that read the store in time don't ask their peers, whose words would make them read again:
/// with own reads each 1.4 s and an age of 1.1 s, calls rose by a tenth.
#[test_case(false; "a small fleet")]
#[test_case(true; "a large fleet")]
fn readers_ask_no_peers_between_their_reads(large: bool) {
    let age = own_age(peer_age(Duration::from_millis(2_000)), large);
    assert!(interval(large) + ANSWER < age);
}
