//! One stream of a caller.

/// Tokens that an event holds.
pub(super) const TOKENS_PER_EVENT: f64 = 8.0;

/// The longest time to the first event that a caller calls in time, in milliseconds.
pub(super) const MAX_FIRST_EVENT_MS: f64 = 4500.0;

/// The longest pause between events that a caller calls in time, in milliseconds.
const MAX_PAUSE_MS: f64 = 700.0;

/// Where a stream is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StreamState {
    /// Nowhere; it is to be sent.
    Pending,
    /// At an engine.
    OnEngine(usize),
    /// It has ended.
    Ended,
}

/// A stream and what its caller saw.
#[derive(Clone, Debug)]
pub(super) struct Stream {
    /// The client account.
    pub account: usize,
    /// The part of an engine's room that it leaves to others, once it was let in.
    pub reserved_part: Option<f64>,
    /// When it is sent next, where it is nowhere, in milliseconds.
    pub next_send: f64,
    /// The node that serves it.
    pub node: usize,
    /// When it arrived, in milliseconds.
    pub arrived_at: f64,
    /// When its caller gives up, in milliseconds.
    pub deadline: f64,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Prompt tokens that its node counts as not read by its engine.
    pub unread: u64,
    /// Tokens to generate.
    pub output_tokens: f64,
    /// Tokens that the caller has.
    pub generated: f64,
    /// Where it is.
    pub state: StreamState,
    /// The engine that keeps a copy, and its number of starts when it was chosen.
    pub copy: Option<(usize, u32)>,
    /// Whether its caller came back after its node was lost.
    pub resumed: bool,
    /// When the first event came, in milliseconds.
    pub first_event: Option<f64>,
    /// When the last event came, in milliseconds.
    pub last_event: f64,
    /// The longest pause, in milliseconds.
    pub longest_pause: f64,
    /// Whether the node refused it.
    pub refused: bool,
}

impl Stream {
    /// Takes in tokens; returns whether it is whole.
    pub fn add_tokens(&mut self, tokens: f64, now: f64) -> bool {
        let previous_events = (self.generated / TOKENS_PER_EVENT).floor();
        self.generated += tokens;
        if (self.generated / TOKENS_PER_EVENT).floor() > previous_events {
            if self.first_event.is_none() {
                self.first_event = Some(now);
            } else {
                self.longest_pause = self.longest_pause.max(now - self.last_event);
            }
            self.last_event = now;
        }
        self.generated >= self.output_tokens
    }

    /// Events that the caller has.
    pub fn events(&self) -> u64 {
        (self.generated / TOKENS_PER_EVENT) as u64
    }

    /// Reports whether it was whole and in time.
    pub fn is_in_time(&self) -> bool {
        let first = self
            .first_event
            .is_some_and(|at| at - self.arrived_at <= MAX_FIRST_EVENT_MS);
        self.generated >= self.output_tokens && first && self.longest_pause <= MAX_PAUSE_MS
    }
}
