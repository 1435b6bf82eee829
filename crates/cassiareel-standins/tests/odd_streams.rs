//! Engine responses that are not the rest of a stream: nothing of them counts as output, and none
//! looks complete.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::TcpListener,
    sync::Arc,
    thread,
    time::Duration,
};

use cassiareel::backend::{AttemptRequest, Engine as _, HttpEngine, StreamChunk};
use futures_lite::StreamExt;
use serde_json::json;
use test_case::test_case;

/// An event with one token.
const TOKEN: &str = "data: {\"id\":\"r1#1\",\"position\":0,\"token_ids\":[7],\"text\":\"a\",\
    \"finish_reason\":null,\"usage\":null}\n\n";

/// An event that ends a stream after that token.
const FINISH: &str = "data: {\"id\":\"r1#1\",\"position\":1,\"token_ids\":[],\"text\":\"\",\
    \"finish_reason\":\"stop\",\"usage\":{\"prompt_tokens\":3}}\n\n";

/// A response in chunks.
struct Case {
    status: u16,
    media_type: &'static str,
    /// The chunks, of which an empty one is the last one.
    body: &'static [&'static str],
    /// The number of tokens that count.
    tokens: usize,
    /// Whether the stream is complete.
    finished: bool,
}

const STREAM: Case = Case {
    status: 200,
    media_type: "text/event-stream",
    body: &[TOKEN, FINISH, ""],
    tokens: 1,
    finished: true,
};

/// Serves one request with raw bytes; returns the address.
fn serve(case: &Case) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let chunks: String = case
        .body
        .iter()
        .map(|chunk| format!("{:x}\r\n{chunk}\r\n", chunk.len()))
        .collect();
    let response = format!(
        "HTTP/1.1 {} X\r\nContent-Type: {}\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}",
        case.status, case.media_type
    );
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut length = 0;
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).unwrap();
            let line = line.trim().to_ascii_lowercase();
            if let Some(value) = line.strip_prefix("content-length:") {
                length = value.trim().parse().unwrap();
            }
            if line.is_empty() {
                break;
            }
        }
        reader.read_exact(&mut vec![0; length]).unwrap();
        stream.write_all(response.as_bytes()).unwrap();
    });
    addr
}

#[test_case(&STREAM; "a stream")]
#[test_case(&Case { media_type: "Text/Event-Stream; charset=utf-8", ..STREAM }; "a stream, its type in other letters")]
#[test_case(&Case { body: &[TOKEN, ""], finished: false, ..STREAM }; "ended between events")]
#[test_case(&Case { body: &[TOKEN], finished: false, ..STREAM }; "closed between events")]
#[test_case(&Case { body: &[TOKEN, "data: {\"id\":\"r1", ""], finished: false, ..STREAM }; "ended inside an event")]
#[test_case(&Case { body: &[TOKEN, "data: model failed\n\n", FINISH, ""], finished: false, ..STREAM }; "an error as an event")]
#[test_case(&Case { body: &[TOKEN, "HTTP/1.1 500 X\r\n\r\nmodel failed", ""], finished: false, ..STREAM }; "a head inside")]
#[test_case(&Case { media_type: "text/plain", body: &["model failed\n\n", ""], tokens: 0, finished: false, ..STREAM }; "a text")]
#[test_case(&Case { media_type: "text/plain", tokens: 0, finished: false, ..STREAM }; "a text that looks like events")]
#[test_case(&Case { media_type: "application/json", body: &["{\"error\":\"no\"}\n\n", ""], tokens: 0, finished: false, ..STREAM }; "json")]
#[test_case(&Case { status: 500, tokens: 0, finished: false, ..STREAM }; "a failure that looks like events")]
fn nothing_but_a_stream_counts_as_output(case: &Case) {
    let engine = HttpEngine::new(serve(case), Duration::from_secs(10));
    let request = AttemptRequest {
        request: "r1".into(),
        attempt: 1,
        path: "/v1/completions",
        body: Arc::new(json!({ "prompt": "p" }).as_object().unwrap().clone()),
        prior_tokens: Arc::default(),
        prior_text_bytes: 0,
        priority: 0,
    };
    let (mut tokens, mut finished) = (0, false);
    smol::block_on(async {
        let Ok(mut chunks) = engine.open(&request).await else {
            return;
        };
        while let Some(Ok(chunk)) = chunks.next().await {
            match chunk {
                StreamChunk::Tokens { ids, .. } => tokens += ids.len(),
                StreamChunk::Finished { .. } => finished = true,
            }
        }
    });
    assert_eq!((tokens, finished), (case.tokens, case.finished));
}
