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

use super::Arm;

/// Time for an answer to begin.
const HEAD: Duration = Duration::from_secs(30);
/// Bytes read at a time.
const READ: usize = 16 << 10;
/// What ends a whole stream.
const END: &[u8] = b"data: [DONE]\n\n";

/// What a stream asks for.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The prompt.
    pub prompt: String,
    /// Tokens of the answer.
    pub tokens: u32,
}

/// What a stream got.
#[derive(Clone, Debug, Default)]
pub struct Got {
    /// Time to the first event.
    pub first: Duration,
    /// Times between reads that brought events.
    pub gaps: Vec<Duration>,
    /// Whether the answer came to its end.
    pub whole: bool,
}

/// Runs streams side by side, each begun `pause` after the one before, and waits for them.
pub fn run_streams(callers: &Runtime, arm: Arm, asks: Vec<Ask>, pause: Duration) -> Vec<Got> {
    let tasks: Vec<_> = asks
        .into_iter()
        .map(|ask| {
            thread::sleep(pause);
            callers.spawn(stream(arm, ask))
        })
        .collect();
    tasks.into_iter().map(smol::block_on).collect()
}

/// Runs one stream to its end.
pub async fn stream(arm: Arm, ask: Ask) -> Got {
    let url = format!("http://{}/v1/completions", arm.addr);
    let mut req = Request::new(Method::Post, Url::parse(&url).expect("the path is valid"));
    req.insert_header("authorization", format!("Bearer {}", arm.key));
    let body = json!({"model": arm.model, "prompt": ask.prompt, "max_tokens": ask.tokens,
        "ignore_eos": true, "stream": true});
    req.set_body(body.to_string());
    let mut got = Got::default();
    let begun = Instant::now();
    let Ok(mut res) = send(arm.addr, req, CallTimeouts::new(HEAD)).await else {
        return got;
    };
    if res.status() != StatusCode::Ok {
        return got;
    }
    let mut buf = vec![0; READ];
    let mut tail = Vec::new();
    let mut last = None;
    while let Ok(n @ 1..) = res.read(&mut buf).await {
        if has_text(&buf[..n]) {
            let now = Instant::now();
            match last {
                None => got.first = now - begun,
                Some(last) => got.gaps.push(now - last),
            }
            last = Some(now);
        }
        tail.extend_from_slice(&buf[..n]);
        tail.drain(..tail.len().saturating_sub(END.len()));
    }
    got.whole = tail == END;
    got
}

/// Reports whether events bring text.
///
/// The engine sends an event for each token, also for one that ends amid a character and so brings
/// no text; a node passes text on. Only what a reader sees is timed, whichever the way.
fn has_text(events: &[u8]) -> bool {
    let count = |what: &[u8]| events.windows(what.len()).filter(|w| *w == what).count();
    count(br#""text":""#) > count(br#""text":"","#)
}
