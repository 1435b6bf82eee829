//! The mutable state of an engine. The server task drives its steps and passes the current time.

use std::{collections::HashMap, sync::Arc, time::Duration};

use cassiareel::backend::{CacheEvents, EngineCommand, LoadReport};
use http_types::StatusCode;
use serde::{Deserialize, Serialize};

use super::{
    batch::{Batch, Job, Outcome},
    cache::{block_hashes, Cache, BLOCK_TOKENS},
    faults::FaultContext,
    model::{token_bytes, Model},
    reports::Reports,
    request::{count_tokens, Request},
    stream::{Reader, Stream, StreamCut},
    text::TextDecoder,
    versions::{CommandOutcome, Versions},
    EngineOptions, Failure, Faults,
};

/// Counts of an engine since its start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stats {
    /// Streams that were started.
    pub starts: u64,
    /// Streams that were started with tokens of an earlier attempt.
    pub resumed: u64,
    /// Streams that were started with prior tokens that differ from the expected answer.
    pub wrong_priors: u64,
    /// Readers that were attached to running streams again.
    pub attached: u64,
    /// Streams that were cancelled.
    pub cancelled: u64,
    /// Requests that were refused before they ran.
    pub refused: u64,
    /// Tokens that were generated.
    pub tokens: u64,
    /// Prompt blocks that were found in the cache.
    pub cached_blocks: u64,
    /// Commands that were accepted.
    #[serde(rename = "orders")]
    pub commands: u64,
    /// Commands that were refused because their fencing number was too low.
    #[serde(rename = "old_orders")]
    pub stale_commands: u64,
}

/// A request that is refused before it runs, or fails with a status.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Rejection {
    pub(super) status: StatusCode,
    pub(super) message: String,
}

impl Rejection {
    pub(super) fn new(status: StatusCode, message: impl Into<String>) -> Rejection {
        let message = message.into();
        Rejection { status, message }
    }
}

/// The mutable state of an engine.
#[derive(Debug)]
pub(super) struct State {
    options: EngineOptions,
    batch: Batch,
    streams: HashMap<String, Arc<Stream>>,
    cache: Cache,
    versions: Versions,
    reports: Reports,
    step: Duration,
    request_counts: HashMap<String, u64>,
    random: fastrand::Rng,
    pub(super) faults: Faults,
    pub(super) stats: Stats,
}

impl State {
    pub(super) fn new(options: EngineOptions) -> State {
        let mut state = State {
            batch: Batch::default(),
            streams: HashMap::new(),
            cache: Cache::new(options.cache, options.seed),
            versions: Versions::new(&options.versions),
            reports: Reports::default(),
            step: Duration::ZERO,
            request_counts: HashMap::new(),
            random: fastrand::Rng::with_seed(options.seed),
            faults: Faults::default(),
            stats: Stats::default(),
            options,
        };
        state.record_report(Duration::ZERO);
        state
    }

    /// Returns the number of requests in the running batch.
    pub(super) fn running(&self) -> usize {
        self.batch.running()
    }

    /// Plans the next step and returns its duration, or `None` when no request runs.
    pub(super) fn plan_step(&mut self, now: Duration) -> Option<Duration> {
        let grace = self.options.capacity.unread_grace;
        self.streams
            .retain(|_, stream| !stream.is_cut() && !stream.is_abandoned(grace));
        let step = self
            .batch
            .plan_step(&self.options.speed, &self.options.capacity);
        self.step = step.unwrap_or(self.step);
        self.record_report(now);
        step
    }

    /// Runs the planned step.
    pub(super) fn run_step(&mut self, now: Duration) -> Outcome {
        let result = self
            .batch
            .run_step(&self.options.speed, &self.options.capacity);
        self.stats.tokens += result.tokens;
        for blocks in &result.read_prompts {
            self.cache.store(blocks, now);
        }
        result.outcome
    }

    /// Starts a stream.
    pub(super) fn start(&mut self, path: &str, body: &[u8]) -> Result<Reader, Rejection> {
        let started = self.try_start(path, body);
        match started {
            Ok(_) => self.stats.starts += 1,
            Err(_) => self.stats.refused += 1,
        }
        started
    }

    fn try_start(&mut self, path: &str, body: &[u8]) -> Result<Reader, Rejection> {
        let bad_request = |message| Rejection::new(StatusCode::BadRequest, message);
        let request = Request::parse(body).map_err(bad_request)?;
        let prompt = request.prompt_text().map_err(bad_request)?;
        if !self.versions.is_loaded(&request.model) {
            let message = format!("version {:?} is not loaded", request.model);
            return Err(Rejection::new(StatusCode::NotFound, message));
        }
        if self.faults.leaving {
            let message = "the engine is leaving";
            return Err(Rejection::new(StatusCode::ServiceUnavailable, message));
        }
        let failure = self.draw_failure(&request.model, path, &prompt);
        if failure == Some(Failure::Refuse) {
            let message = "injected fault";
            return Err(Rejection::new(StatusCode::InternalServerError, message));
        }
        self.submit(&request, &prompt, failure)
    }

    /// Determines the injected failure of a request, if any.
    fn draw_failure(&mut self, version: &str, path: &str, prompt: &str) -> Option<Failure> {
        let poison = self.faults.poison.as_deref();
        if poison.is_some_and(|poison| prompt.contains(poison)) {
            return Some(Failure::Crash(0));
        }
        let requests = self.request_counts.entry(version.to_owned()).or_default();
        *requests += 1;
        let context = FaultContext {
            path,
            running: self.batch.running(),
            requests: *requests,
            draw: self.random.f64(),
        };
        let fault = self.faults.versions.get(version)?;
        fault.applies_to(&context).then_some(fault.failure)
    }

    fn submit(
        &mut self,
        request: &Request,
        prompt: &str,
        failure: Option<Failure>,
    ) -> Result<Reader, Rejection> {
        let bad_request = |message| Rejection::new(StatusCode::BadRequest, message);
        let id = request.request_id.clone().unwrap_or_else(generate_id);
        if self.streams.contains_key(&id) {
            return Err(bad_request("the request id is in use"));
        }
        let model = Model::new(&request.model, prompt);
        let prior = &request.prior_token_ids;
        let text = TextDecoder::new(request.stop_sequences(), request.prior_text_bytes);
        let tokens = count_tokens(prompt);
        let stream = Arc::new(Stream::new(id.clone(), tokens, prior.clone(), text));
        let mut stopped = false;
        for &token in prior {
            let bytes =
                token_bytes(token).ok_or_else(|| bad_request("no such token in the vocabulary"))?;
            stopped = stopped || stream.replay(bytes);
        }
        let reader = stream
            .attach(prior.len(), request.prior_text_bytes)
            .ok_or_else(|| bad_request("prior text is past prior tokens"))?;
        let blocks = block_hashes(prompt);
        let hits = self.cache.cached_prefix_len(&blocks);
        let job = Job {
            stream: stream.clone(),
            model,
            position: prior.len() as u32,
            limit: request.token_limit(),
            ignore_eos: request.ignore_eos,
            unread_tokens: tokens + prior.len() as u32 - hits as u32 * BLOCK_TOKENS,
            blocks,
            priority: request.priority,
            failure,
            steps: 0,
        };
        if !stopped && !self.batch.submit(job, &self.options.capacity) {
            let message = "the engine is full";
            return Err(Rejection::new(StatusCode::ServiceUnavailable, message));
        }
        let is_expected = |(i, token): (usize, &u32)| model.token(i as u32) == *token;
        self.stats.resumed += u64::from(!prior.is_empty());
        self.stats.wrong_priors += u64::from(!prior.iter().enumerate().all(is_expected));
        self.stats.cached_blocks += hits as u64;
        self.streams.insert(id, stream);
        Ok(reader)
    }

    /// Attaches a new reader to a running stream, after `from` tokens and `sent` bytes of text.
    pub(super) fn attach(
        &mut self,
        id: &str,
        from: usize,
        sent: usize,
    ) -> Result<Reader, Rejection> {
        let stream = self
            .streams
            .get(id)
            .ok_or_else(|| Rejection::new(StatusCode::NotFound, "there is no such stream"))?;
        let reader = stream.attach(from, sent).ok_or_else(|| {
            Rejection::new(StatusCode::BadRequest, "the stream has not come that far")
        })?;
        self.stats.attached += 1;
        Ok(reader)
    }

    /// Cancels a stream and frees its memory.
    pub(super) fn cancel(&mut self, id: &str) {
        if let Some(stream) = self.streams.remove(id) {
            stream.cut(StreamCut::Reset);
            self.batch.remove(id);
            self.stats.cancelled += 1;
        }
    }

    /// Cuts every stream.
    pub(super) fn cut_streams(&self, how: StreamCut) {
        self.streams.values().for_each(|stream| stream.cut(how));
    }

    /// Returns the load report that was current one load lag ago.
    pub(super) fn load_report(&self, now: Duration) -> LoadReport {
        let report = self.reports.delayed(now, self.options.load_lag);
        report.unwrap_or_default()
    }

    /// Returns the cache events since a sequence number, or a snapshot if `since` is `None`.
    pub(super) fn cache_events(&self, since: Option<u64>, now: Duration) -> CacheEvents {
        match since {
            Some(since) => self.cache.events(since, now),
            None => self.cache.snapshot(),
        }
    }

    /// Applies a command.
    pub(super) fn run_command(&mut self, command: &EngineCommand, now: Duration) -> CommandOutcome {
        let outcome = self.versions.apply(command, self.options.checks_fencing);
        match outcome {
            CommandOutcome::Stale => self.stats.stale_commands += 1,
            _ => self.stats.commands += 1,
        }
        self.record_report(now);
        outcome
    }

    /// Marks a fetched version as loaded.
    pub(super) fn mark_fetched(&mut self, version: &str, now: Duration) {
        self.versions.mark_fetched(version);
        self.record_report(now);
    }

    /// Replaces the injected faults.
    pub(super) fn set_faults(&mut self, faults: Faults, now: Duration) {
        self.faults = faults;
        self.record_report(now);
    }

    fn record_report(&mut self, now: Duration) {
        let report = LoadReport {
            sequence: 0,
            running: self.batch.running() as u32,
            waiting: self.batch.waiting() as u32,
            used_tokens: self.batch.used_tokens(),
            total_tokens: self.options.capacity.memory_tokens,
            token_ms: self.step.as_secs_f64() * 1e3,
            age_ms: 0,
            versions: self.versions.loaded().map(|v| v.as_str().into()).collect(),
            leaving: self.faults.leaving,
            request_limit: self.faults.request_limit,
            ..LoadReport::default()
        };
        self.reports.record(now, report);
    }
}

/// Returns a random id for a stream whose request has none.
fn generate_id() -> String {
    format!("cmpl-{:016x}", fastrand::u64(..))
}
