//! A generated stream, and the response body that sends it.

use std::{
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll, Waker},
    time::{Duration, Instant},
};

use cassiareel::kernel::{generation::FinishReason, TokenId};
use futures_lite::{io, AsyncBufRead, AsyncRead};
use serde::Serialize;

use super::text::TextDecoder;
use crate::channel_body::poll_read_buffered;

/// The maximum number of pending tokens that are sent as one event each. More are sent as a single
/// event.
const MAX_SINGLE_TOKEN_EVENTS: usize = 64;

/// A stream: the answer so far, and its current reader.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) id: String,
    pub(super) prompt_tokens: u32,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    ids: Vec<TokenId>,
    // INVARIANT: for each token, the number of bytes of text that could be sent after it.
    ready_lens: Vec<usize>,
    text: TextDecoder,
    finish_reason: Option<FinishReason>,
    cut: Option<StreamCut>,
    reader_id: u64,
    waker: Option<Waker>,
    detached_at: Option<Instant>,
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
    pub(super) fn new(
        id: String,
        prompt_tokens: u32,
        ids: Vec<TokenId>,
        text: TextDecoder,
    ) -> Stream {
        Stream {
            id,
            prompt_tokens,
            state: Mutex::new(State {
                ready_lens: Vec::with_capacity(ids.len()),
                ids,
                text,
                finish_reason: None,
                cut: None,
                reader_id: 0,
                waker: None,
                detached_at: None,
            }),
        }
    }

    /// Appends a token; returns true when a stop sequence ends the answer.
    pub(super) fn push(&self, id: TokenId, bytes: &[u8]) -> bool {
        let mut state = self.lock();
        state.ids.push(id);
        let stopped = state.text.push(bytes);
        let ready_len = state.text.ready_len();
        state.ready_lens.push(ready_len);
        if stopped {
            state.finish_reason = Some(FinishReason::Stop);
        }
        state.wake();
        stopped
    }

    /// Processes a token that the caller already has; returns true when a stop sequence ends the
    /// answer.
    pub(super) fn replay(&self, bytes: &[u8]) -> bool {
        let mut state = self.lock();
        let stopped = state.text.push(bytes);
        let ready_len = state.text.ready_len();
        state.ready_lens.push(ready_len);
        if stopped {
            state.finish_reason = Some(FinishReason::Stop);
        }
        stopped
    }

    /// Ends the answer, and releases the text that was held back.
    pub(super) fn finish(&self, reason: FinishReason) {
        let mut state = self.lock();
        state.text.finish();
        let ready_len = state.text.ready_len();
        if let Some(last) = state.ready_lens.last_mut() {
            *last = ready_len;
        }
        state.finish_reason = Some(reason);
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

    /// Reports whether the stream has had no reader for at least `grace`.
    pub(super) fn is_abandoned(&self, grace: Duration) -> bool {
        self.lock()
            .detached_at
            .is_some_and(|since| since.elapsed() >= grace)
    }

    /// Attaches a reader, which replaces an earlier one. Returns `None` if the stream has fewer than
    /// `position` tokens or fewer than `sent` bytes of text.
    pub(super) fn attach(self: &Arc<Stream>, position: usize, sent: usize) -> Option<Reader> {
        let mut state = self.lock();
        if position > state.ids.len() || sent > state.text.ready_len() {
            return None;
        }
        state.reader_id += 1;
        state.detached_at = None;
        state.wake();
        Some(Reader {
            reader_id: state.reader_id,
            position,
            sent,
            buf: Vec::new(),
            offset: 0,
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
/// Pending tokens are sent in one write with an event for each token. If there are so many that the
/// reader must have been detached, they are sent as a single event.
#[derive(Debug)]
pub(super) struct Reader {
    stream: Arc<Stream>,
    reader_id: u64,
    position: usize,
    sent: usize,
    buf: Vec<u8>,
    offset: usize,
    finished: bool,
}

/// An event in the form in which it is sent.
#[derive(Serialize)]
struct Event<'a> {
    id: &'a str,
    position: usize,
    token_ids: &'a [TokenId],
    text: &'a str,
    finish_reason: Option<SentFinishReason>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

/// The reason why a stream ends, in the form in which it is sent.
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum SentFinishReason {
    Length,
    Replaced,
    Stop,
}

impl From<FinishReason> for SentFinishReason {
    fn from(reason: FinishReason) -> SentFinishReason {
        match reason {
            FinishReason::Length => SentFinishReason::Length,
            FinishReason::Stop => SentFinishReason::Stop,
        }
    }
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: u32,
    completion_tokens: usize,
}

impl Reader {
    /// Writes the pending events to the buffer; returns false when there are none.
    fn fill_buf(&mut self, state: &State) -> bool {
        self.buf.clear();
        self.offset = 0;
        let pending = state.ids.len() - self.position;
        let chunk = if pending > MAX_SINGLE_TOKEN_EVENTS {
            pending
        } else {
            1
        };
        while self.position < state.ids.len() {
            let to = self.position + chunk;
            self.write_tokens(state, to, state.ready_lens[to - 1]);
        }
        // Text that was held back after the caller's last token may now be sent without a token.
        if self.sent < state.text.ready_len() {
            self.write_tokens(state, self.position, state.text.ready_len());
        }
        if let Some(reason) = state.finish_reason {
            self.write_event(&Event {
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

    /// Writes the event that informs a reader that another reader has replaced it.
    fn write_replaced(&mut self) {
        self.buf.clear();
        self.offset = 0;
        self.write_event(&Event {
            id: &self.stream.id.clone(),
            position: self.position,
            token_ids: &[],
            text: "",
            finish_reason: Some(SentFinishReason::Replaced),
            usage: None,
        });
        self.finished = true;
    }

    /// Writes an event with the tokens up to `to` and the text up to `text_end`.
    fn write_tokens(&mut self, state: &State, to: usize, text_end: usize) {
        let text = state.text.slice(self.sent, text_end);
        self.write_event(&Event {
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

    fn write_event(&mut self, event: &Event<'_>) {
        self.buf.extend_from_slice(b"data: ");
        serde_json::to_writer(&mut self.buf, event).expect("writing to a vector does not fail");
        self.buf.extend_from_slice(b"\n\n");
    }
}

impl AsyncBufRead for Reader {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        if this.offset == this.buf.len() && !this.finished {
            let stream = this.stream.clone();
            let mut state = stream.lock();
            if state.reader_id != this.reader_id {
                this.write_replaced();
                return Poll::Ready(Ok(&this.buf[this.offset..]));
            }
            // Tokens from before a cut are sent first, so that the fault takes effect after exactly
            // its number of tokens.
            if !this.fill_buf(&state) {
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
        Poll::Ready(Ok(&this.buf[this.offset..]))
    }

    fn consume(self: Pin<&mut Self>, amount: usize) {
        self.get_mut().offset += amount;
    }
}

impl AsyncRead for Reader {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        poll_read_buffered(self, cx, out)
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let mut state = self.stream.lock();
        if state.reader_id == self.reader_id {
            state.detached_at = Some(Instant::now());
        }
    }
}
