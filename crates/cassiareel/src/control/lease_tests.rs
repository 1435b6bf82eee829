//! Tests of lease candidates with an object API that fails.

use std::{sync::Arc, time::Duration};

use slog::{o, Discard, Logger};

use super::lease::{Candidate, LeaseOptions, KIND, NAME};
use crate::{
    kernel::lease::Record,
    store::{Call, Fault, MemoryObjects, Objects},
};

fn candidate(name: &str, objects: &Arc<MemoryObjects>) -> Candidate {
    let log = Logger::root(Discard, o!());
    let store: Arc<dyn Objects> = objects.clone();
    Candidate::new(
        name.into(),
        1,
        LeaseOptions::default(),
        Arc::new(store),
        log,
    )
}

#[test]
fn first_candidate_acquires_the_lease_and_the_second_does_not() {
    let objects = Arc::new(MemoryObjects::new(1));
    let (a, b) = (candidate("a", &objects), candidate("b", &objects));
    smol::block_on(async {
        for _ in 0..3 {
            a.poll().await;
            b.poll().await;
        }
    });
    assert_eq!(a.grant().map(|grant| grant.fence), Some(1));
    assert!(b.grant().is_none());
    assert_eq!(b.holder().and_then(|r| r.holder).as_deref(), Some("a"));
}

#[test]
fn lease_is_read_back_after_a_lost_answer() {
    let objects = Arc::new(MemoryObjects::new(1));
    let a = candidate("a", &objects);
    objects.inject_fault(Call::Create, 0, Fault::LoseAnswer);
    smol::block_on(async {
        for _ in 0..4 {
            a.poll().await;
        }
    });
    assert_eq!(a.grant().map(|grant| grant.fence), Some(1));
    assert_eq!(
        objects.call_counts().writes,
        1,
        "the write is not made twice"
    );
}

#[test]
fn released_lease_is_acquired_at_once_with_a_higher_fencing_number() {
    let objects = Arc::new(MemoryObjects::new(1));
    let (a, b) = (candidate("a", &objects), candidate("b", &objects));
    smol::block_on(async {
        a.poll().await;
        a.poll().await;
        assert!(a.grant().is_some());
        a.release().await;
        assert!(a.grant().is_none());
        b.poll().await;
        b.poll().await;
    });
    let grant = b.grant().expect("the lease was free");
    assert_eq!(grant.fence, 2);
    assert_eq!(
        b.command_fence(false),
        Some(2),
        "no action of the previous holder is still running"
    );
}

#[test]
fn lease_is_not_granted_without_a_store() {
    let objects = Arc::new(MemoryObjects::new(1));
    objects.set_outage(true);
    let a = candidate("a", &objects);
    smol::block_on(async {
        for _ in 0..3 {
            a.poll().await;
        }
    });
    assert!(a.grant().is_none());
    objects.set_outage(false);
    smol::block_on(async {
        a.poll().await;
        a.poll().await;
        let object = objects.get(KIND, NAME).await.unwrap().unwrap();
        let record: Record = serde_json::from_value(object.spec).unwrap();
        assert_eq!((record.holder.as_deref(), record.fence), (Some("a"), 1));
    });
    assert!(a.grant().unwrap().valid_until > Duration::ZERO);
}

#[test]
fn lease_of_a_restored_record_is_not_acquired_while_a_lost_holder_may_act() {
    let objects = Arc::new(MemoryObjects::new(1));
    let (a, b) = (candidate("a", &objects), candidate("b", &objects));
    let c = candidate("c", &objects);
    smol::block_on(async {
        a.poll().await;
        a.poll().await;
        a.release().await;
        // The copy has a free lease.
        objects.copy();
        b.poll().await;
        b.poll().await;
        assert!(b.grant().is_some());
        objects.restore();
        for _ in 0..3 {
            c.poll().await;
        }
    });
    assert!(b.grant().is_none() || c.grant().is_none());
}

/// A number that the receiver of a command refused must not come back with the answer to a renewal.
#[test]
fn refused_number_is_replaced_by_a_higher_one() {
    let objects = Arc::new(MemoryObjects::new(1));
    let a = candidate("a", &objects);
    smol::block_on(async {
        a.poll().await;
        assert_eq!(a.grant().map(|grant| grant.fence), Some(1));
        a.fence_off(1, 9);
        assert!(a.grant().is_none());
        a.poll().await;
    });
    assert_eq!(a.grant().map(|grant| grant.fence), Some(9));
}
