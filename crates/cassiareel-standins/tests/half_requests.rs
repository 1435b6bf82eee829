//! Requests that end early do not run, and each whole one is answered.

use std::{
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::Duration,
};

use cassiareel_standins::{
    fleet::{Fleet, FleetOptions, CALLER_KEY},
    service::{Ledger, PlainService},
};
use rustix::net::sockopt::set_socket_linger;
use test_case::test_case;

/// How long a test waits for bytes before it fails.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause between two pieces of a request, after which the first has been read.
const PIECE_PAUSE: Duration = Duration::from_millis(60);

/// A fleet of one node with a plain service.
struct Setup {
    fleet: Fleet,
    ledger: Ledger,
    _service: PlainService,
}

impl Setup {
    fn new() -> Setup {
        let ledger = Ledger::default();
        let service = PlainService::start("orders@v1", &ledger).expect("loopback has ports");
        let mut fleet = Fleet::start(&FleetOptions::new(1, 1)).expect("loopback has ports");
        let services = format!(
            "[services.orders]\nkind = \"plain\"\nversion = \"v1\"\n\
             [services.orders.versions.v1.placements.d0]\nservers = [\"{}\"]\n",
            service.addr()
        );
        let tree = fleet.settings_tree().replace(
            "services = [\"draft\"]",
            "services = [\"draft\", \"orders\"]",
        );
        fleet.apply(&(tree + &services));
        Setup {
            fleet,
            ledger,
            _service: service,
        }
    }

    /// Connects to the node and sends pieces with a pause after each; `KEY` stands for the headers of
    /// an order with that key.
    fn send(&self, pieces: &[&str]) -> TcpStream {
        let addr = self.fleet.addr(0).expect("the node serves");
        let mut stream = TcpStream::connect(addr).expect("the node serves");
        stream.set_nodelay(true).expect("an open socket");
        stream
            .set_read_timeout(Some(READ_TIMEOUT))
            .expect("an open socket");
        for piece in pieces {
            let text = piece
                .replace("ORDER-1", &order_head("k1"))
                .replace("ORDER-2", &order_head("k2"));
            stream.write_all(text.as_bytes()).expect("the node reads");
            thread::sleep(PIECE_PAUSE);
        }
        stream
    }
}

/// Returns the start of an order's head.
fn order_head(key: &str) -> String {
    format!(
        "POST /services/orders/engrave HTTP/1.1\r\nhost: n\r\n\
         authorization: Bearer {CALLER_KEY}\r\nidempotency-key: {key}\r\n"
    )
}

/// Returns what arrives until the connection ends or nothing comes for [`READ_TIMEOUT`].
fn read_all(mut stream: TcpStream, answers: usize) -> String {
    let mut text = String::new();
    let mut bytes = [0; 4096];
    while text.matches("HTTP/1.1 200").count() < answers {
        match stream.read(&mut bytes) {
            Ok(read) if read > 0 => text.push_str(&String::from_utf8_lossy(&bytes[..read])),
            _ => break,
        }
    }
    text
}

#[test_case(&["ORDER-1"]; "inside the head")]
#[test_case(&["ORDER-1content-length: 8\r\n\r"]; "inside the blank line")]
#[test_case(&["ORDER-1content-length: 8\r\n\r\n"]; "before a body with a length")]
#[test_case(&["ORDER-1content-length: 8\r\n\r\n", "engra"]; "inside a body with a length")]
#[test_case(&["ORDER-1transfer-encoding: chunked\r\n\r\n"]; "before chunks")]
#[test_case(&["ORDER-1transfer-encoding: chunked\r\n\r\n", "8"]; "inside a size line")]
#[test_case(&["ORDER-1transfer-encoding: chunked\r\n\r\n8\r\n", "engra"]; "inside a chunk")]
#[test_case(&["ORDER-1transfer-encoding: chunked\r\n\r\n8\r\nengraved\r\n"]; "before the last chunk")]
#[test_case(&["ORDER-1transfer-encoding: chunked\r\n\r\n8\r\nengraved\r\n", "0"]; "inside the last size line")]
#[test_case(&["ORDER-1transfer-encoding: chunked\r\n\r\n8\r\nengraved\r\n0\r\nx: 1\r\n"]; "inside trailers")]
fn a_request_that_ends_early_does_not_run(pieces: &[&str]) {
    let setup = Setup::new();
    let reset = setup.send(pieces);
    set_socket_linger(&reset, Some(Duration::ZERO)).expect("an open socket");
    drop(reset);
    let closed = setup.send(pieces);
    closed
        .shutdown(std::net::Shutdown::Write)
        .expect("an open socket");
    let answer = read_all(closed, 1);
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 400"),
        "{answer}"
    );
    assert!(setup.ledger.entries().is_empty());
}

#[test_case(&["ORDER-1content-length: 8\r\n\r\n", "engraved"], 1; "a length")]
#[test_case(&["ORDER-1transfer-encoding: chunked\r\n\r\n8\r\nengraved\r\n0\r\n\r", "\n"], 1; "chunks, the last line break in pieces")]
#[test_case(&["ORDER-1transfer-encoding: chunked\r\n\r\n8\r\nengraved\r\n0\r\nx: 1\r\n", "\r\n"], 1; "chunks, a trailer in pieces")]
#[test_case(&["ORDER-1content-length: 8\r\n\r\nengraved", "ORDER-2content-length: 8\r\n\r\nengraved"], 2; "two in turn")]
#[test_case(&["ORDER-1content-length: 8\r\n\r\nengravedORDER-2content-length: 8\r\n\r\nengraved"], 2; "two in one piece")]
#[test_case(&["ORDER-1content-length: 8\r\n\r\nengravedORDER-2content", "-length: 8\r\n\r\nengraved"], 2; "one and a half in one piece")]
fn each_whole_request_is_answered(pieces: &[&str], count: usize) {
    let setup = Setup::new();
    let answer = read_all(setup.send(pieces), count);
    assert_eq!(answer.matches("HTTP/1.1 200").count(), count, "{answer}");
    assert_eq!(setup.ledger.entries().len(), count);
}
