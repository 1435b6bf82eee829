//! Tests of the in-memory object API.

use std::time::Duration;

use serde_json::json;
use test_case::test_case;

use super::{
    Call, Fault, FaultRates, MemoryObjects, Object, Objects, StoreError, StoreVersion,
    MAX_OBJECT_BYTES,
};

fn object(version: StoreVersion, value: u64) -> Object {
    Object {
        version,
        ..Object::new("k", "a", json!({ "value": value }))
    }
}

#[test]
fn updates_are_conditional() {
    smol::block_on(async {
        let store = MemoryObjects::new(1);
        let v1 = store.create(&object(StoreVersion::NONE, 1)).await.unwrap();
        let conflict = Err(StoreError::Conflict { name: "a".into() });
        assert_eq!(store.create(&object(StoreVersion::NONE, 2)).await, conflict);
        let v2 = store.update(&object(v1, 2)).await.unwrap();
        assert!(v2 > v1);
        assert_eq!(store.update(&object(v1, 3)).await, conflict);
        assert!(store.delete(&object(v1, 0)).await.is_err());
        store.delete(&object(v2, 0)).await.unwrap();
        assert_eq!(store.get("k", "a").await.unwrap(), None);
        assert_eq!(store.update(&object(v2, 3)).await, conflict);
    });
}

struct Case {
    fault: Fault,
    error: StoreError,
    done: bool,
}

#[test_case(Case {
    fault: Fault::Refuse,
    error: StoreError::NotApplied { cause: "injected fault".into() },
    done: false,
})]
#[test_case(Case {
    fault: Fault::LoseAnswer,
    error: StoreError::Ambiguous { cause: "injected fault".into() },
    done: true,
})]
#[test_case(Case {
    fault: Fault::LoseCall,
    error: StoreError::Ambiguous { cause: "injected fault".into() },
    done: false,
})]
#[test_case(Case {
    fault: Fault::Throttle(Duration::from_secs(1)),
    error: StoreError::Throttled { wait: Duration::from_secs(1) },
    done: false,
})]
fn scripted_fault_affects_the_chosen_call(case: Case) {
    smol::block_on(async {
        let store = MemoryObjects::new(1);
        store.inject_fault(Call::Update, 1, case.fault);
        let version = store.create(&object(StoreVersion::NONE, 1)).await.unwrap();
        let version = store.update(&object(version, 2)).await.unwrap();
        assert_eq!(store.update(&object(version, 3)).await, Err(case.error));
        let kept = store.get("k", "a").await.unwrap().unwrap();
        let value = if case.done { 3 } else { 2 };
        assert_eq!(kept.spec, json!({ "value": value }));
    });
}

#[test]
fn lagging_store_answers_from_an_older_state() {
    smol::block_on(async {
        let store = MemoryObjects::new(1);
        let v1 = store.create(&object(StoreVersion::NONE, 1)).await.unwrap();
        store.update(&object(v1, 2)).await.unwrap();
        store.set_read_lag(1);
        assert_eq!(store.get("k", "a").await.unwrap().unwrap(), object(v1, 1));
        store.set_read_lag(2);
        assert_eq!(store.list("k").await.unwrap().objects, Vec::new());
    });
}

#[test]
fn outage_rejects_calls_and_large_object_is_invalid() {
    smol::block_on(async {
        let store = MemoryObjects::new(1);
        let large = Object::new("k", "b", json!("x".repeat(MAX_OBJECT_BYTES)));
        let res = store.create(&large).await;
        assert!(matches!(res, Err(StoreError::Invalid { .. })));
        store.set_outage(true);
        let res = store.create(&object(StoreVersion::NONE, 1)).await;
        assert!(matches!(res, Err(StoreError::NotApplied { .. })));
        store.set_outage(false);
        store.create(&object(StoreVersion::NONE, 1)).await.unwrap();
    });
}

#[test]
fn watch_returns_the_next_write_of_its_kind() {
    smol::block_on(async {
        let store = MemoryObjects::new(1);
        let v1 = store.create(&object(StoreVersion::NONE, 1)).await.unwrap();
        let hour = Duration::from_secs(3600);
        let watch = store.watch("k", v1, hour);
        let write = async {
            store
                .create(&Object::new("other", "b", json!(1)))
                .await
                .unwrap();
            store.update(&object(v1, 2)).await.unwrap()
        };
        let (seen, v2) = smol::future::zip(watch, write).await;
        assert_eq!(seen.unwrap(), vec![object(v2, 2)]);
        let none = store.watch("k", v2, Duration::ZERO).await.unwrap();
        assert!(none.is_empty());
    });
}

#[test]
fn random_faults_are_determined_by_the_seed() {
    let run = |seed| {
        smol::block_on(async {
            let store = MemoryObjects::new(seed);
            store.set_fault_rates(FaultRates {
                refuse: 0.2,
                lose_answer: 0.2,
                lose_call: 0.2,
                stale: 0.2,
                stale_writes: 3,
            });
            let mut results = Vec::new();
            for i in 0..50 {
                let new = Object::new("k", &format!("o{i}"), json!(i));
                results.push(store.create(&new).await.is_ok());
            }
            results
        })
    };
    assert_eq!(run(7), run(7));
    assert_ne!(run(7), run(8));
}

#[test]
fn watch_reports_a_deletion_with_a_null_spec() {
    smol::block_on(async {
        let store = MemoryObjects::new(1);
        let v1 = store.create(&object(StoreVersion::NONE, 1)).await.unwrap();
        store.delete(&object(v1, 1)).await.unwrap();
        let seen = store.watch("k", v1, Duration::ZERO).await.unwrap();
        assert_eq!(seen.len(), 1);
        assert_eq!(seen[0].spec, serde_json::Value::Null);
        assert!(seen[0].version > v1);
        let listing = store.list("k").await.unwrap();
        assert_eq!(
            (listing.objects, listing.version),
            (Vec::new(), seen[0].version)
        );
    });
}

#[test]
fn restored_store_gives_revisions_again_in_a_new_era() {
    smol::block_on(async {
        let store = MemoryObjects::new(1);
        let v1 = store.create(&object(StoreVersion::NONE, 1)).await.unwrap();
        store.copy();
        let lost = store.update(&object(v1, 2)).await.unwrap();
        store.restore();
        let found = store.get("k", "a").await.unwrap().unwrap();
        assert_eq!(found, object(StoreVersion::new(1, v1.revision()), 1));
        let again = store.update(&object(found.version, 3)).await.unwrap();
        assert_eq!(again.revision(), lost.revision());
        let conflict = Err(StoreError::Conflict { name: "a".into() });
        assert_eq!(store.update(&object(lost, 4)).await, conflict);
        let watch = store.watch("k", lost, Duration::ZERO).await;
        assert_eq!(watch, Err(StoreError::Expired));
    });
}

#[test]
fn restore_ends_a_running_watch() {
    smol::block_on(async {
        let store = MemoryObjects::new(1);
        let v1 = store.create(&object(StoreVersion::NONE, 1)).await.unwrap();
        store.copy();
        let watch = store.watch("k", v1, Duration::from_secs(3600));
        let restore = async { store.restore() };
        let (seen, ()) = smol::future::zip(watch, restore).await;
        assert_eq!(seen, Err(StoreError::Expired));
    });
}
