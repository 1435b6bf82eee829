//! Tests that each kind of bad input is answered with its 4xx status, and that the node still serves.

mod common;

use common::{exchange, node, settings, KEY};

/// A bad request and the expected answer.
struct Case {
    name: &'static str,
    /// The request, which is sent on its own connection.
    request: Vec<u8>,
    /// The expected status.
    status: &'static str,
    /// Text that the answer must contain.
    text: &'static str,
}

/// Returns a request to an endpoint with a key and a body.
fn post(path: &str, key: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: n\r\nconnection: close\r\nauthorization: Bearer {key}\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Returns a completions request with the right key.
fn completion(body: &[u8]) -> Vec<u8> {
    post("/v1/completions", KEY, body)
}

/// Returns a chat request with the right key.
fn chat(body: &[u8]) -> Vec<u8> {
    post("/v1/chat/completions", KEY, body)
}

fn cases() -> Vec<Case> {
    let case = |name, request, status, text| Case {
        name,
        request,
        status,
        text,
    };
    let good = br#"{"model":"draft","prompt":"x"}"#;
    let mut cut = completion(good);
    cut.truncate(cut.len() - 5);
    vec![
        case("no HTTP at all", b"hello\r\n\r\n".to_vec(), "400", "error"),
        case("no host", b"GET /v1/models HTTP/1.1\r\n\r\n".to_vec(), "400", "error"),
        case(
            "both length headers",
            b"POST /v1/completions HTTP/1.1\r\nhost: n\r\ncontent-length: 3\r\n\
              transfer-encoding: chunked\r\n\r\n0\r\n\r\n"
                .to_vec(),
            "400",
            "Content-Length",
        ),
        case(
            "two lengths",
            b"POST /v1/completions HTTP/1.1\r\nhost: n\r\ncontent-length: 5\r\n\
              content-length: 6\r\n\r\nhello"
                .to_vec(),
            "400",
            "two Content-Length",
        ),
        case(
            "signed length",
            b"POST /v1/completions HTTP/1.1\r\nhost: n\r\ncontent-length: +5\r\n\r\nhello".to_vec(),
            "400",
            "no number",
        ),
        case(
            "cut body closes",
            format!(
                "POST /v1/completions HTTP/1.1\r\nhost: n\r\nauthorization: Bearer {KEY}\r\n\
                 content-length: 5\r\n\r\nhe"
            )
            .into_bytes(),
            "400",
            "connection: close",
        ),
        case(
            "long head",
            format!("GET / HTTP/1.1\r\nhost: n\r\nx: {}\r\n\r\n", "y".repeat(9000)).into_bytes(),
            "431",
            "8kb",
        ),
        case("cut body", cut, "400", "ended after"),
        case("long body", completion(&vec![b' '; 6 << 20]), "413", "longer than"),
        case("no key", b"GET /v1/models HTTP/1.1\r\nhost: n\r\nconnection: close\r\n\r\n".to_vec(), "401", "no key"),
        case("wrong key", post("/v1/completions", "other", good), "401", "not known"),
        case("wrong UTF-8", completion(b"{\"model\": \"\xff\"}"), "400", "UTF-8"),
        case("not JSON", completion(b"{"), "400", "not JSON"),
        case("not an object", completion(b"[]"), "400", "not an object"),
        case("no model", completion(br#"{"prompt":"x"}"#), "400", "model"),
        case("unknown model", completion(br#"{"model":"no","prompt":"x"}"#), "404", "does not exist"),
        case("plain service as model", completion(br#"{"model":"orders","prompt":"x"}"#), "404", "does not exist"),
        case("no prompt", completion(br#"{"model":"draft"}"#), "400", "prompt"),
        case("two prompts", completion(br#"{"model":"draft","prompt":["a","b"]}"#), "400", "list of 2"),
        case("two choices", completion(br#"{"model":"draft","prompt":"x","n":2}"#), "400", "only 1"),
        case("no tokens", completion(br#"{"model":"draft","prompt":"x","max_tokens":0}"#), "400", "max_tokens"),
        case("tools", chat(br#"{"model":"draft","messages":[{"role":"user","content":"x"}],"tools":[{}]}"#), "400", "tools"),
        case("no messages", chat(br#"{"model":"draft","messages":[]}"#), "400", "messages"),
        case("no role", chat(br#"{"model":"draft","messages":[{"content":"x"}]}"#), "400", "role"),
        case("five stops", completion(br#"{"model":"draft","prompt":"x","stop":["1","2","3","4","5"]}"#), "400", "stop"),
        case("unknown path", post("/v2/x", KEY, b""), "404", "nothing at"),
        case("unknown service", post("/services/no/x", KEY, b""), "404", "does not exist"),
        case(
            "bad request name",
            format!("GET /v1/models HTTP/1.1\r\nhost: n\r\nx-request-id: {}\r\nconnection: close\r\n\r\n", "n".repeat(129)).into_bytes(),
            "400",
            "x-request-id",
        ),
    ]
}

#[test]
fn each_bad_input_is_answered_with_its_status() {
    let node = node(&settings());
    let addr = node.addr().expect("the node serves");
    for case in cases() {
        let answer = exchange(addr, &case.request);
        let status = format!("HTTP/1.1 {}", case.status);
        assert!(answer.starts_with(&status), "{}: {answer:?}", case.name);
        assert!(answer.contains(case.text), "{}: {answer:?}", case.name);
        let models = format!(
            "GET /v1/models HTTP/1.1\r\nhost: n\r\nauthorization: Bearer {KEY}\r\nconnection: close\r\n\r\n"
        );
        let after = exchange(addr, models.as_bytes());
        assert!(
            after.contains("\"draft\""),
            "after {}: {after:?}",
            case.name
        );
    }
}

#[test]
fn connection_stays_usable_after_a_rejected_request() {
    let node = node(&settings());
    let addr = node.addr().expect("the node serves");
    let bad = br#"{"model":"no","prompt":"x"}"#;
    let mut bytes = completion(bad);
    let keep = String::from_utf8(bytes.clone())
        .expect("text")
        .replace("connection: close\r\n", "");
    bytes = keep.into_bytes();
    let mut stream = std::net::TcpStream::connect(addr).expect("the node listens");
    for _ in 0..3 {
        std::io::Write::write_all(&mut stream, &bytes).expect("the connection stays open");
        let mut head = [0; 12];
        std::io::Read::read_exact(&mut stream, &mut head).expect("an answer comes");
        assert_eq!(&head, b"HTTP/1.1 404");
        drain(&mut stream);
    }
}

/// Reads the rest of an answer, up to the end of its body.
fn drain(stream: &mut std::net::TcpStream) {
    let mut seen = Vec::new();
    let mut byte = [0];
    while !seen.ends_with(b"}}") {
        std::io::Read::read_exact(stream, &mut byte).expect("the answer is complete");
        seen.push(byte[0]);
    }
}

/// A request that exceeds a bound in the settings, and the expected answer.
struct BoundCase {
    bounds: &'static str,
    request: Vec<u8>,
    status: &'static str,
}

#[test]
fn bounds_in_the_settings_are_enforced() {
    let long = vec![b' '; 2_000];
    let mut slow = completion(b"{}");
    slow.truncate(slow.len() - 1);
    let cases = [
        BoundCase {
            bounds: "body = \"1KiB\"",
            request: completion(&long),
            status: "413",
        },
        BoundCase {
            bounds: "head = \"100B\"",
            request: completion(b"{}"),
            status: "431",
        },
        BoundCase {
            bounds: "body_time = \"1ms\"",
            request: slow.clone(),
            status: "408",
        },
        BoundCase {
            bounds: "head_time = \"1ms\"",
            request: b"POST /v1/completions HTTP/1.1\r\n".to_vec(),
            status: "408",
        },
    ];
    for case in cases {
        let tree = format!("[platform.policy.bounds]\n{}\n{}", case.bounds, settings());
        let node = node(&tree);
        let addr = node.addr().expect("the node serves");
        let mut stream = std::net::TcpStream::connect(addr).expect("the node listens");
        // The sending side stays open, so that the client counts as slow and not as disconnected.
        let _ = std::io::Write::write_all(&mut stream, &case.request);
        let mut head = [0; 12];
        std::io::Read::read_exact(&mut stream, &mut head).expect("an answer comes");
        let status = format!("HTTP/1.1 {}", case.status);
        assert_eq!(String::from_utf8_lossy(&head), status, "{}", case.bounds);
    }
}

#[test]
fn connections_over_the_bound_are_refused() {
    let tree = format!("[platform.policy.bounds]\nconnections = 1\n{}", settings());
    let node = node(&tree);
    let addr = node.addr().expect("the node serves");
    let mut first = std::net::TcpStream::connect(addr).expect("the node listens");
    let mut second = std::net::TcpStream::connect(addr).expect("the node listens");
    let mut head = [0; 12];
    std::io::Read::read_exact(&mut second, &mut head).expect("an answer comes");
    assert_eq!(&head, b"HTTP/1.1 503");
    let models =
        format!("GET /v1/models HTTP/1.1\r\nhost: n\r\nauthorization: Bearer {KEY}\r\n\r\n");
    std::io::Write::write_all(&mut first, models.as_bytes())
        .expect("the first connection stays open");
    std::io::Read::read_exact(&mut first, &mut head).expect("an answer comes");
    assert_eq!(&head, b"HTTP/1.1 200");
}
