//! The stream of a caller.

/// Number of tokens in an event.
pub(super) const TOKENS_PER_EVENT: f64 = 8.0;

/// Numbers of tokens of prompts.
pub(super) const PROMPT_TOKENS: std::ops::Range<u64> = 3_400..7_000;

/// The priority of a stream, and its objective.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Class {
    /// The priority, 0 being the highest.
    pub priority: u8,
    /// Longest time to the first event that counts as in time, in milliseconds.
    pub objective_ms: f64,
}

/// The class of all streams where there is one priority.
pub(super) const ONLY_CLASS: Class = Class {
    priority: 0,
    objective_ms: 4500.0,
};

/// The class of the streams of the higher priority.
pub(super) const PREMIUM: Class = Class {
    priority: 0,
    objective_ms: 4000.0,
};

/// The class of the streams of the lower priority.
pub(super) const STANDARD: Class = Class {
    priority: 2,
    objective_ms: 10_000.0,
};

/// Longest pause between events that counts as in time, in milliseconds.
const MAX_PAUSE_MS: f64 = 700.0;

/// The state of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StreamState {
    /// Not on any engine; it is to be sent.
    Pending,
    /// On the engine with this index.
    OnEngine(usize),
    /// Ended.
    Ended,
}

/// A stream and what its caller has received.
#[derive(Clone, Debug)]
pub(super) struct Stream {
    /// Index of the client account.
    pub account: usize,
    /// The priority and the objective.
    pub class: Class,
    /// Fraction of an engine's room that it leaves to others; `None` until it is admitted.
    pub reserved_part: Option<f64>,
    /// Time of the next attempt to send it while it is pending, in milliseconds.
    pub next_send: f64,
    /// Index of the node that serves it.
    pub node: usize,
    /// Time of arrival in milliseconds.
    pub arrived_at: f64,
    /// Time of arrival at its node in milliseconds; later where its caller came back.
    pub asked_at: f64,
    /// Time at which its caller gives up, in milliseconds.
    pub deadline: f64,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Prompt tokens that its node counts as not yet prefilled by its engine.
    pub unread_tokens: u64,
    /// Number of tokens to generate.
    pub output_tokens: f64,
    /// Number of tokens that the caller has received.
    pub generated: f64,
    /// Whether it is pending, on an engine or ended.
    pub state: StreamState,
    /// The engine that keeps a copy of its memory, with the number of starts by which the registry
    /// named that engine when it was chosen.
    pub copy: Option<(usize, u32)>,
    /// Whether its node was lost, so that its caller reconnects and resumes it.
    pub resumed: bool,
    /// Time of the first event in milliseconds.
    pub first_event: Option<f64>,
    /// Time of the last event in milliseconds; the time of arrival before the first event.
    pub last_event: f64,
    /// Longest pause between events in milliseconds.
    pub longest_pause: f64,
    /// Whether its node refused it.
    pub refused: bool,
}

impl Stream {
    /// Adds received tokens and returns whether the stream is complete.
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

    /// Returns the third of all prompt sizes that its prompt belongs to, from 0.
    pub fn size_third(&self) -> u64 {
        let width = (PROMPT_TOKENS.end - PROMPT_TOKENS.start).div_ceil(3);
        (self.prompt_tokens - PROMPT_TOKENS.start) / width
    }

    /// Returns the number of events that the caller has received.
    pub fn events(&self) -> u64 {
        (self.generated / TOKENS_PER_EVENT) as u64
    }

    /// Reports whether the stream was complete and in time.
    pub fn is_in_time(&self) -> bool {
        let first = self
            .first_event
            .is_some_and(|at| at - self.arrived_at <= self.class.objective_ms);
        self.generated >= self.output_tokens && first && self.longest_pause <= MAX_PAUSE_MS
    }
}
