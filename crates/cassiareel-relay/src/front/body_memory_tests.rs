//! Reservations for bodies are bounded and are released on drop.

use std::sync::{atomic::AtomicU64, Arc};

use super::body_memory::BodyMemory;

#[test]
fn body_memory_is_bounded_and_released() {
    let reserved = Arc::new(AtomicU64::new(0));
    let first = BodyMemory::try_reserve(&reserved, 60, 100);
    assert!(first.is_some());
    assert!(BodyMemory::try_reserve(&reserved, 60, 100).is_none());
    assert!(BodyMemory::try_reserve(&reserved, 40, 100).is_some());
    drop(first);
    let mut small = BodyMemory::try_reserve(&reserved, 100, 100).expect("all memory was released");
    small.resize(10);
    assert!(BodyMemory::try_reserve(&reserved, 90, 100).is_some());
}
