//! All that changes while an engine runs, as steps without a clock.

use std::{collections::HashMap, sync::Arc, time::Duration};

use cassiareel::backend::{CacheEvents, EngineCommand, LoadReport};
use http_types::StatusCode;
use serde::{Deserialize, Serialize};

use super::{
    batch::{Batch, Job, Outcome},
    cache::{blocks, Cache, BLOCK_TOKENS},
    faults::Seen,
    model::{token_bytes, Model},
    reports::Reports,
    request::{count_tokens, Request},
    stream::{Reader, Stream, StreamCut},
    text::Text,
    versions::{Ordered, Versions},
    EngineOptions, Failure, Faults,
};

/// Counts of what an engine did.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stats {
    /// Streams started.
    pub starts: u64,
    /// Streams started after tokens of an earlier attempt.
    pub resumed: u64,
    /// Streams started after tokens that are not the true ones.
    pub wrong_priors: u64,
    /// Streams taken up again.
    pub attached: u64,
    /// Streams cancelled.
    pub cancelled: u64,
    /// Requests refused before they ran.
    pub refused: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Prompt blocks that were found in the cache.
    pub cached_blocks: u64,
    /// Orders taken.
    #[serde(rename = "orders")]
    pub commands: u64,
    /// Orders refused for their fencing number.
    #[serde(rename = "old_orders")]
    pub stale_commands: u64,
}

/// A refusal before anything ran, or a failure that shows as a status.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Refused {
    pub(super) status: StatusCode,
    pub(super) why: String,
}

impl Refused {
    pub(super) fn new(status: StatusCode, why: impl Into<String>) -> Refused {
        let why = why.into();
        Refused { status, why }
    }
}

/// What changes while an engine runs.
#[derive(Debug)]
pub(super) struct State {
    options: EngineOptions,
    batch: Batch,
    streams: HashMap<String, Arc<Stream>>,
    cache: Cache,
    versions: Versions,
    reports: Reports,
    step: Duration,
    served: HashMap<String, u64>,
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
            served: HashMap::new(),
            random: fastrand::Rng::with_seed(options.seed),
            faults: Faults::default(),
            stats: Stats::default(),
            options,
        };
        state.report(Duration::ZERO);
        state
    }

    /// Requests in the running batch.
    pub(super) fn running(&self) -> usize {
        self.batch.running()
    }

    /// Plans the next step and tells how long it takes; none when there is no work.
    pub(super) fn plan(&mut self, now: Duration) -> Option<Duration> {
        let grace = self.options.capacity.unread_grace;
        self.streams
            .retain(|_, stream| !stream.is_cut() && !stream.is_forgotten(grace));
        let step = self.batch.plan(&self.options.speed, &self.options.capacity);
        self.step = step.unwrap_or(self.step);
        self.report(now);
        step
    }

    /// Carries the planned step out.
    pub(super) fn commit(&mut self, now: Duration) -> Outcome {
        let done = self
            .batch
            .commit(&self.options.speed, &self.options.capacity);
        self.stats.tokens += done.tokens;
        for blocks in &done.read {
            self.cache.store(blocks, now);
        }
        done.outcome
    }

    /// Starts a stream.
    pub(super) fn start(&mut self, path: &str, body: &[u8]) -> Result<Reader, Refused> {
        let started = self.try_start(path, body);
        match started {
            Ok(_) => self.stats.starts += 1,
            Err(_) => self.stats.refused += 1,
        }
        started
    }

    fn try_start(&mut self, path: &str, body: &[u8]) -> Result<Reader, Refused> {
        let bad = |why| Refused::new(StatusCode::BadRequest, why);
        let request = Request::parse(body).map_err(bad)?;
        let prompt = request.text().map_err(bad)?;
        if !self.versions.has(&request.model) {
            let why = format!("version {:?} is not loaded", request.model);
            return Err(Refused::new(StatusCode::NotFound, why));
        }
        if self.faults.leaving {
            let why = "the engine is leaving";
            return Err(Refused::new(StatusCode::ServiceUnavailable, why));
        }
        let failure = self.failure(&request.model, path, &prompt);
        if failure == Some(Failure::Refuse) {
            let why = "injected fault";
            return Err(Refused::new(StatusCode::InternalServerError, why));
        }
        self.submit(&request, &prompt, failure)
    }

    /// Draws what goes wrong with a request.
    fn failure(&mut self, version: &str, path: &str, prompt: &str) -> Option<Failure> {
        let poison = self.faults.poison.as_deref();
        if poison.is_some_and(|poison| prompt.contains(poison)) {
            return Some(Failure::Crash(0));
        }
        let requests = self.served.entry(version.to_owned()).or_default();
        *requests += 1;
        let seen = Seen {
            path,
            running: self.batch.running(),
            requests: *requests,
            draw: self.random.f64(),
        };
        let fault = self.faults.versions.get(version)?;
        fault.hits(&seen).then_some(fault.failure)
    }

    fn submit(
        &mut self,
        request: &Request,
        prompt: &str,
        failure: Option<Failure>,
    ) -> Result<Reader, Refused> {
        let bad = |why| Refused::new(StatusCode::BadRequest, why);
        let id = request.request_id.clone().unwrap_or_else(fresh_id);
        if self.streams.contains_key(&id) {
            return Err(bad("the request id is in use"));
        }
        let model = Model::new(&request.model, prompt);
        let prior = &request.prior_token_ids;
        let text = Text::new(request.stops(), request.prior_text_bytes);
        let tokens = count_tokens(prompt);
        let stream = Arc::new(Stream::new(id.clone(), tokens, prior.clone(), text));
        let mut stopped = false;
        for &token in prior {
            let bytes = token_bytes(token).ok_or_else(|| bad("no such token in the vocabulary"))?;
            stopped = stopped || stream.replay(bytes);
        }
        let reader = stream
            .attach(prior.len(), request.prior_text_bytes)
            .ok_or_else(|| bad("prior text is past prior tokens"))?;
        let blocks = blocks(prompt);
        let hits = self.cache.hits(&blocks);
        let job = Job {
            stream: stream.clone(),
            model,
            position: prior.len() as u32,
            limit: request.limit(),
            ignore_eos: request.ignore_eos,
            unread: tokens + prior.len() as u32 - hits as u32 * BLOCK_TOKENS,
            blocks,
            priority: request.priority,
            failure,
            steps: 0,
        };
        if !stopped && !self.batch.submit(job, &self.options.capacity) {
            let why = "the engine is full";
            return Err(Refused::new(StatusCode::ServiceUnavailable, why));
        }
        let truth = |(i, token): (usize, &u32)| model.token(i as u32) == *token;
        self.stats.resumed += u64::from(!prior.is_empty());
        self.stats.wrong_priors += u64::from(!prior.iter().enumerate().all(truth));
        self.stats.cached_blocks += hits as u64;
        self.streams.insert(id, stream);
        Ok(reader)
    }

    /// Takes a live stream up again.
    pub(super) fn attach(&mut self, id: &str, from: usize, sent: usize) -> Result<Reader, Refused> {
        let stream = self
            .streams
            .get(id)
            .ok_or_else(|| Refused::new(StatusCode::NotFound, "there is no such stream"))?;
        let reader = stream.attach(from, sent).ok_or_else(|| {
            Refused::new(StatusCode::BadRequest, "the stream has not come that far")
        })?;
        self.stats.attached += 1;
        Ok(reader)
    }

    /// Ends a stream and frees its memory.
    pub(super) fn cancel(&mut self, id: &str) {
        if let Some(stream) = self.streams.remove(id) {
            stream.cut(StreamCut::Reset);
            self.batch.remove(id);
            self.stats.cancelled += 1;
        }
    }

    /// Cuts every stream.
    pub(super) fn cut(&self, how: StreamCut) {
        self.streams.values().for_each(|stream| stream.cut(how));
    }

    /// The load, late.
    pub(super) fn load(&self, now: Duration) -> LoadReport {
        let report = self.reports.late(now, self.options.load_lag);
        report.unwrap_or_default()
    }

    /// Cache events since a sequence number, or a snapshot where none is given.
    pub(super) fn cache_events(&self, since: Option<u64>, now: Duration) -> CacheEvents {
        match since {
            Some(since) => self.cache.events(since, now),
            None => self.cache.snapshot(),
        }
    }

    /// Takes an order.
    pub(super) fn order(&mut self, order: &EngineCommand, now: Duration) -> Ordered {
        let ordered = self.versions.order(order, self.options.checks_fencing);
        match ordered {
            Ordered::Old => self.stats.stale_commands += 1,
            _ => self.stats.commands += 1,
        }
        self.report(now);
        ordered
    }

    /// Takes a version that was fetched.
    pub(super) fn fetched(&mut self, version: &str, now: Duration) {
        self.versions.fetched(version);
        self.report(now);
    }

    /// Sets the faults.
    pub(super) fn set_faults(&mut self, faults: Faults, now: Duration) {
        self.faults = faults;
        self.report(now);
    }

    fn report(&mut self, now: Duration) {
        let report = LoadReport {
            sequence: 0,
            running: self.batch.running() as u32,
            waiting: self.batch.waiting() as u32,
            used_tokens: self.batch.used(),
            total_tokens: self.options.capacity.memory_tokens,
            token_ms: self.step.as_secs_f64() * 1e3,
            age_ms: 0,
            versions: self.versions.loaded().map(|v| v.as_str().into()).collect(),
            leaving: self.faults.leaving,
        };
        self.reports.record(now, report);
    }
}

/// A name for a stream whose caller gave none.
fn fresh_id() -> String {
    format!("cmpl-{:016x}", fastrand::u64(..))
}
