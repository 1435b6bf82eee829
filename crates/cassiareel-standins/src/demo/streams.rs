//! The scenario's streams, compared with the expected answer.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use cassiareel::kernel::{ServiceId, VersionId};
use serde_json::json;
use smol::Timer;

use super::KEY;
use crate::{
    caller::{Caller, ReceivedStream},
    engine::expected_answer,
};

/// Number of calls that a caller makes before it gives up.
const MAX_CALLS: usize = 20;
/// Delay before a caller reconnects.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time that a caller waits for the complete answer, over all its calls.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// A request for a streamed answer.
#[derive(Clone, Debug)]
pub(super) struct StreamRequest {
    pub(super) service: ServiceId,
    pub(super) version: VersionId,
    pub(super) prompt: String,
    pub(super) tokens: u32,
}

/// The answer that a caller received, and its timing.
#[derive(Clone, Debug)]
pub(super) struct StreamResult {
    /// Number of tokens that the answer reports.
    pub(super) tokens: u64,
    /// Time to the first token.
    pub(super) first_token: Duration,
    /// The longest time between two events.
    pub(super) longest_pause: Duration,
    /// Number of times that the caller reconnected.
    pub(super) reconnects: usize,
    /// A description of the fault in the answer, if there is one.
    pub(super) fault: Option<String>,
}

/// The progress of a stream, shared with the task that reads it.
#[derive(Clone, Debug, Default)]
pub(super) struct StreamProgress(Arc<Mutex<(Option<SocketAddr>, usize)>>);

impl StreamProgress {
    /// Returns the node that the caller is connected to, and the number of events received.
    pub(super) fn get(&self) -> (Option<SocketAddr>, usize) {
        *self
            .0
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    fn set(&self, position: (Option<SocketAddr>, usize)) {
        *self
            .0
            .lock()
            .expect("no thread panics while it holds the lock") = position;
    }
}

/// Sends the request to the first node, and after each failure to the next one, until the answer
/// has ended.
pub(super) async fn run_stream(
    addrs: Vec<SocketAddr>,
    request: StreamRequest,
    progress: StreamProgress,
) -> StreamResult {
    let result = call_until_ended(addrs, &request, &progress);
    let timeout = async {
        Timer::after(ANSWER_TIMEOUT).await;
        StreamResult {
            tokens: 0,
            first_token: ANSWER_TIMEOUT,
            longest_pause: ANSWER_TIMEOUT,
            reconnects: 0,
            fault: Some(format!("no complete answer within {ANSWER_TIMEOUT:?}")),
        }
    };
    smol::future::or(result, timeout).await
}

async fn call_until_ended(
    addrs: Vec<SocketAddr>,
    request: &StreamRequest,
    progress: &StreamProgress,
) -> StreamResult {
    let caller = Caller::new(KEY);
    let body = json!({
        "model": &*request.service, "prompt": request.prompt, "max_tokens": request.tokens,
        "ignore_eos": true, "stream": true, "stream_options": {"include_usage": true},
    });
    let mut received = ReceivedStream::default();
    let started = Instant::now();
    let mut last_event = started;
    let mut first_token = None;
    let mut longest_pause = Duration::ZERO;
    let mut events = 0;
    let mut calls = 0;
    while calls < MAX_CALLS {
        let addr = addrs[calls % addrs.len()];
        calls += 1;
        progress.set((Some(addr), events));
        let ended = caller
            .stream(addr, &body, &mut received, |_| {
                let now = Instant::now();
                match first_token {
                    None => first_token = Some(now - started),
                    Some(_) => longest_pause = longest_pause.max(now - last_event),
                }
                last_event = now;
                events += 1;
                progress.set((Some(addr), events));
            })
            .await;
        if ended && !may_retry(&received) {
            break;
        }
        received.error = None;
        Timer::after(RETRY_DELAY).await;
    }
    StreamResult {
        tokens: received.completion_tokens.unwrap_or(0),
        first_token: first_token.unwrap_or_else(|| started.elapsed()),
        longest_pause,
        reconnects: calls - 1,
        fault: check_answer(&received, request),
    }
}

/// Reports whether nothing ran, so that the caller may send the request again.
fn may_retry(received: &ReceivedStream) -> bool {
    received.text.is_empty()
        && received
            .error
            .as_ref()
            .is_some_and(|err| err["outcome"] == "not_run")
}

/// Compares an answer with the expected one; returns a description of the first difference.
fn check_answer(received: &ReceivedStream, request: &StreamRequest) -> Option<String> {
    let version = format!("{}@{}", request.service, request.version);
    let (ids, text) = expected_answer(&version, &request.prompt, request.tokens);
    if let Some(err) = &received.error {
        return Some(format!("ended with {err}"));
    }
    if !received.done {
        return Some("the answer did not end".to_owned());
    }
    if received.text != text {
        let common = received
            .text
            .bytes()
            .zip(text.bytes())
            .take_while(|(a, b)| a == b)
            .count();
        let (actual, expected) = (received.text.len(), text.len());
        return Some(format!(
            "differs from the expected answer at byte {common}: received {actual} bytes, expected {expected}"
        ));
    }
    (received.completion_tokens != Some(ids.len() as u64)).then(|| {
        format!(
            "reports {:?} tokens, expected {}",
            received.completion_tokens,
            ids.len()
        )
    })
}
