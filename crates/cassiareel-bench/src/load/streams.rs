//! Sends streams and records when their events arrive.

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

/// Longest time until the head of an answer.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Size in bytes of the read buffer.
const READ_BYTES: usize = 16 << 10;
/// The last event of a complete stream.
const STREAM_END: &[u8] = b"data: [DONE]\n\n";

/// The request of a stream.
#[derive(Clone, Debug)]
pub struct StreamRequest {
    /// The prompt.
    pub prompt: String,
    /// Number of tokens of the answer.
    pub tokens: u32,
}

/// The result of a stream.
#[derive(Clone, Debug, Default)]
pub struct StreamResult {
    /// Time to the first event with text.
    pub first_event: Duration,
    /// Times between reads that contained events with text.
    pub gaps: Vec<Duration>,
    /// Whether the answer was received to its end.
    pub complete: bool,
}

/// Runs concurrent streams, each started `start_interval` after the one before, and waits for all
/// of them.
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

/// Runs one stream to its end or to its failure.
pub async fn stream(endpoint: Endpoint, request: StreamRequest) -> StreamResult {
    let url = format!("http://{}/v1/completions", endpoint.addr);
    let mut req = Request::new(Method::Post, Url::parse(&url).expect("the path is valid"));
    req.insert_header("authorization", format!("Bearer {}", endpoint.key));
    let body = json!({"model": endpoint.model, "prompt": request.prompt,
        "max_tokens": request.tokens, "ignore_eos": true, "stream": true});
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

/// Reports whether events contain text.
///
/// The engine sends an event for each token, even for one that ends within a character and so has
/// no text, while a node sends only events with text. Only text is timed, so that all paths are
/// measured alike.
fn has_text(events: &[u8]) -> bool {
    let count = |pattern: &[u8]| {
        events
            .windows(pattern.len())
            .filter(|w| *w == pattern)
            .count()
    };
    count(br#""text":""#) > count(br#""text":"","#)
}
