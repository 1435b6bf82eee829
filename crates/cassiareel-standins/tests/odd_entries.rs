//! One odd entry that another writer left costs that entry and nothing else.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};

use cassiareel::store::{HttpObjects, HttpVms, Objects, VmList};
use test_case::test_case;

/// Depth beyond that which JSON parsers accept.
const DEEP_LEVELS: usize = 300;
/// Time for an answer.
const ANSWER_TIME: Duration = Duration::from_secs(5);

/// Serves one body to every request.
fn serve(body: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has ports");
    let addr = listener.local_addr().expect("the listener is bound");
    thread::spawn(move || {
        for stream in listener.incoming() {
            // A client that closes early has read enough.
            let _ = stream.and_then(|stream| answer(stream, &body));
        }
    });
    addr
}

fn answer<S>(mut stream: S, body: &str) -> io::Result<()>
where
    S: Read + Write,
{
    let _ = stream.read(&mut [0; 4096])?;
    let length = body.len();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    stream.write_all(body.as_bytes())
}

fn deep() -> String {
    "[".repeat(DEEP_LEVELS) + &"]".repeat(DEEP_LEVELS)
}

/// Replaces `DEEP` in an entry.
fn entry(text: &str) -> String {
    text.replace("DEEP", &deep())
}

fn instance(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","zone":"z/d0","status":"RUNNING","networkInterfaces":[{{"networkIP":"10.0.0.1"}}]}}"#
    )
}

#[test_case(r#"{"name":"odd","zone":"z/d0","status":"RUNNING","labels":DEEP}"#; "deeply nested")]
#[test_case(r#"{"name":"odd","zone":"z/d0","status":"RUNNING","networkInterfaces":[{"networkIP":"10.0.0.2","mtu":1e999}]}"#; "a number out of range")]
#[test_case(r#"{"name":"odd","zone":"z/d0","status":"RUNNING","networkInterfaces":[{"networkIP":"10.0.0.300"}]}"#; "no address")]
#[test_case(r#"{"name":"odd","zone":"z/d0","status":"RUNNING"}"#; "no interface")]
#[test_case(r#"{"name":7,"zone":"z/d0","status":"RUNNING"}"#; "a name of another type")]
#[test_case(r#"{"zone":"z/d0","status":"RUNNING"}"#; "no name")]
#[test_case("[]"; "a list")]
#[test_case("null"; "null")]
fn an_odd_instance_does_not_hide_the_others(odd: &str) {
    let items = [instance("a"), entry(odd), instance("b")].join(",");
    let addr = serve(format!(r#"{{"items":[{items}]}}"#));
    let vms = smol::block_on(HttpVms::new(addr).list()).expect("the list is read");
    let names: Vec<&str> = vms.iter().map(|vm| &*vm.name).collect();
    // An instance whose other fields can be read may be listed.
    assert!(
        names == ["a", "b"] || names == ["a", "odd", "b"],
        "{names:?}"
    );
}

fn object(name: &str, version: u64) -> String {
    format!(r#"{{"metadata":{{"name":"{name}","resourceVersion":"{version}"}},"spec":{{}}}}"#)
}

const ODD_OBJECTS: [&str; 6] = [
    r#"{"metadata":{"name":"odd","resourceVersion":"8"},"spec":DEEP}"#,
    r#"{"metadata":{"name":"odd","resourceVersion":"8"},"spec":{"port":1e999}}"#,
    r#"{"metadata":{"name":"odd","resourceVersion":"x"},"spec":{}}"#,
    r#"{"metadata":{"name":["odd"],"resourceVersion":"8"},"spec":{}}"#,
    r#"{"metadata":7}"#,
    "null",
];

#[test_case(0; "deeply nested")]
#[test_case(1; "a number out of range")]
#[test_case(2; "a version that is no number")]
#[test_case(3; "a name of another type")]
#[test_case(4; "metadata of another type")]
#[test_case(5; "null")]
fn an_odd_object_does_not_hide_the_others(odd: usize) {
    let odd = entry(ODD_OBJECTS[odd]);
    let names = |objects: &[cassiareel::store::Object]| -> Vec<String> {
        objects.iter().map(|object| object.name.clone()).collect()
    };
    let items = [object("a", 7), odd.clone(), object("b", 9)].join(",");
    let list = format!(r#"{{"metadata":{{"resourceVersion":"9"}},"items":[{items}]}}"#);
    let listing = smol::block_on(HttpObjects::new(serve(list)).list("settings"));
    let listing = listing.expect("the list is read");
    assert_eq!(
        (names(&listing.objects), listing.version),
        (vec!["a".to_owned(), "b".to_owned()], 9)
    );
    let event = |object: &str| format!("{{\"type\":\"MODIFIED\",\"object\":{object}}}\n");
    let events = event(&object("a", 7)) + &event(&odd) + &event(&object("b", 9));
    let api = HttpObjects::new(serve(events));
    let changes = smol::block_on(async {
        // The events may arrive one after another.
        let mut changes = api.watch("settings", 6, ANSWER_TIME).await?;
        if changes.len() < 2 {
            changes = api.watch("settings", 7, ANSWER_TIME).await?;
        }
        Ok::<_, cassiareel::store::StoreError>(changes)
    });
    assert_eq!(names(&changes.expect("the events are read")), ["a", "b"]);
}
