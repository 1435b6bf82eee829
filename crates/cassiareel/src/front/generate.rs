//! The driver of one generation, which performs the actions of its state machine.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_lite::{FutureExt, StreamExt};
use slog::{info, o, Logger};
use smol::Timer;

use super::{
    answer::{AnswerFormat, Usage},
    choose::{log_decision, Admitted, BackendGuard},
    probe::wait_until_unresponsive,
    resume::{ResumedAnswer, TicketIssuer},
    suspect, FrontContext, Prompt, Refusal,
};
use crate::{
    backend::{AttemptRequest, ChunkStream, Engine, HttpEngine, StreamChunk, StreamError},
    engines::Decision,
    hooks::{self, Step},
    kernel::{
        generation::{Action, Event, FinishReason, Generation, Limits, Loss, NoBackend, Resume},
        health, moves,
        suspect::PartKey,
        ticket::TokenDigest,
        Attempt, RequestId, Time, TokenId,
    },
    observe::Counter,
    peer::CountedRequest,
    settings::{ResolvedPolicy, Route},
};

/// Lowest status that marks a failure of the engine itself.
const MIN_SERVER_ERROR: u16 = 500;

/// A message from a driver to the handler that waits for the answer.
#[derive(Debug)]
pub(super) enum Signal {
    /// The first tokens have arrived, so that the response can start.
    Started,
    /// The answer is complete.
    Complete {
        text: String,
        reason: FinishReason,
        usage: Usage,
    },
    /// The answer ended before it was complete.
    Refused(Refusal),
}

/// Drives one generation to its end.
pub(super) struct Driver {
    pub(super) id: RequestId,
    pub(super) prompt: Prompt,
    /// The parts of the prompt that other requests may share.
    pub(super) parts: Arc<[PartKey]>,
    pub(super) route: Route,
    pub(super) watch: CountedRequest,
    pub(super) format: AnswerFormat,
    pub(super) context: Arc<FrontContext>,
    /// The policy that the settings give for the caller, service and version.
    pub(super) policy: ResolvedPolicy,
    pub(super) log: Logger,
    /// The pipe to the caller of a streamed answer; none for an answer that is collected.
    pub(super) out: Option<piper::Writer>,
    pub(super) signal: async_channel::Sender<Signal>,
    /// Issues the tickets in event ids.
    pub(super) tickets: TicketIssuer,
    /// The answer of another node that this one resumes.
    pub(super) resumed: Option<ResumedAnswer>,
    /// The request's permit within the limits and its first backend server.
    pub(super) admitted: Admitted,
    /// Chained hashes of the prompt's blocks.
    pub(super) prefix: Vec<u64>,
}

/// The state of a running generation.
pub(super) struct GenerationRun {
    pub(super) driver: Driver,
    /// Start of the generation's clock.
    pub(super) origin: Instant,
    pub(super) machine: Generation,
    pub(super) guard: Option<BackendGuard>,
    pub(super) chunks: Option<ChunkStream>,
    pub(super) wake_at: Time,
    /// Tokens of the answer so far.
    pub(super) tokens: Vec<TokenId>,
    /// Text of an answer that is not streamed.
    pub(super) text: String,
    /// Bytes of the answer's text so far.
    pub(super) text_bytes: usize,
    pub(super) digest: TokenDigest,
    pub(super) started: bool,
    pub(super) prompt_tokens: u32,
    pub(super) refusal: Option<Refusal>,
    /// The engine whose first token is awaited, which is probed meanwhile.
    pub(super) awaited_engine: Option<SocketAddr>,
    pub(super) caller_gone: bool,
    pub(super) buf: Vec<u8>,
    /// Bytes of `buf` that have been written to the caller.
    pub(super) written: usize,
    pub(super) last_token_at: Option<Instant>,
    pub(super) lost_at: Option<Instant>,
    /// Number of tokens in the answer when the last attempt was opened.
    pub(super) tokens_at_open: usize,
    /// Whether an engine wrote the answer past its start.
    pub(super) past_start: bool,
}

/// Time for an engine to send the head of its answer to a cancel.
const ENGINE_HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Shortest time without an answer after which an engine may be considered silent.
pub(super) const MIN_SILENCE: Duration = Duration::from_millis(1200);

/// Tokens that an attempt must generate itself to count as having made progress.
const MIN_PROGRESS_TOKENS: usize = 8;

/// Timeout for reattaching to the live stream of a replaceable attempt after its connection was lost.
const ATTACH_TIMEOUT: Duration = Duration::from_millis(150);

/// Range of random attempt numbers for a node that resumes an answer.
///
/// Random numbers keep two nodes that resume the same answer, or one that continues after a pause,
/// from using the same stream.
const RESUMED_ATTEMPTS: std::ops::Range<Attempt> = 1 << 16..1 << 31;

impl Driver {
    /// Runs the generation until its answer ends.
    pub(super) async fn run(self) {
        let limits = Limits {
            queue_timeout: self.policy.time.queue,
            first_token: self.policy.time.first_token,
            min_silence: MIN_SILENCE.min(self.policy.time.between_tokens),
            max_silence: self.policy.time.between_tokens,
            attach_timeout: ATTACH_TIMEOUT,
            retry_interval: self.policy.retries.pause,
            max_attempts: self.policy.retries.attempts,
        };
        let (machine, actions) = match &self.resumed {
            None => Generation::start(limits, Duration::ZERO),
            Some(from) => Generation::resume(limits, Duration::ZERO, from.position()),
        };
        let guard = self
            .resumed
            .as_ref()
            .map(|from| self.context.chooser.guard_at(from.ticket.backend));
        let prior = self
            .resumed
            .as_ref()
            .and_then(|from| from.prior_tokens.clone());
        let text_bytes = match (&self.resumed, &prior) {
            (Some(from), Some(_)) => from.ticket.text as usize,
            _ => 0,
        };
        let tokens = prior.unwrap_or_default();
        let mut digest = TokenDigest::default();
        digest.update(&tokens);
        let mut run = GenerationRun {
            driver: self,
            origin: Instant::now(),
            machine,
            guard,
            chunks: None,
            wake_at: Duration::ZERO,
            tokens,
            text: String::new(),
            text_bytes,
            digest,
            started: false,
            prompt_tokens: 0,
            refusal: None,
            awaited_engine: None,
            caller_gone: false,
            buf: Vec::new(),
            written: 0,
            last_token_at: None,
            lost_at: None,
            tokens_at_open: 0,
            past_start: false,
        };
        run.perform(actions).await;
        while !run.machine.is_ended() {
            let event = run.next().await;
            let actions = run.machine.step(run.now(), event);
            run.perform(actions).await;
        }
    }
}

impl GenerationRun {
    /// Returns the time on the generation's clock.
    pub(super) fn now(&self) -> Time {
        self.origin.elapsed()
    }

    /// Waits for the next event. A chunk that has arrived takes precedence over a due timer.
    async fn next(&mut self) -> Event {
        if self.written < self.buf.len() {
            return self.drain().await;
        }
        let attempt = self.machine.attempt();
        let due = self.origin + self.wake_at;
        let timer = async {
            Timer::at(due).await;
            None
        };
        // An attempt that can't be replaced waits for its engine until its own deadline.
        let awaited_engine = self
            .awaited_engine
            .filter(|_| self.machine.is_replaceable());
        let silent = async {
            match awaited_engine {
                Some(addr) => Some(Some(Err(wait_until_unresponsive(addr).await))),
                None => smol::future::pending().await,
            }
        };
        let chunk = match &mut self.chunks {
            Some(chunks) => {
                async { Some(chunks.next().await) }
                    .or(timer)
                    .or(silent)
                    .await
            }
            None => timer.await,
        };
        match chunk {
            None => Event::Tick,
            Some(Some(Ok(chunk))) => {
                self.awaited_engine = None;
                self.chunk_event(chunk)
            }
            Some(Some(Err(err))) => self.error_event(attempt, &err),
            Some(None) => Event::Lost {
                attempt,
                loss: Loss::Reset,
            },
        }
    }

    /// Turns a chunk into an event, and checks that it belongs to the current attempt.
    fn chunk_event(&mut self, chunk: StreamChunk) -> Event {
        let current = self.machine.attempt();
        let (request, attempt, event) = match chunk {
            StreamChunk::Tokens {
                request,
                attempt,
                position,
                ids,
                text,
            } => {
                let event = Event::Tokens {
                    attempt,
                    position,
                    ids,
                    text,
                };
                (request, attempt, event)
            }
            StreamChunk::Finished {
                request,
                attempt,
                position,
                reason,
                prompt_tokens,
            } => {
                self.prompt_tokens = prompt_tokens;
                let event = Event::Finished {
                    attempt,
                    position,
                    reason,
                };
                (request, attempt, event)
            }
        };
        if request == self.driver.id && attempt == current {
            return event;
        }
        let service = ("service", &*self.driver.route.service);
        self.driver
            .context
            .metrics
            .count(Counter::Mismatches, 1, &[service]);
        info!(self.driver.log, "answer of another request";
            "got" => &*request, "got_attempt" => attempt, "attempt" => current);
        Event::Lost {
            attempt: current,
            loss: Loss::Mismatch,
        }
    }

    /// Records a stream's error and turns it into an event.
    fn error_event(&mut self, attempt: Attempt, err: &StreamError) -> Event {
        // A silent engine may be sound, so that its silence counts neither as a loss nor as an error
        // of its version.
        if !matches!(err, StreamError::Silent { .. }) {
            self.record_error(attempt, err);
        }
        let loss = match err {
            StreamError::Refused { status, message } => {
                if !crate::backend::is_transient(*status) {
                    self.refusal = Some(engine_refusal(*status, message));
                    return Event::NotChosen {
                        attempt,
                        reason: NoBackend::Unplaced,
                    };
                }
                Loss::Refused
            }
            StreamError::NotSent { .. } => Loss::Refused,
            StreamError::Replaced => return Event::Replaced { attempt },
            StreamError::Malformed { .. } => Loss::Mismatch,
            StreamError::Lost { .. } => Loss::Reset,
            StreamError::Silent { .. } => Loss::Silent,
        };
        Event::Lost { attempt, loss }
    }

    /// Counts and logs a stream's error.
    fn record_error(&mut self, attempt: Attempt, err: &StreamError) {
        let service = ("service", &*self.driver.route.service);
        self.driver
            .context
            .metrics
            .count(Counter::LostAttempts, 1, &[service]);
        info!(self.driver.log, "attempt lost"; "attempt" => attempt, "cause" => %err);
        self.count_error(err);
        let Some(guard) = &mut self.guard else {
            return;
        };
        match err {
            // An engine that refuses is reachable, and its load reports show that it is full.
            StreamError::Refused { .. } | StreamError::Replaced | StreamError::Silent { .. } => {}
            StreamError::Malformed { .. } => guard.set_outcome(health::Outcome::Fault),
            StreamError::NotSent { .. } | StreamError::Lost { .. } => {
                guard.set_outcome(health::Outcome::Lost);
            }
        }
    }

    /// Counts an error of the version, unless the caller caused it.
    fn count_error(&self, err: &StreamError) {
        let callers_fault = matches!(err, StreamError::Refused { status, .. }
            if *status < MIN_SERVER_ERROR && !crate::backend::is_transient(*status));
        if !callers_fault {
            self.driver
                .watch
                .record_outcome(moves::Outcome::Error, &self.server_addr());
        }
    }

    /// Returns the address of the current attempt's backend server; empty if there is none.
    pub(super) fn server_addr(&self) -> String {
        let guard = self.guard.as_ref();
        guard.map_or_else(String::new, |guard| guard.addr.to_string())
    }

    /// Performs actions, and those that follow from them.
    async fn perform(&mut self, actions: Vec<Action>) {
        let mut queue = std::collections::VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            if let Some(event) = self.perform_one(action).await {
                queue.extend(self.machine.step(self.now(), event));
            }
        }
    }

    /// Calls the hooks for a step, at which tests inject faults.
    pub(super) async fn run_hooks(&mut self, step: Step) {
        let context = self.driver.context.clone();
        hooks::run_hook(&*context.hooks, step).await;
    }

    /// Performs one action, and returns the event that it caused, if any.
    async fn perform_one(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Choose { attempt, exclude } => Some(self.choose(attempt, &exclude)),
            Action::Open { attempt, .. } => self.open(attempt).await,
            Action::Attach { attempt, until, .. } => self.attach(attempt, until).await,
            Action::Cancel { attempt, .. } => {
                self.cancel(attempt);
                None
            }
            Action::Emit { ids, text, .. } => self.emit(ids, &text).await,
            Action::Wake { at } => {
                self.wake_at = at;
                None
            }
            Action::End(ending) => {
                self.finish(ending).await;
                None
            }
        }
    }

    fn choose(&mut self, attempt: Attempt, exclude: &[crate::kernel::BackendId]) -> Event {
        self.chunks = None;
        let Driver {
            context,
            policy,
            tickets,
            ..
        } = &self.driver;
        let quarantine = suspect::refusal(context, policy, &tickets.content_digest());
        if quarantine.is_some() {
            info!(self.driver.log, "request quarantined: engines crashed while they ran it";
                "attempt" => attempt);
        }
        if let Some(refusal) = quarantine.or_else(|| self.part_refusal()) {
            self.refusal = Some(refusal);
            let reason = NoBackend::Unplaced;
            return Event::NotChosen { attempt, reason };
        }
        let (decision, guard) = match self.driver.admitted.first.take() {
            Some((decision, guard)) => (decision, Some(guard)),
            None => self.choose_again(exclude),
        };
        self.guard = guard;
        let log = self.driver.log.new(
            o!("attempt" => attempt, "excluded" => exclude.join(" "), "tokens" => self.tokens.len()),
        );
        log_decision(&log, &self.driver.route, &decision);
        let chosen = self.guard.as_ref().map(|guard| guard.addr.to_string());
        match chosen {
            Some(backend) => Event::Chosen {
                attempt,
                backend: backend.into(),
            },
            None if self.driver.route.servers.is_empty() => Event::NotChosen {
                attempt,
                reason: NoBackend::Unplaced,
            },
            None => Event::NotChosen {
                attempt,
                reason: NoBackend::Busy,
            },
        }
    }

    /// Returns the refusal of a request that is held for a part of its prompt. A request that got past
    /// the start of its answer goes on.
    fn part_refusal(&self) -> Option<Refusal> {
        let Driver {
            context,
            log,
            parts,
            ..
        } = &self.driver;
        if self.past_start {
            return None;
        }
        suspect::part_refusal(context, log, parts)
    }

    /// Records once that an engine wrote the answer past its start.
    pub(super) fn record_progress(&mut self) {
        if !self.past_start && self.tokens.len() >= self.tokens_at_open + MIN_PROGRESS_TOKENS {
            self.past_start = true;
            suspect::record_part_survival(&self.driver.context, &self.driver.parts);
        }
    }

    /// Chooses a backend server for an attempt that continues after the tokens so far.
    fn choose_again(
        &self,
        exclude: &[crate::kernel::BackendId],
    ) -> (Decision, Option<BackendGuard>) {
        let Driver {
            context,
            prompt,
            prefix,
            route,
            ..
        } = &self.driver;
        let generated = self.tokens.len() as u32;
        let routing = context.chooser.routing_request(
            prefix.clone(),
            prompt.text.len(),
            generated,
            prompt.max_tokens,
        );
        let path = prompt.endpoint.path();
        context.chooser.choose_again(route, path, &routing, exclude)
    }

    async fn open(&mut self, attempt: Attempt) -> Option<Event> {
        self.run_hooks(Step::AttemptChosen).await;
        self.tokens_at_open = self.tokens.len();
        let addr = self.guard.as_ref()?.addr;
        suspect::record_send(&self.driver.context, &self.driver.parts);
        let engine = HttpEngine::new(addr, self.driver.policy.time.first_token);
        let mut body = (*self.driver.prompt.body).clone();
        let model = format!(
            "{}@{}",
            self.driver.route.service, self.driver.route.version
        );
        body.insert("model".into(), model.into());
        let start = AttemptRequest {
            request: self.driver.id.clone(),
            attempt,
            path: self.driver.prompt.endpoint.path(),
            body: Arc::new(body),
            prior_tokens: Arc::new(self.tokens.clone()),
            prior_text_bytes: self.text_bytes,
            priority: self.driver.policy.limits.priority,
        };
        let is_replaceable = self.machine.is_replaceable();
        let silent = async {
            match is_replaceable {
                true => Err(wait_until_unresponsive(addr).await),
                false => smol::future::pending().await,
            }
        };
        let opened = engine.open(&start).or(silent).await;
        match opened {
            Ok(chunks) => {
                self.chunks = Some(chunks);
                self.awaited_engine = Some(addr);
                self.run_hooks(Step::AttemptOpened).await;
                None
            }
            Err(err) => Some(self.error_event(attempt, &err)),
        }
    }

    /// Reattaches to the live stream of an attempt whose connection was lost.
    async fn attach(&mut self, attempt: Attempt, until: Time) -> Option<Event> {
        self.lost_at = self.lost_at.or(self.last_token_at);
        self.chunks = None;
        let limit = until.saturating_sub(self.now());
        let engine = HttpEngine::new(self.guard.as_ref()?.addr, limit);
        let from = self.machine.position();
        let attached = async {
            engine
                .attach(&self.driver.id, attempt, from, self.text_bytes)
                .await
        };
        let timeout = async {
            Timer::after(limit).await;
            let cause = format!("no answer within {limit:?}");
            Err(StreamError::Lost { cause })
        };
        match attached.or(timeout).await {
            Ok(chunks) => {
                info!(self.driver.log, "reattached to the live stream";
                    "attempt" => attempt, "from" => from);
                self.chunks = Some(chunks);
                Some(Event::Attached { attempt })
            }
            Err(cause) => {
                info!(self.driver.log, "could not reattach to the live stream";
                    "attempt" => attempt, "cause" => %cause);
                self.record_crash(&cause);
                let loss = Loss::Reset;
                Some(Event::Lost { attempt, loss })
            }
        }
    }

    /// Records a crash of the engine as evidence against the request, if no process listens at the
    /// engine's address any more.
    fn record_crash(&self, cause: &StreamError) {
        let (StreamError::NotSent { refused: true, .. }, Some(guard)) = (cause, &self.guard) else {
            return;
        };
        let Driver {
            context,
            tickets,
            parts,
            id,
            ..
        } = &self.driver;
        let early = self.tokens.len() < self.tokens_at_open + MIN_PROGRESS_TOKENS;
        let content = tickets.content_digest();
        suspect::record_crash(context, content, parts, id, guard.addr, early);
    }

    /// Cancels an attempt in the background, so that the next attempt does not wait for it.
    fn cancel(&mut self, attempt: Attempt) {
        self.lost_at = self.lost_at.or(self.last_token_at);
        self.chunks = None;
        let Some(mut guard) = self.guard.take() else {
            return;
        };
        let silence = self.last_token_at.map(|at| at.elapsed().as_millis() as u64);
        info!(self.driver.log, "attempt cancelled"; "attempt" => attempt,
            "server" => %guard.addr, "tokens" => self.tokens.len(), "silent_ms" => silence);
        // A server whose attempt is cancelled while its caller is connected is avoided for a while.
        if !self.caller_gone {
            guard.set_outcome(health::Outcome::Lost);
        }
        let id = self.driver.id.clone();
        let cancel = async move {
            let engine = HttpEngine::new(guard.addr, ENGINE_HEAD_TIMEOUT);
            let _ = engine.cancel(&id, attempt).await;
        };
        self.driver.context.spawner.spawn(cancel).detach();
    }
}

impl ResumedAnswer {
    /// Returns the answer's position for the state machine.
    fn position(&self) -> Resume {
        Resume {
            attempt: self.ticket.attempt,
            next_attempt: fastrand::u32(RESUMED_ATTEMPTS),
            backend: self.ticket.backend.to_string().into(),
            delivered: self.ticket.position,
            tokens_known: self.prior_tokens.is_some(),
        }
    }
}

/// Turns an engine's refusal into the refusal for the caller.
fn engine_refusal(status: u16, message: &str) -> Refusal {
    let status =
        http_types::StatusCode::try_from(status).unwrap_or(http_types::StatusCode::BadGateway);
    Refusal::new(status, format!("the engine refused: {message}"))
}
