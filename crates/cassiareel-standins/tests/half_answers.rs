//! Answers that end early: none counts as whole, whether its sender closes or resets the connection.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

use cassiareel::{
    backend::{Call, CallError, Engine, HttpEngine, HttpService, Service},
    store::{HttpObjects, HttpVms, Object, Objects, StoreError, VmList},
};
use http_types::Method;
use rustix::net::sockopt::set_socket_linger;
use test_case::test_case;

/// Time for a complete answer.
const ANSWER_TIME: Duration = Duration::from_secs(4);

/// Pause between two pieces of an answer, after which the first has been read.
const PIECE_PAUSE: Duration = Duration::from_millis(60);

/// How a connection ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Close,
    Reset,
    /// The connection stays open.
    Keep,
}

/// An answer in raw bytes.
#[derive(Clone, Copy)]
struct Wire {
    /// Pieces that are sent with a pause after each.
    pieces: &'static [&'static str],
    end: End,
}

/// Serves the same raw answer on each connection.
fn serve(wire: Wire) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has ports");
    let addr = listener.local_addr().expect("the listener is bound");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || answer(stream, wire));
        }
    });
    addr
}

/// Reads a request and writes the answer. A client that closes early has read enough.
fn answer(mut stream: TcpStream, wire: Wire) {
    let mut reader = BufReader::new(stream.try_clone().expect("an open socket"));
    read_request(&mut reader);
    stream.set_nodelay(true).expect("an open socket");
    for piece in wire.pieces {
        let _ = stream.write_all(piece.as_bytes());
        thread::sleep(PIECE_PAUSE);
    }
    match wire.end {
        End::Close => {}
        End::Reset => {
            set_socket_linger(&stream, Some(Duration::ZERO)).expect("an open socket");
        }
        End::Keep => {
            let _ = reader.read(&mut [0]);
        }
    }
}

/// Reads a request to the end of its body.
fn read_request(reader: &mut BufReader<TcpStream>) {
    let mut length = 0;
    loop {
        let mut line = String::new();
        let read = reader.read_line(&mut line).unwrap_or_default();
        let line = line.trim().to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap_or_default();
        }
        if read == 0 || line.is_empty() {
            break;
        }
    }
    let _ = reader.read_exact(&mut vec![0; length]);
}

const SIZED: &str = "HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const UNSIZED: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";

/// The body of a whole answer.
const BODY: &str = "engraved";

const fn cut(pieces: &'static [&'static str]) -> Wire {
    Wire {
        pieces,
        end: End::Close,
    }
}

fn call() -> Call {
    Call {
        method: Method::Post,
        path: "/engrave".to_owned(),
        media_type: None,
        body: b"gift set".to_vec().into(),
        id: "order".to_owned(),
    }
}

#[test_case(cut(&[]); "nothing")]
#[test_case(cut(&["HTTP/1.1 2"]); "half a status line")]
#[test_case(cut(&["HTTP/1.1 200 OK\r\n"]); "a status line")]
#[test_case(cut(&["HTTP/1.1 200 OK\r\nconte"]); "inside a header")]
#[test_case(cut(&["HTTP/1.1 200 OK\r\nconnection: close\r\n"]); "between headers")]
#[test_case(cut(&["HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r"]); "inside the blank line")]
#[test_case(cut(&["HTTP/1.1 200 OK\r\n", "content-length: 8\r\n"]); "between headers in pieces")]
#[test_case(cut(&["HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\n", "engr"]); "an encoding without chunks")]
#[test_case(cut(&["HTTP/1.1 100 Continue\r\n\r\n"]); "after 100")]
#[test_case(cut(&["HTTP/1.1 102 Processing\r\n\r\n"]); "after 102")]
#[test_case(cut(&["HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"]); "after 103")]
#[test_case(cut(&["HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 200 OK\r\ncont"]); "after 100 inside a header")]
#[test_case(cut(&["HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\n"]); "101")]
#[test_case(cut(&[SIZED]); "before a body with a length")]
#[test_case(cut(&[SIZED, "engra"]); "inside a body with a length")]
#[test_case(cut(&["HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 8\r\n\r\n", "engrave"]); "inside a body with a length and a close")]
#[test_case(cut(&[CHUNKED]); "before chunks")]
#[test_case(cut(&[CHUNKED, "8"]); "inside a size line")]
#[test_case(cut(&[CHUNKED, "8\r\nengra"]); "inside a chunk")]
#[test_case(cut(&[CHUNKED, "8\r\nengraved"]); "before the end of a chunk")]
#[test_case(cut(&[CHUNKED, "8\r\nengraved\r\n"]); "before the last chunk")]
#[test_case(cut(&[CHUNKED, "8\r\nengraved\r\n0"]); "inside the last size line")]
#[test_case(cut(&[CHUNKED, "8\r\nengraved\r\n0\r\nx: 1\r\n"]); "inside trailers")]
fn an_answer_that_ends_early_is_lost(wire: Wire) {
    for end in [End::Close, End::Reset] {
        let addr = serve(Wire { end, ..wire });
        let answer = smol::block_on(HttpService::new(addr, ANSWER_TIME).call(&call()));
        assert!(
            matches!(answer, Err(CallError::Unknown { .. })),
            "{end:?}: {answer:?}"
        );
    }
}

#[test_case(Wire { pieces: &[UNSIZED, "engraved"], end: End::Reset }; "no length and a reset")]
#[test_case(Wire { pieces: &["HTTP/1.1 200 OK\r\n\r\n"], end: End::Reset }; "no header and a reset")]
fn an_answer_without_a_length_is_lost_if_it_is_reset(wire: Wire) {
    let answer = smol::block_on(HttpService::new(serve(wire), ANSWER_TIME).call(&call()));
    assert!(
        matches!(answer, Err(CallError::Unknown { .. })),
        "{answer:?}"
    );
}

#[test_case(cut(&[SIZED, BODY]); "a length")]
#[test_case(cut(&[CHUNKED, "8\r\nengraved\r\n0\r\n\r\n"]); "chunks")]
#[test_case(cut(&["HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n", "8\r\nengraved\r\n0\r\n\r\n"]); "chunks, their name in other letters")]
#[test_case(cut(&[UNSIZED, BODY]); "no length")]
#[test_case(cut(&[UNSIZED, "engr", "aved"]); "no length, in pieces")]
#[test_case(cut(&["HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nengr", "aved"]); "no length, a part with the head")]
#[test_case(Wire { end: End::Keep, ..cut(&["HTTP/1.1 100 Continue\r\n\r\n", SIZED, BODY]) }; "after 100")]
#[test_case(Wire { end: End::Keep, ..cut(&["HTTP/1.1 102 Processing\r\n\r\n", SIZED, BODY]) }; "after 102")]
#[test_case(Wire { end: End::Keep, ..cut(&["HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 200 OK\r\n", "content-length: 8\r\n\r\nengraved"]) }; "after 103 in one piece")]
#[test_case(cut(&["HTTP/1.1 100 Continue\r\n\r\n", UNSIZED, BODY]); "after 100, no length")]
#[test_case(Wire { end: End::Keep, ..cut(&["HTTP/1.1 200 ", "OK\r", "\ncontent-len", "gth: 8\r\n\r", "\neng", "raved"]) }; "a length, in pieces")]
#[test_case(Wire { end: End::Keep, ..cut(&[CHUNKED, "8", "\r", "\neng", "raved", "\r", "\n0", "\r\n", "\r\n"]) }; "chunks, in pieces")]
fn a_whole_answer_arrives(wire: Wire) {
    let answer = smol::block_on(HttpService::new(serve(wire), ANSWER_TIME).call(&call()));
    let answer = answer.expect("a whole answer");
    assert_eq!(
        (answer.status, String::from_utf8_lossy(&answer.body)),
        (200, BODY.into())
    );
}

#[test_case(&[CHUNKED, "8\r\nengraved\r\n0\r\n\r", "\n"]; "inside the last line break")]
#[test_case(&[CHUNKED, "8\r\nengraved\r\n0\r\nx: 1", "\r\n\r\n"]; "inside a trailer")]
#[test_case(&[CHUNKED, "8\r\nengraved\r\n0\r\nx: 1\r\n", "\r\n"]; "behind a trailer")]
fn a_chunked_answer_whose_end_comes_in_pieces_is_not_awaited_in_vain(
    pieces: &'static [&'static str],
) {
    let began = std::time::Instant::now();
    let addr = serve(Wire {
        pieces,
        end: End::Keep,
    });
    let answer = smol::block_on(HttpService::new(addr, ANSWER_TIME).call(&call()));
    assert_eq!(answer.expect("a whole answer").body, BODY.as_bytes());
    assert!(began.elapsed() < ANSWER_TIME, "{:?}", began.elapsed());
}

/// The end of a store's or an engine's answer, and whether it is whole.
struct ControlCase {
    head: &'static str,
    /// The part of the body that is sent.
    share: f64,
    end: End,
    whole: bool,
}

const CONTROL: ControlCase = ControlCase {
    head: UNSIZED,
    share: 1.0,
    end: End::Close,
    whole: true,
};

#[test_case(&CONTROL; "no length")]
#[test_case(&ControlCase { head: "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", ..CONTROL }; "no length behind 103")]
#[test_case(&ControlCase { end: End::Reset, whole: false, ..CONTROL }; "no length, reset")]
#[test_case(&ControlCase { share: 0.5, whole: false, ..CONTROL }; "no length, half")]
#[test_case(&ControlCase { share: 0.0, whole: false, ..CONTROL }; "no length, nothing")]
#[test_case(&ControlCase { head: "HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\n", whole: false, ..CONTROL }; "a length that is not reached")]
#[test_case(&ControlCase { head: "HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n", share: 0.0, whole: false, ..CONTROL }; "half a head")]
#[test_case(&ControlCase { head: "HTTP/1.1 100 X\r\n\r\n", share: 0.0, whole: false, ..CONTROL }; "100")]
fn a_control_answer_that_ends_early_is_lost(case: &ControlCase) {
    let object = r#"{"kind":"k","metadata":{"name":"a","resourceVersion":"7"},"spec":1}"#;
    let list = format!(r#"{{"metadata":{{"resourceVersion":"7"}},"items":[{object}]}}"#);
    let instances = r#"{"items":[{"name":"v","zone":"z","status":"RUNNING","networkInterfaces":[{"networkIP":"10.0.0.1"}]}]}"#;
    let events = r#"{"epoch":"e","next":0,"lost":false,"events":[],"blocks":[]}"#;
    let serve_body = |body: &str| {
        let sent = body[..(body.len() as f64 * case.share) as usize].to_owned();
        let pieces: &'static [&'static str] = Box::leak(Box::new([case.head, &*sent.leak()]));
        serve(Wire {
            pieces,
            end: case.end,
        })
    };
    smol::block_on(async {
        let listing = HttpObjects::new(serve_body(&list)).list("k").await;
        assert_eq!(listing.is_ok_and(|l| l.objects.len() == 1), case.whole);
        let read = HttpObjects::new(serve_body(object)).get("k", "a").await;
        assert_eq!(matches!(read, Ok(Some(_))), case.whole, "{read:?}");
        assert_eq!(read.is_ok(), case.whole);
        let new = Object::new("k", "a", serde_json::json!(1));
        let written = HttpObjects::new(serve_body(object)).create(&new).await;
        let is_ambiguous = matches!(written, Err(StoreError::Ambiguous { .. }));
        assert_eq!(is_ambiguous, !case.whole, "{written:?}");
        let vms = HttpVms::new(serve_body(instances)).list().await;
        assert_eq!(vms.is_ok_and(|vms| vms.len() == 1), case.whole);
        let engine: Arc<dyn Engine> = Arc::new(HttpEngine::new(serve_body(events), ANSWER_TIME));
        let read = engine.cache_events(0, false).await;
        assert_eq!(read.is_ok(), case.whole, "{read:?}");
    });
}
