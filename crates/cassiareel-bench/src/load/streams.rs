//! Streams and the times at which their events come.

use std::{
    thread,
    time::{Duration, Instant},
};

use cassiareel::{
    runtime::Runtime,
    wire::{send, CallTimeouts},
};
use futures_lite::AsyncReadExt;
use http_types::{Method, Request, StatusCode, Url};
use serde_json::json;

use super::Endpoint;

/// Time for an answer to begin.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Bytes read at a time.
const READ_BYTES: usize = 16 << 10;
/// What ends a whole stream.
const STREAM_END: &[u8] = b"data: [DONE]\n\n";

/// What a stream asks for.
#[derive(Clone, Debug)]
pub struct StreamRequest {
    /// The prompt.
    pub prompt: String,
    /// Tokens of the answer.
    pub tokens: u32,
}

/// What a stream got.
#[derive(Clone, Debug, Default)]
pub struct StreamResult {
    /// Time to the first event.
    pub first_event: Duration,
    /// Times between reads that brought events.
    pub gaps: Vec<Duration>,
    /// Whether the answer came to its end.
    pub complete: bool,
}

/// Runs streams side by side, each begun `pause` after the one before, and waits for them.
pub fn run_streams(
    callers: &Runtime,
    endpoint: Endpoint,
    requests: Vec<StreamRequest>,
    start_interval: Duration,
) -> Vec<StreamResult> {
    let tasks: Vec<_> = requests
        .into_iter()
        .map(|request| {
            thread::sleep(start_interval);
            callers.spawn(stream(endpoint, request))
        })
        .collect();
    tasks.into_iter().map(smol::block_on).collect()
}

/// Runs one stream to its end.
pub async fn stream(endpoint: Endpoint, request: StreamRequest) -> StreamResult {
    let url = format!("http://{}/v1/completions", endpoint.addr);
    let mut req = Request::new(Method::Post, Url::parse(&url).expect("the path is valid"));
    req.insert_header("authorization", format!("Bearer {}", endpoint.key));
    let body = json!({"model": endpoint.model, "prompt": request.prompt, "max_tokens": request.tokens,
        "ignore_eos": true, "stream": true});
    req.set_body(body.to_string());
    let mut result = StreamResult::default();
    let start = Instant::now();
    let Ok(mut res) = send(endpoint.addr, req, CallTimeouts::new(HEAD_TIMEOUT)).await else {
        return result;
    };
    if res.status() != StatusCode::Ok {
        return result;
    }
    let mut buf = vec![0; READ_BYTES];
    let mut tail = Vec::new();
    let mut last_event = None;
    while let Ok(n @ 1..) = res.read(&mut buf).await {
        if has_text(&buf[..n]) {
            let now = Instant::now();
            match last_event {
                None => result.first_event = now - start,
                Some(last_event) => result.gaps.push(now - last_event),
            }
            last_event = Some(now);
        }
        tail.extend_from_slice(&buf[..n]);
        tail.drain(..tail.len().saturating_sub(STREAM_END.len()));
    }
    result.complete = tail == STREAM_END;
    result
}

/// Reports whether events bring text.
///
/// The engine sends an event for each token, also for one that ends amid a character and so brings
/// no text; a node passes text on. Only what a reader sees is timed, whichever the way.
fn has_text(events: &[u8]) -> bool {
    let count = |pattern: &[u8]| {
        events
            .windows(pattern.len())
            .filter(|w| *w == pattern)
            .count()
    };
    count(br#""text":""#) > count(br#""text":"","#)
}
