//! An engine that generates for a batch of streams and prefills prompts in between.

use std::collections::{HashMap, HashSet, VecDeque};

/// Prompt tokens prefilled per millisecond.
pub(super) const PREFILL_TOKENS_PER_MS: f64 = 5.0;

/// Time of a step without prefill, in milliseconds.
const STEP_MS: f64 = 3.7;

/// Time that each request of the batch adds to a step, in milliseconds.
const STEP_MS_PER_REQUEST: f64 = 0.02;

/// Prompt tokens prefilled in a step.
const CHUNK_TOKENS: f64 = 125.0;

/// Largest number of requests in the batch.
pub(super) const SLOTS: usize = 12;

/// Largest number of requests that wait besides the batch, at an engine of bounded memory.
const QUEUE_SLOTS: usize = 25;

/// An event of a stream during a time step.
pub(super) enum Signal {
    /// The stream's prompt is prefilled.
    PromptRead(usize),
    /// This number of tokens was generated for the stream.
    Generated(usize, f64),
    /// A stream was evicted from memory; this number of tokens, with the prompt, is prefilled
    /// again.
    Evicted(f64),
}

/// An engine. The number of starts distinguishes processes at the same address.
#[derive(Clone, Debug, Default)]
pub(super) struct Engine {
    /// Index of the data centre.
    pub data_centre: usize,
    /// Number of restarts of the process.
    pub starts: u32,
    /// Time at which the process is up again, in milliseconds; in the past if it is up.
    pub up_at_ms: f64,
    /// Streams whose prompts are being prefilled or wait, with their remaining tokens.
    pub prefilling: VecDeque<(usize, f64)>,
    /// Priorities of the streams that were accepted.
    pub priorities: HashMap<usize, u8>,
    /// Streams in generation.
    pub generating: Vec<usize>,
    /// Streams whose prompts are in memory.
    pub cached_prompts: HashSet<usize>,
    /// Memory in tokens; `None` if unbounded.
    pub memory: Option<f64>,
    /// Tokens in memory of each stream in generation.
    pub generating_tokens: HashMap<usize, f64>,
}

impl Engine {
    /// Accepts a stream with `unread_tokens` prompt tokens to prefill. Returns `false` if the
    /// engine is full. Prompts wait by priority, behind the one that is being prefilled.
    pub fn try_accept(&mut self, stream: usize, unread_tokens: f64, priority: u8) -> bool {
        let limit = SLOTS
            + if self.memory.is_some() {
                QUEUE_SLOTS
            } else {
                0
            };
        if self.prefilling.len() + self.generating.len() >= limit {
            return false;
        }
        if unread_tokens > 0.0 {
            self.priorities.insert(stream, priority);
            let before = |other: &(usize, f64)| self.priority(other.0) <= priority;
            let at = self
                .prefilling
                .iter()
                .skip(1)
                .take_while(|o| before(o))
                .count()
                + 1;
            let at = at.min(self.prefilling.len());
            self.prefilling.insert(at, (stream, unread_tokens));
        } else {
            self.generating.push(stream);
        }
        true
    }

    /// Returns the priority of an accepted stream.
    fn priority(&self, stream: usize) -> u8 {
        self.priorities.get(&stream).copied().unwrap_or(0)
    }

    /// Cancels a stream; its prompt stays in memory.
    pub fn cancel(&mut self, stream: usize) {
        self.prefilling.retain(|(other, _)| *other != stream);
        self.generating.retain(|other| *other != stream);
        self.generating_tokens.remove(&stream);
    }

    /// Reports whether a slot and `tokens` of memory are free now. Accepted prompts count by the
    /// tokens that remain to be prefilled.
    pub fn has_room(&self, tokens: f64) -> bool {
        let needed_tokens = self.used_tokens() + self.unread_tokens() + tokens;
        let accepted = self.prefilling.len() + self.generating.len();
        accepted < SLOTS && self.memory.is_none_or(|memory| needed_tokens <= memory)
    }

    /// Returns the number of prompt tokens that remain to be prefilled.
    fn unread_tokens(&self) -> f64 {
        self.prefilling.iter().map(|(_, remaining)| remaining).sum()
    }

    /// Returns the memory used by streams in generation, in tokens.
    pub fn used_tokens(&self) -> f64 {
        self.generating_tokens.values().sum()
    }

    /// Crashes the process, which loses its memory and is up again at `up_at_ms`. Returns the
    /// streams that were lost.
    pub fn crash(&mut self, up_at_ms: f64) -> Vec<usize> {
        self.starts += 1;
        self.up_at_ms = up_at_ms;
        self.cached_prompts.clear();
        self.cancel_all()
    }

    /// Cancels and returns all streams; prompts that were prefilled stay in memory.
    pub fn cancel_all(&mut self) -> Vec<usize> {
        self.generating_tokens.clear();
        let prefilling = self.prefilling.drain(..).map(|(stream, _)| stream);
        prefilling.chain(self.generating.drain(..)).collect()
    }

    /// Advances by `elapsed_ms` milliseconds and returns what happened to streams.
    pub fn advance(&mut self, elapsed_ms: f64) -> Vec<Signal> {
        let mut signals = Vec::new();
        let mut step = STEP_MS + STEP_MS_PER_REQUEST * self.generating.len() as f64;
        let next = self.prefilling.front_mut();
        if let Some((stream, remaining)) = next.filter(|_| self.generating.len() < SLOTS) {
            let chunk = CHUNK_TOKENS / PREFILL_TOKENS_PER_MS;
            *remaining -= elapsed_ms * CHUNK_TOKENS / (step + chunk);
            step += chunk;
            let stream = *stream;
            if *remaining <= 0.0 {
                self.prefilling.pop_front();
                self.cached_prompts.insert(stream);
                self.generating.push(stream);
                signals.push(Signal::PromptRead(stream));
            }
        }
        let generated = elapsed_ms / step;
        signals.extend(
            self.generating
                .iter()
                .map(|s| Signal::Generated(*s, generated)),
        );
        self.grow_memory(generated, &mut signals);
        signals
    }

    /// Adds the generated tokens to the streams' memory, and evicts the newest streams where the
    /// memory is exceeded.
    fn grow_memory(&mut self, generated: f64, signals: &mut Vec<Signal>) {
        let Some(memory) = self.memory else {
            return;
        };
        for stream in &self.generating {
            *self.generating_tokens.entry(*stream).or_default() += generated;
        }
        while self.used_tokens() > memory {
            let Some(newest) = self.generating.pop() else {
                return;
            };
            let tokens = self.generating_tokens.remove(&newest).unwrap_or(0.0);
            self.prefilling.push_back((newest, tokens));
            signals.push(Signal::Evicted(tokens));
        }
    }
}
