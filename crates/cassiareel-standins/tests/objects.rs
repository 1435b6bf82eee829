//! The object API through cassiareel's own adapter.

use std::{net::SocketAddr, time::Duration};

use cassiareel::{
    runtime::Runtime,
    store::{HttpObjects, Object, Objects, StoreError},
};
use cassiareel_standins::objects::{Faults, ObjectApi, Outage, RateLimits};
use serde_json::json;
use smol::{io::AsyncWriteExt, net::TcpListener};
use test_case::test_case;

/// Longer than any test lasts.
const LONG: Duration = Duration::from_secs(60);

fn object(version: u64, value: u32) -> Object {
    Object {
        version,
        ..Object::new("leases", "draft", json!({ "value": value }))
    }
}

#[test]
fn updates_and_deletions_name_the_version_that_they_replace() {
    let api = ObjectApi::start().unwrap();
    let objects = HttpObjects::new(api.addr());
    smol::block_on(async {
        let conflict = Err(StoreError::Conflict {
            name: "draft".to_owned(),
        });
        assert_eq!(objects.get("leases", "draft").await, Ok(None));
        let v1 = objects.create(&object(0, 1)).await.unwrap();
        assert_eq!(objects.create(&object(0, 2)).await, conflict);
        let v2 = objects.update(&object(v1, 2)).await.unwrap();
        assert!(v2 > v1);
        assert_eq!(objects.update(&object(v1, 3)).await, conflict);
        assert_eq!(
            objects.get("leases", "draft").await,
            Ok(Some(object(v2, 2)))
        );
        assert!(objects.delete(&object(v1, 2)).await.is_err());
        assert_eq!(
            objects.list("leases").await.unwrap().objects,
            [object(v2, 2)]
        );
        objects.delete(&object(v2, 2)).await.unwrap();
        assert_eq!(objects.get("leases", "draft").await, Ok(None));
        assert_eq!(objects.update(&object(v2, 3)).await, conflict);
    });
}

#[test]
fn a_watch_shows_what_came_before_it_and_what_comes_after() {
    let api = ObjectApi::start().unwrap();
    let objects = HttpObjects::new(api.addr());
    smol::block_on(async {
        let v1 = objects.create(&object(0, 1)).await.unwrap();
        let seen = objects.watch("leases", 0, LONG).await.unwrap();
        assert_eq!(seen, [object(v1, 1)]);
        let later = objects.watch("leases", v1, LONG);
        let write = async {
            objects
                .create(&Object::new("others", "o", json!(1)))
                .await
                .unwrap();
            objects.update(&object(v1, 2)).await.unwrap()
        };
        let (seen, v2) = futures_lite::future::zip(later, write).await;
        assert_eq!(seen.unwrap(), [object(v2, 2)]);
        objects.delete(&object(v2, 2)).await.unwrap();
        let seen = objects.watch("leases", v2, LONG).await.unwrap();
        assert_eq!(seen.len(), 1);
        assert_eq!(seen[0].spec, serde_json::Value::Null);
    });
}

#[test]
fn an_object_over_a_megabyte_is_refused() {
    let api = ObjectApi::start().unwrap();
    let objects = HttpObjects::new(api.addr());
    let large = Object::new("leases", "l", json!("x".repeat(1 << 20)));
    let res = smol::block_on(objects.create(&large));
    assert!(matches!(res, Err(StoreError::Invalid { .. })), "{res:?}");
}

/// What comes back to a write, and what the writer may conclude.
#[derive(Clone, Copy)]
struct Case {
    answer: &'static str,
    error: fn(&StoreError) -> bool,
}

const AMBIGUOUS: fn(&StoreError) -> bool = |err| matches!(err, StoreError::Ambiguous { .. });
const THROTTLED: fn(&StoreError) -> bool = |err| matches!(err, StoreError::Throttled { .. });
const INVALID: fn(&StoreError) -> bool = |err| matches!(err, StoreError::Invalid { .. });
const CONFLICT: fn(&StoreError) -> bool = |err| matches!(err, StoreError::Conflict { .. });

#[test_case(Case { answer: "", error: AMBIGUOUS }; "nothing")]
#[test_case(Case { answer: "HTTP/1.1 201 Cre", error: AMBIGUOUS }; "half a head")]
#[test_case(Case { answer: "HTTP/1.1 201 Created\r\ncontent-length: 90\r\n\r\n{}", error: AMBIGUOUS }; "a cut body")]
#[test_case(Case { answer: "HTTP/1.1 201 Created\r\ncontent-length: 2\r\n\r\n{}", error: AMBIGUOUS }; "no version")]
#[test_case(Case { answer: "HTTP/1.1 500 Oh\r\ncontent-length: 0\r\n\r\n", error: AMBIGUOUS }; "status 500")]
#[test_case(Case { answer: "HTTP/1.1 504 Oh\r\ncontent-length: 0\r\n\r\n", error: AMBIGUOUS }; "status 504")]
#[test_case(Case { answer: "HTTP/1.1 503 Oh\r\ncontent-length: 0\r\n\r\n", error: AMBIGUOUS }; "status 503")]
#[test_case(Case { answer: "HTTP/1.1 503 Oh\r\nretry-after: 2\r\ncontent-length: 0\r\n\r\n", error: THROTTLED }; "status 503 with a time")]
#[test_case(Case { answer: "HTTP/1.1 429 Oh\r\ncontent-length: 0\r\n\r\n", error: THROTTLED }; "status 429")]
#[test_case(Case { answer: "HTTP/1.1 409 Oh\r\ncontent-length: 0\r\n\r\n", error: CONFLICT }; "status 409")]
#[test_case(Case { answer: "HTTP/1.1 422 Oh\r\ncontent-length: 0\r\n\r\n", error: INVALID }; "status 422")]
fn a_write_is_called_undone_only_where_that_is_sure(case: Case) {
    let runtime = Runtime::new("once", 1);
    let (addr, served) = answer_once(&runtime, case.answer);
    let res = smol::block_on(HttpObjects::new(addr).create(&object(0, 1)));
    let err = res.unwrap_err();
    assert!((case.error)(&err), "{err:?}");
    smol::block_on(served);
}

#[test]
fn a_write_without_a_connection_is_not_done() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let res = smol::block_on(HttpObjects::new(addr).create(&object(0, 1)));
    assert!(matches!(res, Err(StoreError::NotApplied { .. })), "{res:?}");
}

/// Reads a request's head, answers with these bytes and closes.
fn answer_once(runtime: &Runtime, answer: &'static str) -> (SocketAddr, smol::Task<()>) {
    let listener = smol::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let addr = listener.local_addr().unwrap();
    let task = runtime.spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 4096];
        let _ = smol::io::AsyncReadExt::read(&mut stream, &mut buf).await;
        stream.write_all(answer.as_bytes()).await.unwrap();
    });
    (addr, task)
}

/// A fault that meets a write, what the writer is told, and whether it took effect.
#[derive(Clone, Copy)]
struct Met {
    faults: Faults,
    error: fn(&StoreError) -> bool,
    done: bool,
}

const NONE: Faults = Faults {
    outage: None,
    delay_ms: 0,
    lose_after: 0.0,
    lose_before: 0.0,
    stale: 0.0,
    stale_writes: 0,
    drop_watch: 0.0,
};

#[test_case(Met { faults: Faults { lose_after: 1.0, ..NONE }, error: AMBIGUOUS, done: true }; "answer lost")]
#[test_case(Met { faults: Faults { lose_before: 1.0, ..NONE }, error: AMBIGUOUS, done: false }; "call lost")]
#[test_case(Met { faults: Faults { outage: Some(Outage::Refuse), ..NONE }, error: THROTTLED, done: false }; "refusing")]
#[test_case(Met { faults: Faults { outage: Some(Outage::Fail), ..NONE }, error: AMBIGUOUS, done: false }; "failing")]
#[test_case(Met { faults: Faults { outage: Some(Outage::Hang), ..NONE }, error: AMBIGUOUS, done: false }; "hanging")]
#[test_case(Met { faults: Faults { delay_ms: 5_000, ..NONE }, error: AMBIGUOUS, done: false }; "slow")]
fn a_fault_meets_a_write_as_told(met: Met) {
    let api = ObjectApi::start().unwrap();
    let objects = HttpObjects::new(api.addr()).timeout(Duration::from_millis(300));
    smol::block_on(async {
        api.set_faults(met.faults);
        let err = objects.create(&object(0, 1)).await.unwrap_err();
        assert!((met.error)(&err), "{err:?}");
        api.set_faults(NONE);
        let found = objects.get("leases", "draft").await.unwrap();
        assert_eq!(found.is_some(), met.done);
    });
}

#[test]
fn an_old_replica_answers_reads_but_does_not_judge_writes() {
    let api = ObjectApi::start().unwrap();
    let objects = HttpObjects::new(api.addr());
    smol::block_on(async {
        let v1 = objects.create(&object(0, 1)).await.unwrap();
        let v2 = objects.update(&object(v1, 2)).await.unwrap();
        api.set_faults(Faults {
            stale: 1.0,
            stale_writes: 1,
            ..NONE
        });
        let found = objects.get("leases", "draft").await.unwrap();
        assert_eq!(found, Some(object(v1, 1)));
        let listing = objects.list("leases").await.unwrap();
        assert_eq!(
            (listing.objects, listing.version),
            (vec![object(v1, 1)], v1)
        );
        assert!(objects.update(&object(v1, 3)).await.is_err());
        objects.delete(&object(v2, 2)).await.unwrap();
        let found = objects.get("leases", "draft").await.unwrap();
        assert_eq!(found, Some(object(v2, 2)));
    });
}

#[test]
fn a_call_over_the_rate_is_throttled_and_counted() {
    let rates = RateLimits {
        reads_per_second: 1_000.0,
        writes_per_second: 0.001,
    };
    let api = ObjectApi::bind(([127, 0, 0, 1], 0).into(), rates, 1).unwrap();
    let objects = HttpObjects::new(api.addr());
    smol::block_on(async {
        let v1 = objects.create(&object(0, 1)).await.unwrap();
        let err = objects.update(&object(v1, 2)).await.unwrap_err();
        assert!(THROTTLED(&err), "{err:?}");
        let found = objects.get("leases", "draft").await.unwrap();
        assert_eq!(found, Some(object(v1, 1)));
    });
    let counts = api.call_counts();
    assert_eq!((counts.reads, counts.writes, counts.throttled), (1, 2, 1));
    assert_eq!(counts.by_kind["PUT leases"], 1);
}

#[test]
fn a_watch_that_is_cut_is_an_error_and_loses_nothing() {
    let api = ObjectApi::start().unwrap();
    let objects = HttpObjects::new(api.addr());
    smol::block_on(async {
        let v1 = objects.create(&object(0, 1)).await.unwrap();
        let watch = objects.watch("leases", v1, LONG);
        let cut = async {
            while api.call_counts().open_watches == 0 {
                smol::Timer::after(Duration::from_millis(1)).await;
            }
            api.set_faults(Faults {
                drop_watch: 1.0,
                ..NONE
            });
            objects.update(&object(v1, 2)).await.unwrap()
        };
        let (seen, v2) = futures_lite::future::zip(watch, cut).await;
        assert!(
            matches!(seen, Err(StoreError::NotApplied { .. })),
            "{seen:?}"
        );
        let seen = objects.watch("leases", v1, LONG).await.unwrap();
        assert_eq!(seen, [object(v2, 2)]);
    });
}

#[test]
fn a_watch_from_a_forgotten_version_has_expired() {
    let runtime = Runtime::new("once", 1);
    let gone = "HTTP/1.1 410 Gone\r\ncontent-length: 0\r\n\r\n";
    let (addr, served) = answer_once(&runtime, gone);
    let res = smol::block_on(HttpObjects::new(addr).watch("leases", 1, LONG));
    assert_eq!(res, Err(StoreError::Expired));
    smol::block_on(served);
}
