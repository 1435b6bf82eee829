//! The object API through cassiareel's own adapter.

use std::{net::SocketAddr, time::Duration};

use cassiareel::{
    platform::{HttpObjects, Object, Objects, StoreError},
    runtime::Runtime,
};
use cassiareel_standins::objects::ObjectApi;
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
    assert!(matches!(res, Err(StoreError::NotDone { .. })), "{res:?}");
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
