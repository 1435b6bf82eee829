//! Tests of the object API stand-in through cassiareel's store adapter.

use std::{net::SocketAddr, time::Duration};

use cassiareel::{
    runtime::Runtime,
    store::{HttpObjects, Object, Objects, StoreError, StoreVersion},
};
use cassiareel_standins::objects::{Faults, ObjectApi, Outage, RateLimits};
use serde_json::json;
use smol::{io::AsyncWriteExt, net::TcpListener};
use test_case::test_case;

/// Timeout of watches; longer than any test lasts.
const WATCH_TIMEOUT: Duration = Duration::from_secs(60);

fn object(version: StoreVersion, value: u32) -> Object {
    Object {
        version,
        ..Object::new("leases", "draft", json!({ "value": value }))
    }
}

#[test]
fn updates_and_deletions_require_the_current_version() {
    let api = ObjectApi::start().unwrap();
    let objects = HttpObjects::new(api.addr());
    smol::block_on(async {
        let conflict = Err(StoreError::Conflict {
            name: "draft".to_owned(),
        });
        assert_eq!(objects.get("leases", "draft").await, Ok(None));
        let v1 = objects
            .create(&object(StoreVersion::NONE, 1))
            .await
            .unwrap();
        assert_eq!(
            objects.create(&object(StoreVersion::NONE, 2)).await,
            conflict
        );
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
fn a_watch_returns_changes_before_and_after_its_start() {
    let api = ObjectApi::start().unwrap();
    let objects = HttpObjects::new(api.addr());
    smol::block_on(async {
        let v1 = objects
            .create(&object(StoreVersion::NONE, 1))
            .await
            .unwrap();
        let changes = objects
            .watch("leases", StoreVersion::NONE, WATCH_TIMEOUT)
            .await
            .unwrap();
        assert_eq!(changes, [object(v1, 1)]);
        let watch = objects.watch("leases", v1, WATCH_TIMEOUT);
        let write = async {
            objects
                .create(&Object::new("others", "o", json!(1)))
                .await
                .unwrap();
            objects.update(&object(v1, 2)).await.unwrap()
        };
        let (changes, v2) = futures_lite::future::zip(watch, write).await;
        assert_eq!(changes.unwrap(), [object(v2, 2)]);
        objects.delete(&object(v2, 2)).await.unwrap();
        let changes = objects.watch("leases", v2, WATCH_TIMEOUT).await.unwrap();
        assert_eq!(changes.len(), 1);
        assert_eq!(changes[0].spec, serde_json::Value::Null);
    });
}

#[test]
fn an_object_over_one_mebibyte_is_rejected() {
    let api = ObjectApi::start().unwrap();
    let objects = HttpObjects::new(api.addr());
    let large = Object::new("leases", "l", json!("x".repeat(1 << 20)));
    let res = smol::block_on(objects.create(&large));
    assert!(matches!(res, Err(StoreError::Invalid { .. })), "{res:?}");
}

/// The bytes that answer a write, and the error that the writer must get.
#[derive(Clone, Copy)]
struct AnswerCase {
    answer: &'static str,
    error: fn(&StoreError) -> bool,
}

const AMBIGUOUS: fn(&StoreError) -> bool = |err| matches!(err, StoreError::Ambiguous { .. });
const THROTTLED: fn(&StoreError) -> bool = |err| matches!(err, StoreError::Throttled { .. });
const INVALID: fn(&StoreError) -> bool = |err| matches!(err, StoreError::Invalid { .. });
const CONFLICT: fn(&StoreError) -> bool = |err| matches!(err, StoreError::Conflict { .. });

#[test_case(AnswerCase { answer: "", error: AMBIGUOUS }; "no bytes")]
#[test_case(AnswerCase { answer: "HTTP/1.1 201 Cre", error: AMBIGUOUS }; "half a head")]
#[test_case(AnswerCase { answer: "HTTP/1.1 201 Created\r\ncontent-length: 90\r\n\r\n{}", error: AMBIGUOUS }; "a cut body")]
#[test_case(AnswerCase { answer: "HTTP/1.1 201 Created\r\ncontent-length: 2\r\n\r\n{}", error: AMBIGUOUS }; "no version")]
#[test_case(AnswerCase { answer: "HTTP/1.1 500 Oh\r\ncontent-length: 0\r\n\r\n", error: AMBIGUOUS }; "status 500")]
#[test_case(AnswerCase { answer: "HTTP/1.1 504 Oh\r\ncontent-length: 0\r\n\r\n", error: AMBIGUOUS }; "status 504")]
#[test_case(AnswerCase { answer: "HTTP/1.1 503 Oh\r\ncontent-length: 0\r\n\r\n", error: AMBIGUOUS }; "status 503")]
#[test_case(AnswerCase { answer: "HTTP/1.1 503 Oh\r\nretry-after: 2\r\ncontent-length: 0\r\n\r\n", error: THROTTLED }; "status 503 with retry-after")]
#[test_case(AnswerCase { answer: "HTTP/1.1 429 Oh\r\ncontent-length: 0\r\n\r\n", error: THROTTLED }; "status 429")]
#[test_case(AnswerCase { answer: "HTTP/1.1 409 Oh\r\ncontent-length: 0\r\n\r\n", error: CONFLICT }; "status 409")]
#[test_case(AnswerCase { answer: "HTTP/1.1 422 Oh\r\ncontent-length: 0\r\n\r\n", error: INVALID }; "status 422")]
fn a_write_is_reported_as_not_applied_only_if_that_is_certain(case: AnswerCase) {
    let runtime = Runtime::new("once", 1);
    let (addr, served) = answer_once(&runtime, case.answer);
    let res = smol::block_on(HttpObjects::new(addr).create(&object(StoreVersion::NONE, 1)));
    let err = res.unwrap_err();
    assert!((case.error)(&err), "{err:?}");
    smol::block_on(served);
}

#[test]
fn a_write_without_a_connection_is_not_applied() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let res = smol::block_on(HttpObjects::new(addr).create(&object(StoreVersion::NONE, 1)));
    assert!(matches!(res, Err(StoreError::NotApplied { .. })), "{res:?}");
}

/// Accepts one connection, reads a request's head, writes `answer` and closes the connection.
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

/// The faults during a write, the error that the writer gets, and whether the write was applied.
#[derive(Clone, Copy)]
struct FaultCase {
    faults: Faults,
    error: fn(&StoreError) -> bool,
    applied: bool,
}

const NO_FAULTS: Faults = Faults {
    outage: None,
    delay_ms: 0,
    lose_after: 0.0,
    lose_before: 0.0,
    stale: 0.0,
    stale_writes: 0,
    drop_watch: 0.0,
};

#[test_case(FaultCase { faults: Faults { lose_after: 1.0, ..NO_FAULTS }, error: AMBIGUOUS, applied: true }; "answer lost")]
#[test_case(FaultCase { faults: Faults { lose_before: 1.0, ..NO_FAULTS }, error: AMBIGUOUS, applied: false }; "call lost")]
#[test_case(FaultCase { faults: Faults { outage: Some(Outage::Refuse), ..NO_FAULTS }, error: THROTTLED, applied: false }; "refusing")]
#[test_case(FaultCase { faults: Faults { outage: Some(Outage::Fail), ..NO_FAULTS }, error: AMBIGUOUS, applied: false }; "failing")]
#[test_case(FaultCase { faults: Faults { outage: Some(Outage::Hang), ..NO_FAULTS }, error: AMBIGUOUS, applied: false }; "hanging")]
#[test_case(FaultCase { faults: Faults { delay_ms: 5_000, ..NO_FAULTS }, error: AMBIGUOUS, applied: false }; "slow")]
fn a_fault_affects_a_write_as_configured(case: FaultCase) {
    let api = ObjectApi::start().unwrap();
    let objects = HttpObjects::new(api.addr()).timeout(Duration::from_millis(300));
    smol::block_on(async {
        api.set_faults(case.faults);
        let err = objects
            .create(&object(StoreVersion::NONE, 1))
            .await
            .unwrap_err();
        assert!((case.error)(&err), "{err:?}");
        api.set_faults(NO_FAULTS);
        let found = objects.get("leases", "draft").await.unwrap();
        assert_eq!(found.is_some(), case.applied);
    });
}

#[test]
fn a_stale_replica_answers_reads_but_does_not_check_writes() {
    let api = ObjectApi::start().unwrap();
    let objects = HttpObjects::new(api.addr());
    smol::block_on(async {
        let v1 = objects
            .create(&object(StoreVersion::NONE, 1))
            .await
            .unwrap();
        let v2 = objects.update(&object(v1, 2)).await.unwrap();
        api.set_faults(Faults {
            stale: 1.0,
            stale_writes: 1,
            ..NO_FAULTS
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
        let v1 = objects
            .create(&object(StoreVersion::NONE, 1))
            .await
            .unwrap();
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
fn a_cut_watch_fails_and_loses_no_change() {
    let api = ObjectApi::start().unwrap();
    let objects = HttpObjects::new(api.addr());
    smol::block_on(async {
        let v1 = objects
            .create(&object(StoreVersion::NONE, 1))
            .await
            .unwrap();
        let watch = objects.watch("leases", v1, WATCH_TIMEOUT);
        let cut = async {
            while api.call_counts().open_watches == 0 {
                smol::Timer::after(Duration::from_millis(1)).await;
            }
            api.set_faults(Faults {
                drop_watch: 1.0,
                ..NO_FAULTS
            });
            objects.update(&object(v1, 2)).await.unwrap()
        };
        let (changes, v2) = futures_lite::future::zip(watch, cut).await;
        assert!(
            matches!(changes, Err(StoreError::NotApplied { .. })),
            "{changes:?}"
        );
        let changes = objects.watch("leases", v1, WATCH_TIMEOUT).await.unwrap();
        assert_eq!(changes, [object(v2, 2)]);
    });
}

#[test]
fn a_watch_from_a_discarded_version_has_expired() {
    let runtime = Runtime::new("once", 1);
    let answer = "HTTP/1.1 410 Gone\r\ncontent-length: 0\r\n\r\n";
    let (addr, served) = answer_once(&runtime, answer);
    let res = smol::block_on(HttpObjects::new(addr).watch(
        "leases",
        StoreVersion::new(0, 1),
        WATCH_TIMEOUT,
    ));
    assert_eq!(res, Err(StoreError::Expired));
    smol::block_on(served);
}

#[test]
fn a_restored_store_gives_revisions_again_in_a_new_era() {
    let api = ObjectApi::start().unwrap();
    let objects = HttpObjects::new(api.addr());
    smol::block_on(async {
        let v1 = objects
            .create(&object(StoreVersion::NONE, 1))
            .await
            .unwrap();
        api.copy();
        let lost = objects.update(&object(v1, 2)).await.unwrap();
        api.restore();
        let found = objects.get("leases", "draft").await.unwrap().unwrap();
        assert_eq!(found.spec, json!({ "value": 1 }));
        assert_eq!((found.version.era(), objects.era()), (1, 1));
        let again = objects.update(&object(found.version, 3)).await.unwrap();
        assert_eq!(again.revision(), lost.revision());
        assert!(again > lost);
    });
}

/// A call with a version of the era before a restore.
#[derive(Clone, Copy, Debug)]
enum OldCall {
    Update,
    Delete,
    Watch,
}

#[test_case(OldCall::Update, false; "an update")]
#[test_case(OldCall::Update, true; "an update by a client that knows the new era")]
#[test_case(OldCall::Delete, false; "a deletion")]
#[test_case(OldCall::Watch, false; "a watch")]
#[test_case(OldCall::Watch, true; "a watch by a client that knows the new era")]
fn a_version_of_an_earlier_era_names_nothing(call: OldCall, knows_era: bool) {
    let api = ObjectApi::start().unwrap();
    let objects = HttpObjects::new(api.addr());
    smol::block_on(async {
        api.copy();
        let lost = objects
            .create(&object(StoreVersion::NONE, 1))
            .await
            .unwrap();
        api.restore();
        // Another client writes an object of the same name and revision.
        let other = HttpObjects::new(api.addr());
        let again = other.create(&object(StoreVersion::NONE, 2)).await.unwrap();
        assert_eq!(again.revision(), lost.revision());
        if knows_era {
            objects.get("leases", "other").await.unwrap();
        }
        let error = match call {
            OldCall::Update => objects.update(&object(lost, 3)).await.unwrap_err(),
            OldCall::Delete => objects.delete(&object(lost, 3)).await.unwrap_err(),
            OldCall::Watch => {
                let watch = objects.watch("leases", lost, WATCH_TIMEOUT).await;
                assert_eq!(watch, Err(StoreError::Expired));
                return;
            }
        };
        assert!(CONFLICT(&error), "{error:?}");
        let found = other.get("leases", "draft").await.unwrap();
        assert_eq!(found, Some(object(again, 2)));
    });
}

#[test]
fn a_watch_from_a_revision_that_the_store_lost_has_expired() {
    let api = ObjectApi::start().unwrap();
    let objects = HttpObjects::new(api.addr());
    let unknown = StoreVersion::new(0, 7);
    let res = smol::block_on(objects.watch("leases", unknown, WATCH_TIMEOUT));
    assert_eq!(res, Err(StoreError::Expired));
}

#[test]
fn a_write_that_a_store_takes_in_another_era_is_ambiguous() {
    let runtime = Runtime::new("once", 1);
    let answer = "HTTP/1.1 200 OK\r\nx-object-era: 1\r\ncontent-length: 46\r\n\r\n\
                  {\"metadata\":{\"name\":\"draft\",\"resourceVersion\":\"4\"}}";
    let (addr, served) = answer_once(&runtime, answer);
    let old = object(StoreVersion::new(0, 3), 1);
    let res = smol::block_on(HttpObjects::new(addr).update(&old));
    assert!(matches!(res, Err(StoreError::Ambiguous { .. })), "{res:?}");
    smol::block_on(served);
}

#[test_case(""; "no era")]
#[test_case("x-object-era: one\r\n"; "an era that is no number")]
fn an_answer_without_an_era_is_not_believed_after_one_with_an_era(header: &'static str) {
    let body = r#"{"metadata":{"name":"draft","resourceVersion":"4"}}"#;
    let answer = |header: &str| {
        let length = body.len();
        format!("HTTP/1.1 200 OK\r\n{header}content-length: {length}\r\n\r\n{body}")
    };
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let objects = HttpObjects::new(listener.local_addr().unwrap());
    let answers = [answer("x-object-era: 1\r\n"), answer(header)];
    let server = std::thread::spawn(move || {
        for answer in answers {
            let (mut stream, _) = listener.accept().unwrap();
            let _ = std::io::Read::read(&mut stream, &mut [0; 4096]).unwrap();
            std::io::Write::write_all(&mut stream, answer.as_bytes()).unwrap();
        }
    });
    smol::block_on(async {
        let found = objects.get("leases", "draft").await.unwrap().unwrap();
        assert_eq!(found.version, StoreVersion::new(1, 4));
        let res = objects.get("leases", "draft").await;
        assert!(matches!(res, Err(StoreError::NotApplied { .. })), "{res:?}");
    });
    server.join().unwrap();
}
