//! A place goes to the held stream of the highest priority, then to the one with the least time.

use std::{sync::Arc, time::Duration};

use super::holds::Holds;
use crate::model::ServiceId;

const fn at(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Guards against a place that goes to a stream of lower priority, to one that needs more memory,
/// or to one whose caller has left.
#[test]
fn places_are_passed_in_order() {
    let holds: Holds<&str> = Holds::default();
    let service: ServiceId = Arc::from("s");
    let pass = |rank, place| holds.pass(&service, rank, 10, place);
    assert_eq!(pass((9, at(1)), "alone"), Some("alone"));
    let late = holds.hold(&service, (0, at(5)), 10);
    let early = holds.hold(&service, (0, at(4)), 10);
    let large = holds.hold(&service, (0, at(1)), 11);
    let lower = holds.hold(&service, (2, at(1)), 10);
    let left = holds.hold(&service, (0, at(2)), 10);
    drop(left);
    assert_eq!(pass((2, at(9)), "first"), None);
    assert_eq!(early.take(), Some("first"));
    assert_eq!(pass((2, at(9)), "second"), None);
    assert_eq!(late.take(), Some("second"));
    assert_eq!(pass((1, at(9)), "own"), Some("own"));
    assert_eq!(pass((2, at(9)), "third"), None);
    assert_eq!((lower.take(), large.take()), (Some("third"), None));
    assert_eq!(pass((2, at(9)), "kept"), Some("kept"));
}
