//! Streams of the story, checked token by token.

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

/// Times that a caller connects before it gives up.
const TRIES: usize = 20;
/// Time before a caller connects again.
const PAUSE: Duration = Duration::from_millis(100);
/// Time that a caller waits for a whole answer.
const PATIENCE: Duration = Duration::from_secs(60);

/// What a caller asks for.
#[derive(Clone, Debug)]
pub(super) struct Ask {
    pub(super) service: ServiceId,
    pub(super) version: VersionId,
    pub(super) prompt: String,
    pub(super) tokens: u32,
}

/// What a caller got.
#[derive(Clone, Debug)]
pub(super) struct Got {
    /// Tokens of the answer, as it counts them.
    pub(super) tokens: u64,
    /// Time to the first token.
    pub(super) first: Duration,
    /// The longest time between two events.
    pub(super) pause: Duration,
    /// Times that the caller connected again.
    pub(super) reconnects: usize,
    /// What was wrong with the answer.
    pub(super) wrong: Option<String>,
}

/// How far a stream has come, for those who watch it.
#[derive(Clone, Debug, Default)]
pub(super) struct Watch(Arc<Mutex<(Option<SocketAddr>, usize)>>);

impl Watch {
    /// The node that the caller is connected to, and the events that it has got.
    pub(super) fn look(&self) -> (Option<SocketAddr>, usize) {
        *self.0.lock().expect("no holder panics")
    }

    fn set(&self, look: (Option<SocketAddr>, usize)) {
        *self.0.lock().expect("no holder panics") = look;
    }
}

/// Asks the first node, and after a loss the next ones, until the answer has ended.
pub(super) async fn ask(addrs: Vec<SocketAddr>, ask: Ask, watch: Watch) -> Got {
    let whole = run(addrs, &ask, &watch);
    let late = async {
        Timer::after(PATIENCE).await;
        Got {
            tokens: 0,
            first: PATIENCE,
            pause: PATIENCE,
            reconnects: 0,
            wrong: Some(format!("no whole answer within {PATIENCE:?}")),
        }
    };
    smol::future::or(whole, late).await
}

async fn run(addrs: Vec<SocketAddr>, ask: &Ask, watch: &Watch) -> Got {
    let caller = Caller::new(KEY);
    let body = json!({
        "model": &*ask.service, "prompt": ask.prompt, "max_tokens": ask.tokens,
        "ignore_eos": true, "stream": true, "stream_options": {"include_usage": true},
    });
    let mut seen = ReceivedStream::default();
    let begun = Instant::now();
    let mut last = begun;
    let mut first = None;
    let mut pause = Duration::ZERO;
    let mut events = 0;
    let mut tries = 0;
    while tries < TRIES {
        let addr = addrs[tries % addrs.len()];
        tries += 1;
        watch.set((Some(addr), events));
        let ended = caller
            .stream(addr, &body, &mut seen, |_| {
                let now = Instant::now();
                match first {
                    None => first = Some(now - begun),
                    Some(_) => pause = pause.max(now - last),
                }
                last = now;
                events += 1;
                watch.set((Some(addr), events));
            })
            .await;
        if ended && !may_retry(&seen) {
            break;
        }
        seen.error = None;
        Timer::after(PAUSE).await;
    }
    Got {
        tokens: seen.completion_tokens.unwrap_or(0),
        first: first.unwrap_or_else(|| begun.elapsed()),
        pause,
        reconnects: tries - 1,
        wrong: check(&seen, ask),
    }
}

/// Reports whether nothing ran, so that the caller asks again.
fn may_retry(seen: &ReceivedStream) -> bool {
    seen.text.is_empty()
        && seen
            .error
            .as_ref()
            .is_some_and(|err| err["outcome"] == "not_run")
}

/// Compares an answer with the true one.
fn check(seen: &ReceivedStream, ask: &Ask) -> Option<String> {
    let version = format!("{}@{}", ask.service, ask.version);
    let (ids, text) = expected_answer(&version, &ask.prompt, ask.tokens);
    if let Some(err) = &seen.error {
        return Some(format!("ended with {err}"));
    }
    if !seen.done {
        return Some("the answer did not end".to_owned());
    }
    if seen.text != text {
        let common = seen
            .text
            .bytes()
            .zip(text.bytes())
            .take_while(|(a, b)| a == b)
            .count();
        let (got, want) = (seen.text.len(), text.len());
        return Some(format!(
            "differs from the true answer at byte {common}: {got} bytes for {want}"
        ));
    }
    (seen.completion_tokens != Some(ids.len() as u64)).then(|| {
        format!(
            "counts {:?} tokens for {}",
            seen.completion_tokens,
            ids.len()
        )
    })
}
