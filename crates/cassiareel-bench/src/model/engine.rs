//! An engine with continuous batching, simulated step by step.

use std::{collections::VecDeque, time::Duration};

use cassiareel::{backend::LoadReport, kernel::Time};

use super::cache::Cache;

/// The speed and the capacity of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineProfile {
    /// Base time of a step.
    pub step_time: Duration,
    /// Time that each request in the batch adds to a step.
    pub per_request: Duration,
    /// Time that each prefilled prompt token adds to a step.
    pub per_prompt_token: Duration,
    /// Largest number of prompt tokens prefilled in a step.
    pub chunk_tokens: u32,
    /// Largest number of running requests.
    pub max_batch: usize,
    /// Memory for running requests, in tokens.
    pub memory_tokens: u64,
    /// Size of the prefix cache, in blocks; it takes no memory from running requests.
    pub cache_blocks: usize,
}

impl Default for EngineProfile {
    fn default() -> EngineProfile {
        EngineProfile {
            step_time: Duration::from_millis(12),
            per_request: Duration::from_micros(100),
            per_prompt_token: Duration::from_micros(100),
            chunk_tokens: 512,
            max_batch: 256,
            memory_tokens: 160_000,
            cache_blocks: 2_500,
        }
    }
}

/// An attempt of a request on an engine.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) call: usize,
    pub(super) attempt: u32,
    pub(super) prompt: u32,
    pub(super) remaining: u32,
    unread_tokens: u32,
    stored_tokens: u32,
}

/// A token that a step generated for a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Token {
    pub(super) call: usize,
    pub(super) attempt: u32,
    pub(super) last: bool,
}

/// Totals of an engine: prompt tokens, those found in the cache, and steps over the memory limit.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EngineCounts {
    pub(super) prompt: u64,
    pub(super) cached: u64,
    pub(super) overflows: u64,
}

/// A simulated engine.
#[derive(Debug)]
pub(super) struct Engine {
    profile: EngineProfile,
    slowdown: f64,
    pub(super) cache: Cache,
    waiting: VecDeque<(Job, Vec<u64>)>,
    running: Vec<(Job, Vec<u64>)>,
    pub(super) busy: bool,
    pub(super) alive: bool,
    pub(super) counts: EngineCounts,
    token_ms: f64,
    reports: u64,
}

impl Engine {
    pub(super) fn new(profile: EngineProfile, slowdown: f64) -> Engine {
        Engine {
            profile,
            slowdown,
            cache: Cache::new(profile.cache_blocks, 0),
            waiting: VecDeque::new(),
            running: Vec::new(),
            busy: false,
            alive: true,
            counts: EngineCounts::default(),
            token_ms: 0.0,
            reports: 0,
        }
    }

    /// Queues a request.
    pub(super) fn submit(
        &mut self,
        call: usize,
        attempt: u32,
        prompt: u32,
        remaining: u32,
        blocks: Vec<u64>,
    ) {
        let job = Job {
            call,
            attempt,
            prompt,
            remaining,
            unread_tokens: prompt,
            stored_tokens: 0,
        };
        self.waiting.push_back((job, blocks));
    }

    /// Crashes and returns the requests that were running or waiting. The new cache continues the
    /// sequence of events.
    pub(super) fn crash(&mut self) -> Vec<Job> {
        self.alive = false;
        let sequence = self.cache.sequence();
        self.cache = Cache::new(self.profile.cache_blocks, sequence);
        let running = self.running.drain(..).map(|(job, _)| job);
        running
            .chain(self.waiting.drain(..).map(|(job, _)| job))
            .collect()
    }

    /// Admits waiting requests and returns the duration of the next step; `None` without work.
    pub(super) fn plan_step(&mut self) -> Option<Duration> {
        while self.running.len() < self.profile.max_batch {
            let used = self.used();
            let fits = |(job, _): &(Job, Vec<u64>)| {
                used + u64::from(job.prompt) < self.profile.memory_tokens
            };
            if !self.waiting.front().is_some_and(fits) {
                break;
            }
            let Some((mut job, blocks)) = self.waiting.pop_front() else {
                break;
            };
            let cached = (self.cache.touch_prefix(&blocks) * 16).min(job.prompt - 1);
            job.unread_tokens = job.prompt - cached;
            job.stored_tokens = cached;
            self.counts.prompt += u64::from(job.prompt);
            self.counts.cached += u64::from(cached);
            self.running.push((job, blocks));
        }
        if self.running.is_empty() {
            return None;
        }
        let unread_tokens: u32 = self.running.iter().map(|(job, _)| job.unread_tokens).sum();
        let count = self.running.len() as u32;
        let time = self.profile.step_time
            + self.profile.per_request * count
            + self.profile.per_prompt_token * unread_tokens.min(self.profile.chunk_tokens);
        let time = time.mul_f64(self.slowdown);
        self.token_ms += 0.1 * (time.as_secs_f64() * 1e3 - self.token_ms);
        Some(time)
    }

    /// Completes the planned step and returns the tokens that it generated.
    pub(super) fn complete_step(&mut self, now: Time) -> Vec<Token> {
        let mut budget = self.profile.chunk_tokens;
        let mut tokens = Vec::new();
        for (job, blocks) in &mut self.running {
            if job.unread_tokens > 0 {
                let read = job.unread_tokens.min(budget);
                budget -= read;
                job.unread_tokens -= read;
                job.stored_tokens += read;
                if job.unread_tokens > 0 {
                    continue;
                }
                self.cache.store(now, blocks);
            }
            job.remaining -= 1;
            job.stored_tokens += 1;
            tokens.push(Token {
                call: job.call,
                attempt: job.attempt,
                last: job.remaining == 0,
            });
        }
        self.running.retain(|(job, _)| job.remaining > 0);
        if self.used() > self.profile.memory_tokens {
            self.counts.overflows += 1;
        }
        tokens
    }

    /// Returns the engine's load report.
    pub(super) fn report(&mut self, age: Duration) -> LoadReport {
        self.reports += 1;
        LoadReport {
            sequence: self.reports,
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            used_tokens: self.used(),
            total_tokens: self.profile.memory_tokens,
            token_ms: self.token_ms,
            age_ms: age.as_millis() as u64,
            ..LoadReport::default()
        }
    }

    fn used(&self) -> u64 {
        self.running
            .iter()
            .map(|(job, _)| u64::from(job.stored_tokens))
            .sum()
    }
}
