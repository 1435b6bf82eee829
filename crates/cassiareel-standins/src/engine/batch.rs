//! Continuous batching. The caller waits for the duration of each step and then runs it.

use std::{sync::Arc, time::Duration};

use cassiareel::kernel::{generation::FinishReason, Position};

use super::{
    model::{token_bytes, Model},
    stream::{Stream, StreamCut},
    Failure,
};

/// How long an engine's steps take, and how many tokens they generate.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// The time of a step with one request.
    pub step: Duration,
    /// Additional time for each further request in the batch.
    pub per_request: Duration,
    /// Additional time for each prompt token that the step reads.
    pub per_prefill_token: Duration,
    /// The number of tokens that a step generates for each request.
    pub tokens_per_step: u32,
}

/// Limits of the batch and the queue.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// The maximum number of requests that run at the same time.
    pub max_running: usize,
    /// The maximum number of requests that wait.
    pub max_waiting: usize,
    /// The number of tokens that fit in memory.
    pub memory_tokens: u64,
    /// The maximum number of prompt tokens that a step reads.
    pub max_prefill_tokens: u32,
    /// How long a stream without a reader continues.
    pub unread_grace: Duration,
}

/// A request that runs or waits.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) stream: Arc<Stream>,
    pub(super) model: Model,
    pub(super) position: Position,
    pub(super) limit: Position,
    pub(super) ignore_eos: bool,
    /// Tokens of the prompt and of earlier attempts that are still to be read before the next
    /// token is generated.
    pub(super) unread_tokens: u32,
    pub(super) blocks: Vec<u64>,
    pub(super) priority: i32,
    pub(super) failure: Option<Failure>,
    pub(super) steps: u32,
}

/// Whether the engine crashed in a step.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum Outcome {
    /// The engine continues.
    #[default]
    Ran,
    /// The requests exceeded the memory, or one of them crashed the engine.
    Crashed,
}

/// The result of a step.
#[derive(Debug, Default)]
pub(super) struct StepResult {
    pub(super) outcome: Outcome,
    /// The number of tokens that were generated.
    pub(super) tokens: u64,
    /// The block hashes of each prompt that was read completely in this step.
    pub(super) read_prompts: Vec<Vec<u64>>,
}

/// The running and waiting requests of an engine.
#[derive(Debug, Default)]
pub(super) struct Batch {
    running: Vec<Job>,
    // INVARIANT: sorted by the order in which the requests will run.
    waiting: Vec<Job>,
}

impl Batch {
    /// Returns the number of running requests.
    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of waiting requests.
    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of tokens that the running requests occupy in memory.
    pub(super) fn used_tokens(&self) -> u64 {
        self.running.iter().map(Job::tokens).sum()
    }

    /// Adds a request to the queue; returns false when the queue is full.
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

    /// Removes the request of the stream with this id.
    pub(super) fn remove(&mut self, id: &str) {
        self.running.retain(|job| job.stream.id != id);
        self.waiting.retain(|job| job.stream.id != id);
    }

    /// Admits waiting requests and returns the duration of the next step, or `None` when no request
    /// runs.
    pub(super) fn plan_step(&mut self, speed: &Speed, capacity: &Capacity) -> Option<Duration> {
        let keep =
            |job: &Job| !job.stream.is_cut() && !job.stream.is_abandoned(capacity.unread_grace);
        self.running.retain(keep);
        self.waiting.retain(keep);
        self.admit(capacity);
        if self.running.is_empty() {
            return None;
        }
        let unread_tokens: u32 = self.running.iter().map(|job| job.unread_tokens).sum();
        let count = self.running.len() as u32;
        let prefill = speed.per_prefill_token * unread_tokens.min(capacity.max_prefill_tokens);
        Some(speed.step + speed.per_request * (count - 1) + prefill)
    }

    /// Runs the planned step.
    pub(super) fn run_step(&mut self, speed: &Speed, capacity: &Capacity) -> StepResult {
        let mut prefill_budget = capacity.max_prefill_tokens;
        let mut result = StepResult::default();
        self.running.retain_mut(|job| {
            !(0..speed.tokens_per_step).any(|_| job.step(&mut prefill_budget, &mut result))
        });
        if self.used_tokens() > capacity.memory_tokens {
            result.outcome = Outcome::Crashed;
        }
        result
    }

    fn admit(&mut self, capacity: &Capacity) {
        let mut used = self.used_tokens();
        while self.running.len() < capacity.max_running {
            // A request that can never fit still runs alone, as on real engines, which find out only
            // when their memory is exhausted.
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

    /// Reads a part of the prompt or generates a token; returns true when the request leaves the
    /// batch.
    fn step(&mut self, prefill_budget: &mut u32, result: &mut StepResult) -> bool {
        let read = self.unread_tokens.min(*prefill_budget);
        self.unread_tokens -= read;
        *prefill_budget -= read;
        if self.unread_tokens > 0 {
            return false;
        }
        if !self.blocks.is_empty() {
            result.read_prompts.push(std::mem::take(&mut self.blocks));
        }
        self.steps += 1;
        match self.apply_failure() {
            FailureEffect::Unaffected => self.generate(result),
            FailureEffect::Delayed => false,
            FailureEffect::Ended => true,
            FailureEffect::Crashed => {
                result.outcome = Outcome::Crashed;
                true
            }
        }
    }

    /// Applies the request's injected failure once its token or step is reached.
    fn apply_failure(&self) -> FailureEffect {
        match self.failure {
            Some(Failure::Crash(tokens)) if self.position >= tokens => FailureEffect::Crashed,
            Some(Failure::Reset(tokens)) if self.position >= tokens => {
                self.stream.cut(StreamCut::Reset);
                FailureEffect::Ended
            }
            Some(Failure::EndEarly(tokens)) if self.position >= tokens => {
                self.stream.cut(StreamCut::EndEarly);
                FailureEffect::Ended
            }
            Some(Failure::Stall(tokens)) if self.position >= tokens => FailureEffect::Delayed,
            Some(Failure::Slow(factor)) if self.steps % factor.max(1) != 0 => {
                FailureEffect::Delayed
            }
            _ => FailureEffect::Unaffected,
        }
    }

    /// Generates a token; returns true when the answer has ended.
    fn generate(&mut self, result: &mut StepResult) -> bool {
        if let Some(reason) = self.finish_reason() {
            self.stream.finish(reason);
            return true;
        }
        let id = self.model.token(self.position);
        let bytes = token_bytes(id).expect("the model generates only tokens of its vocabulary");
        self.position += 1;
        result.tokens += 1;
        if self.stream.push(id, bytes) {
            return true;
        }
        let finish_reason = self.finish_reason();
        if let Some(reason) = finish_reason {
            self.stream.finish(reason);
        }
        finish_reason.is_some()
    }

    fn finish_reason(&self) -> Option<FinishReason> {
        if !self.ignore_eos && self.position >= self.model.natural_end() {
            return Some(FinishReason::Stop);
        }
        (self.position >= self.limit).then_some(FinishReason::Length)
    }
}

/// The effect of an injected failure on a request in a step.
enum FailureEffect {
    Unaffected,
    Delayed,
    Ended,
    Crashed,
}
