//! One engine: a batch that generates, and prompts that are read between its tokens.

use std::collections::{HashMap, HashSet, VecDeque};

/// Prompt tokens that are read in a millisecond.
pub(super) const PREFILL_TOKENS_PER_MS: f64 = 5.0;

/// The time of a step without a prompt, in milliseconds.
const STEP_MS: f64 = 3.7;

/// What each request of the batch adds to a step, in milliseconds.
const STEP_MS_PER_REQUEST: f64 = 0.02;

/// Prompt tokens that one step reads.
const CHUNK_TOKENS: f64 = 125.0;

/// Requests that are worked on at once.
pub(super) const SLOTS: usize = 12;

/// Requests that may wait beside these.
const QUEUE_SLOTS: usize = 25;

/// What happened to a stream during one step of time.
pub(super) enum Signal {
    /// Its prompt is read.
    PromptRead(usize),
    /// It got tokens.
    Generated(usize, f64),
    /// It was dropped from memory, and its prompt and so many tokens are read again.
    Evicted(f64),
}

/// An engine. Its number of starts tells processes at one address apart.
#[derive(Clone, Debug, Default)]
pub(super) struct Engine {
    /// The data centre.
    pub data_centre: usize,
    /// How often the process has started anew.
    pub starts: u32,
    /// When it is up again, in milliseconds; in the past where it is up.
    pub up_at_ms: f64,
    /// Streams whose prompts are read or wait, with the tokens that are left to read.
    pub prefilling: VecDeque<(usize, f64)>,
    /// Streams that it generates for.
    pub generating: Vec<usize>,
    /// Streams whose prompts are in its memory.
    pub cached_prompts: HashSet<usize>,
    /// Its memory in tokens, where it is bounded.
    pub memory: Option<f64>,
    /// Tokens of the streams that it generates for.
    pub generating_tokens: HashMap<usize, f64>,
}

impl Engine {
    /// Takes a stream with `unread` prompt tokens; `false` where it is full.
    pub fn try_accept(&mut self, stream: usize, unread_tokens: f64) -> bool {
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
            self.prefilling.push_back((stream, unread_tokens));
        } else {
            self.generating.push(stream);
        }
        true
    }

    /// Forgets a stream; its prompt stays in memory.
    pub fn cancel(&mut self, stream: usize) {
        self.prefilling.retain(|(other, _)| *other != stream);
        self.generating.retain(|other| *other != stream);
        self.generating_tokens.remove(&stream);
    }

    /// Reports whether it can set a place and so many tokens of memory aside now. Prompts that are
    /// read take their memory from the start.
    pub fn has_room(&self, tokens: f64) -> bool {
        let needed_tokens = self.used_tokens() + self.unread_tokens() + tokens;
        let accepted = self.prefilling.len() + self.generating.len();
        accepted < SLOTS && self.memory.is_none_or(|memory| needed_tokens <= memory)
    }

    /// Prompt tokens that it still has to read.
    fn unread_tokens(&self) -> f64 {
        self.prefilling.iter().map(|(_, remaining)| remaining).sum()
    }

    /// Memory of the streams that it generates for, in tokens.
    pub fn used_tokens(&self) -> f64 {
        self.generating_tokens.values().sum()
    }

    /// Ends the process, with all that it held.
    pub fn crash(&mut self, up_at_ms: f64) -> Vec<usize> {
        self.starts += 1;
        self.up_at_ms = up_at_ms;
        self.cached_prompts.clear();
        self.cancel_all()
    }

    /// Forgets all streams; their prompts stay in memory as far as they were read.
    pub fn cancel_all(&mut self) -> Vec<usize> {
        self.generating_tokens.clear();
        let prefilling = self.prefilling.drain(..).map(|(stream, _)| stream);
        prefilling.chain(self.generating.drain(..)).collect()
    }

    /// Works for `time` milliseconds.
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

    /// Lets the streams' memory grow, and drops the newest ones where there is none left.
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
