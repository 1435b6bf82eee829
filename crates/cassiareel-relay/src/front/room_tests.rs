//! Bodies are held up to a bound, and room comes back.

use std::sync::{atomic::AtomicU64, Arc};

use super::room::Room;

#[test]
fn room_is_bounded_and_comes_back() {
    let held = Arc::new(AtomicU64::new(0));
    let first = Room::take(&held, 60, 100);
    assert!(first.is_some());
    assert!(Room::take(&held, 60, 100).is_none());
    assert!(Room::take(&held, 40, 100).is_some());
    drop(first);
    let mut small = Room::take(&held, 100, 100).expect("all was given back");
    small.resize(10);
    assert!(Room::take(&held, 90, 100).is_some());
}
