//! A stream of the engine, and the body that sends it.

use std::{
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll, Waker},
    time::{Duration, Instant},
};

use cassiareel::kernel::{generation::FinishReason, TokenId};
use futures_lite::{io, AsyncBufRead, AsyncRead};
use serde::Serialize;

use super::text::Text;

/// Tokens in waiting beyond which a reader gets them as one event.
const BEHIND: usize = 64;

/// A stream: the whole answer so far, and who reads it.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) id: String,
    pub(super) prompt_tokens: u32,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    ids: Vec<TokenId>,
    // INVARIANT: for each token, the bytes of text that were ready after it.
    ready: Vec<usize>,
    text: Text,
    end: Option<FinishReason>,
    cut: Option<StreamCut>,
    reader: u64,
    waker: Option<Waker>,
    detached: Option<Instant>,
}

/// How a stream is cut.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamCut {
    /// The connection is reset.
    Reset,
    /// The body ends cleanly, without its last event.
    EndEarly,
}

impl Stream {
    pub(super) fn new(id: String, prompt_tokens: u32, ids: Vec<TokenId>, text: Text) -> Stream {
        Stream {
            id,
            prompt_tokens,
            state: Mutex::new(State {
                ready: Vec::with_capacity(ids.len()),
                ids,
                text,
                end: None,
                cut: None,
                reader: 0,
                waker: None,
                detached: None,
            }),
        }
    }

    /// Takes a token; true when a stop sequence ended the answer.
    pub(super) fn push(&self, id: TokenId, bytes: &[u8]) -> bool {
        let mut state = self.lock();
        state.ids.push(id);
        let stopped = state.text.push(bytes);
        let ready = state.text.ready();
        state.ready.push(ready);
        if stopped {
            state.end = Some(FinishReason::Stop);
        }
        state.wake();
        stopped
    }

    /// Takes a token that the caller has already; true when a stop sequence had ended the answer.
    pub(super) fn replay(&self, bytes: &[u8]) -> bool {
        let mut state = self.lock();
        let stopped = state.text.push(bytes);
        let ready = state.text.ready();
        state.ready.push(ready);
        if stopped {
            state.end = Some(FinishReason::Stop);
        }
        stopped
    }

    /// Ends the answer.
    pub(super) fn finish(&self, reason: FinishReason) {
        let mut state = self.lock();
        state.text.finish();
        let ready = state.text.ready();
        if let Some(last) = state.ready.last_mut() {
            *last = ready;
        }
        state.end = Some(reason);
        state.wake();
    }

    /// Cuts the stream.
    pub(super) fn cut(&self, how: StreamCut) {
        let mut state = self.lock();
        state.cut = Some(how);
        state.wake();
    }

    /// Reports whether the stream was cut.
    pub(super) fn is_cut(&self) -> bool {
        self.lock().cut.is_some()
    }

    /// Reports whether nobody has read for longer than `grace`.
    pub(super) fn is_forgotten(&self, grace: Duration) -> bool {
        self.lock()
            .detached
            .is_some_and(|since| since.elapsed() >= grace)
    }

    /// Attaches a reader, which takes the place of an earlier one; none where the stream has not
    /// come as far as `position` or `sent`.
    pub(super) fn attach(self: &Arc<Stream>, position: usize, sent: usize) -> Option<Reader> {
        let mut state = self.lock();
        if position > state.ids.len() || sent > state.text.ready() {
            return None;
        }
        state.reader += 1;
        state.detached = None;
        state.wake();
        Some(Reader {
            ticket: state.reader,
            position,
            sent,
            buf: Vec::new(),
            at: 0,
            finished: false,
            stream: self.clone(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

impl State {
    fn wake(&mut self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

/// The body of a streamed answer.
///
/// Tokens that are ready together are sent as events of their own in one write, but as one event
/// where they are so many that the reader must have been away.
#[derive(Debug)]
pub(super) struct Reader {
    stream: Arc<Stream>,
    ticket: u64,
    position: usize,
    sent: usize,
    buf: Vec<u8>,
    at: usize,
    finished: bool,
}

/// An event as it is sent.
#[derive(Serialize)]
struct Event<'a> {
    id: &'a str,
    position: usize,
    token_ids: &'a [TokenId],
    text: &'a str,
    finish_reason: Option<End>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

/// How a stream ends, as it is sent.
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum End {
    Length,
    Replaced,
    Stop,
}

impl From<FinishReason> for End {
    fn from(reason: FinishReason) -> End {
        match reason {
            FinishReason::Length => End::Length,
            FinishReason::Stop => End::Stop,
        }
    }
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: u32,
    completion_tokens: usize,
}

impl Reader {
    /// Writes the next events to the buffer; false where there are none yet.
    fn fill(&mut self, state: &State) -> bool {
        self.buf.clear();
        self.at = 0;
        let behind = state.ids.len() - self.position;
        let step = if behind > BEHIND { behind } else { 1 };
        while self.position < state.ids.len() {
            let to = self.position + step;
            self.write_tokens(state, to, state.ready[to - 1]);
        }
        // Text may be left that was held back when the caller had its last token.
        if self.sent < state.text.ready() {
            self.write_tokens(state, self.position, state.text.ready());
        }
        if let Some(reason) = state.end {
            self.write(&Event {
                id: &self.stream.id.clone(),
                position: self.position,
                token_ids: &[],
                text: "",
                finish_reason: Some(reason.into()),
                usage: Some(Usage {
                    prompt_tokens: self.stream.prompt_tokens,
                    completion_tokens: self.position,
                }),
            });
            self.buf.extend_from_slice(b"data: [DONE]\n\n");
            self.finished = true;
        }
        !self.buf.is_empty()
    }

    /// Writes the event that tells a reader that another has taken its place.
    fn replaced(&mut self) {
        self.buf.clear();
        self.at = 0;
        self.write(&Event {
            id: &self.stream.id.clone(),
            position: self.position,
            token_ids: &[],
            text: "",
            finish_reason: Some(End::Replaced),
            usage: None,
        });
        self.finished = true;
    }

    /// Writes an event with the tokens up to `to` and the text up to `ready`.
    fn write_tokens(&mut self, state: &State, to: usize, ready: usize) {
        let text = state.text.part(self.sent, ready);
        self.write(&Event {
            id: &self.stream.id.clone(),
            position: self.position,
            token_ids: &state.ids[self.position..to],
            text,
            finish_reason: None,
            usage: None,
        });
        self.position = to;
        self.sent += text.len();
    }

    fn write(&mut self, event: &Event<'_>) {
        self.buf.extend_from_slice(b"data: ");
        serde_json::to_writer(&mut self.buf, event).expect("a vector takes all writes");
        self.buf.extend_from_slice(b"\n\n");
    }
}

impl AsyncBufRead for Reader {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        if this.at == this.buf.len() && !this.finished {
            let stream = this.stream.clone();
            let mut state = stream.lock();
            if state.reader != this.ticket {
                this.replaced();
                return Poll::Ready(Ok(&this.buf[this.at..]));
            }
            // Tokens from before a cut are sent first, so that a fault shows at its token.
            if !this.fill(&state) {
                match state.cut {
                    Some(StreamCut::Reset) => {
                        return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
                    }
                    Some(StreamCut::EndEarly) => {}
                    None => {
                        state.waker = Some(cx.waker().clone());
                        return Poll::Pending;
                    }
                }
            }
        }
        Poll::Ready(Ok(&this.buf[this.at..]))
    }

    fn consume(self: Pin<&mut Self>, amount: usize) {
        self.get_mut().at += amount;
    }
}

impl AsyncRead for Reader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let ready = match self.as_mut().poll_fill_buf(cx) {
            Poll::Ready(Ok(ready)) => ready,
            Poll::Ready(Err(err)) => return Poll::Ready(Err(err)),
            Poll::Pending => return Poll::Pending,
        };
        let n = ready.len().min(out.len());
        out[..n].copy_from_slice(&ready[..n]);
        self.consume(n);
        Poll::Ready(Ok(n))
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let mut state = self.stream.lock();
        if state.reader == self.ticket {
            state.detached = Some(Instant::now());
        }
    }
}
