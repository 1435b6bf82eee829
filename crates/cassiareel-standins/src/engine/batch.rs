//! Continuous batching, as steps without a clock.

use std::{sync::Arc, time::Duration};

use cassiareel::kernel::{generation::FinishReason, Position};

use super::{
    model::{token_bytes, Model},
    stream::{Stream, StreamCut},
    Failure,
};

/// How long an engine's steps take.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// A step's time for the first request.
    pub step: Duration,
    /// Further time for each request in the batch.
    pub per_request: Duration,
    /// Further time for each token of a prompt that is read.
    pub per_prefill_token: Duration,
    /// Tokens that a step gives each request.
    pub tokens_per_step: u32,
}

/// Bounds on a batch.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Requests that run at one time.
    pub max_running: usize,
    /// Requests that wait.
    pub max_waiting: usize,
    /// Tokens that fit in memory.
    pub memory_tokens: u64,
    /// Tokens of prompts read in a step.
    pub max_prefill_tokens: u32,
    /// How long a stream that nobody reads goes on.
    pub unread_grace: Duration,
}

/// A request in the engine.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) stream: Arc<Stream>,
    pub(super) model: Model,
    pub(super) position: Position,
    pub(super) limit: Position,
    pub(super) ignore_eos: bool,
    /// Tokens of the prompt and of earlier attempts that must be read before the next token.
    pub(super) unread: u32,
    pub(super) blocks: Vec<u64>,
    pub(super) priority: i32,
    pub(super) failure: Option<Failure>,
    pub(super) steps: u32,
}

/// Whether an engine outlived a step.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum Outcome {
    /// The engine goes on.
    #[default]
    Ran,
    /// The requests outgrew the memory, or one of them crashed the engine.
    Dead,
}

/// What a step did.
#[derive(Debug, Default)]
pub(super) struct Done {
    pub(super) outcome: Outcome,
    /// Tokens generated.
    pub(super) tokens: u64,
    /// Blocks of each prompt that was read to its end.
    pub(super) read: Vec<Vec<u64>>,
}

/// The requests of an engine.
#[derive(Debug, Default)]
pub(super) struct Batch {
    running: Vec<Job>,
    // INVARIANT: in the order in which they will run.
    waiting: Vec<Job>,
}

impl Batch {
    /// Requests that run.
    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    /// Requests that wait.
    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Tokens that the running requests hold.
    pub(super) fn used(&self) -> u64 {
        self.running.iter().map(Job::tokens).sum()
    }

    /// Puts a request in the queue; false when it is full.
    pub(super) fn submit(&mut self, job: Job, capacity: &Capacity) -> bool {
        if self.waiting.len() >= capacity.max_waiting {
            return false;
        }
        let at = self
            .waiting
            .partition_point(|other| other.priority <= job.priority);
        self.waiting.insert(at, job);
        true
    }

    /// Removes the request of a stream.
    pub(super) fn remove(&mut self, id: &str) {
        self.running.retain(|job| job.stream.id != id);
        self.waiting.retain(|job| job.stream.id != id);
    }

    /// Admits requests and tells how long the next step takes; none when there is no work.
    pub(super) fn plan(&mut self, speed: &Speed, capacity: &Capacity) -> Option<Duration> {
        let stays =
            |job: &Job| !job.stream.is_cut() && !job.stream.is_forgotten(capacity.unread_grace);
        self.running.retain(stays);
        self.waiting.retain(stays);
        self.admit(capacity);
        if self.running.is_empty() {
            return None;
        }
        let unread: u32 = self.running.iter().map(|job| job.unread).sum();
        let count = self.running.len() as u32;
        let prefill = speed.per_prefill_token * unread.min(capacity.max_prefill_tokens);
        Some(speed.step + speed.per_request * (count - 1) + prefill)
    }

    /// Carries the planned step out.
    pub(super) fn commit(&mut self, speed: &Speed, capacity: &Capacity) -> Done {
        let mut budget = capacity.max_prefill_tokens;
        let mut done = Done::default();
        self.running.retain_mut(|job| {
            !(0..speed.tokens_per_step).any(|_| job.step(&mut budget, &mut done))
        });
        if self.used() > capacity.memory_tokens {
            done.outcome = Outcome::Dead;
        }
        done
    }

    fn admit(&mut self, capacity: &Capacity) {
        let mut used = self.used();
        while self.running.len() < capacity.max_running {
            // A request that can't ever fit is run all the same: real engines learn it the hard way.
            let fits = |job: &Job| used + job.tokens() <= capacity.memory_tokens || used == 0;
            if !self.waiting.first().is_some_and(fits) {
                return;
            }
            let job = self.waiting.remove(0);
            used += job.tokens();
            self.running.push(job);
        }
    }
}

impl Job {
    fn tokens(&self) -> u64 {
        u64::from(self.stream.prompt_tokens) + u64::from(self.position)
    }

    /// Reads a part of the prompt or adds a token; true when the request is done with.
    fn step(&mut self, budget: &mut u32, done: &mut Done) -> bool {
        let read = self.unread.min(*budget);
        self.unread -= read;
        *budget -= read;
        if self.unread > 0 {
            return false;
        }
        if !self.blocks.is_empty() {
            done.read.push(std::mem::take(&mut self.blocks));
        }
        self.steps += 1;
        match self.fail() {
            Failed::Not => self.generate(done),
            Failed::Waits => false,
            Failed::Over => true,
            Failed::Crashed => {
                done.outcome = Outcome::Dead;
                true
            }
        }
    }

    /// Lets the request's failure come, if it is due.
    fn fail(&self) -> Failed {
        match self.failure {
            Some(Failure::Crash(tokens)) if self.position >= tokens => Failed::Crashed,
            Some(Failure::Reset(tokens)) if self.position >= tokens => {
                self.stream.cut(StreamCut::Reset);
                Failed::Over
            }
            Some(Failure::EndEarly(tokens)) if self.position >= tokens => {
                self.stream.cut(StreamCut::EndEarly);
                Failed::Over
            }
            Some(Failure::Stall(tokens)) if self.position >= tokens => Failed::Waits,
            Some(Failure::Slow(factor)) if self.steps % factor.max(1) != 0 => Failed::Waits,
            _ => Failed::Not,
        }
    }

    /// Adds a token; true when the answer has ended.
    fn generate(&mut self, done: &mut Done) -> bool {
        if let Some(reason) = self.ended() {
            self.stream.finish(reason);
            return true;
        }
        let id = self.model.token(self.position);
        let bytes = token_bytes(id).expect("the model stays in its vocabulary");
        self.position += 1;
        done.tokens += 1;
        if self.stream.push(id, bytes) {
            return true;
        }
        let ended = self.ended();
        if let Some(reason) = ended {
            self.stream.finish(reason);
        }
        ended.is_some()
    }

    fn ended(&self) -> Option<FinishReason> {
        if !self.ignore_eos && self.position >= self.model.natural_end() {
            return Some(FinishReason::Stop);
        }
        (self.position >= self.limit).then_some(FinishReason::Length)
    }
}

/// What a failure does to a request in a step.
enum Failed {
    Not,
    Waits,
    Over,
    Crashed,
}
