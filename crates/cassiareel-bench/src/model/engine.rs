//! An engine that batches continuously, in steps.

use std::{collections::VecDeque, time::Duration};

use cassiareel::{backend::LoadReport, kernel::Time};

use super::cache::Cache;

/// How fast an engine is and what it can hold.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// A step's time.
    pub step: Duration,
    /// Further time for each request in the batch.
    pub request: Duration,
    /// Further time for each token of a prompt that is read.
    pub prefill: Duration,
    /// Tokens of prompts read in a step.
    pub chunk: u32,
    /// Requests that run at one time.
    pub batch: usize,
    /// Tokens that fit in memory.
    pub memory: u64,
    /// Blocks of prefixes that are kept beside.
    pub blocks: usize,
}

impl Default for Speed {
    fn default() -> Speed {
        Speed {
            step: Duration::from_millis(12),
            request: Duration::from_micros(100),
            prefill: Duration::from_micros(100),
            chunk: 512,
            batch: 256,
            memory: 160_000,
            blocks: 2_500,
        }
    }
}

/// A request at an engine.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) call: usize,
    pub(super) attempt: u32,
    pub(super) prompt: u32,
    pub(super) left: u32,
    unread: u32,
    held: u32,
}

/// What a step gave a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Token {
    pub(super) call: usize,
    pub(super) attempt: u32,
    pub(super) last: bool,
}

/// What an engine did.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counts {
    pub(super) prompt: u64,
    pub(super) cached: u64,
    pub(super) overflows: u64,
}

/// An engine.
#[derive(Debug)]
pub(super) struct Engine {
    speed: Speed,
    slow: f64,
    pub(super) cache: Cache,
    waiting: VecDeque<(Job, Vec<u64>)>,
    running: Vec<(Job, Vec<u64>)>,
    pub(super) busy: bool,
    pub(super) alive: bool,
    pub(super) counts: Counts,
    token_ms: f64,
    reports: u64,
}

impl Engine {
    pub(super) fn new(speed: Speed, slow: f64) -> Engine {
        Engine {
            speed,
            slow,
            cache: Cache::new(speed.blocks, 0),
            waiting: VecDeque::new(),
            running: Vec::new(),
            busy: false,
            alive: true,
            counts: Counts::default(),
            token_ms: 0.0,
            reports: 0,
        }
    }

    /// Takes a request.
    pub(super) fn submit(
        &mut self,
        call: usize,
        attempt: u32,
        prompt: u32,
        left: u32,
        blocks: Vec<u64>,
    ) {
        let job = Job {
            call,
            attempt,
            prompt,
            left,
            unread: prompt,
            held: 0,
        };
        self.waiting.push_back((job, blocks));
    }

    /// Dies and gives back what it ran.
    pub(super) fn die(&mut self) -> Vec<Job> {
        self.alive = false;
        let sequence = self.cache.sequence();
        self.cache = Cache::new(self.speed.blocks, sequence);
        let running = self.running.drain(..).map(|(job, _)| job);
        running
            .chain(self.waiting.drain(..).map(|(job, _)| job))
            .collect()
    }

    /// Admits requests and tells how long the next step takes; none without work.
    pub(super) fn plan(&mut self) -> Option<Duration> {
        while self.running.len() < self.speed.batch {
            let used = self.used();
            let fits =
                |(job, _): &(Job, Vec<u64>)| used + u64::from(job.prompt) < self.speed.memory;
            if !self.waiting.front().is_some_and(fits) {
                break;
            }
            let Some((mut job, blocks)) = self.waiting.pop_front() else {
                break;
            };
            let cached = (self.cache.lead(&blocks) * 16).min(job.prompt - 1);
            job.unread = job.prompt - cached;
            job.held = cached;
            self.counts.prompt += u64::from(job.prompt);
            self.counts.cached += u64::from(cached);
            self.running.push((job, blocks));
        }
        if self.running.is_empty() {
            return None;
        }
        let unread: u32 = self.running.iter().map(|(job, _)| job.unread).sum();
        let count = self.running.len() as u32;
        let time = self.speed.step
            + self.speed.request * count
            + self.speed.prefill * unread.min(self.speed.chunk);
        let time = time.mul_f64(self.slow);
        self.token_ms += 0.1 * (time.as_secs_f64() * 1e3 - self.token_ms);
        Some(time)
    }

    /// Carries the planned step out.
    pub(super) fn commit(&mut self, now: Time) -> Vec<Token> {
        let mut budget = self.speed.chunk;
        let mut tokens = Vec::new();
        for (job, blocks) in &mut self.running {
            if job.unread > 0 {
                let read = job.unread.min(budget);
                budget -= read;
                job.unread -= read;
                job.held += read;
                if job.unread > 0 {
                    continue;
                }
                self.cache.store(now, blocks);
            }
            job.left -= 1;
            job.held += 1;
            tokens.push(Token {
                call: job.call,
                attempt: job.attempt,
                last: job.left == 0,
            });
        }
        self.running.retain(|(job, _)| job.left > 0);
        if self.used() > self.speed.memory {
            self.counts.overflows += 1;
        }
        tokens
    }

    /// Its word on its load.
    pub(super) fn report(&mut self, age: Duration) -> LoadReport {
        self.reports += 1;
        LoadReport {
            sequence: self.reports,
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            used_tokens: self.used(),
            total_tokens: self.speed.memory,
            token_ms: self.token_ms,
            age_ms: age.as_millis() as u64,
            versions: Vec::new(),
            leaving: false,
        }
    }

    fn used(&self) -> u64 {
        self.running
            .iter()
            .map(|(job, _)| u64::from(job.held))
            .sum()
    }
}
