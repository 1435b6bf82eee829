//! The driver of one generation: carries out the machine's actions.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures_lite::{AsyncWriteExt, FutureExt, StreamExt};
use slog::{info, o, Logger};
use smol::Timer;

use super::{
    answer::{Shape, Usage},
    choose::{log_decision, Admitted, Place},
    Outcome, Parts, Prompt, Refusal,
};
use crate::{
    backend::{Engine, HttpEngine, Piece, Pieces, Start, StreamError},
    engines::Decision,
    hooks::{self, Step},
    kernel::{
        generation::{Action, Ending, Event, FinishReason, Generation, Limits, Loss, NoBackend},
        health, moves, Attempt, RequestId, Time, TokenId,
    },
    observe::{self, Counter},
    peer::Watch,
    settings::{Resolved, Route},
};

/// The lowest status by which an engine says that it failed.
const SERVER_ERROR: u16 = 500;

/// What a driver tells the handler that waits for the answer.
#[derive(Debug)]
pub(super) enum Signal {
    /// The first tokens are there: the answer can begin.
    Began,
    /// The answer is whole.
    Complete {
        text: String,
        reason: FinishReason,
        usage: Usage,
    },
    /// The answer ended without being whole.
    Refused(Refusal),
}

/// Drives one generation to its end.
pub(super) struct Driver {
    pub(super) id: RequestId,
    pub(super) prompt: Prompt,
    pub(super) route: Route,
    pub(super) watch: Watch,
    pub(super) shape: Shape,
    pub(super) parts: Arc<Parts>,
    /// Every policy along the request's path.
    pub(super) policy: Resolved,
    pub(super) log: Logger,
    /// Where a streamed answer goes; an answer that is not streamed is gathered.
    pub(super) out: Option<piper::Writer>,
    pub(super) signal: async_channel::Sender<Signal>,
    /// The request's place within the limits and its first backend server.
    pub(super) admitted: Admitted,
    /// Chained hashes of the prompt's blocks.
    pub(super) prefix: Vec<u64>,
}

/// The state of a driver at work.
struct Work {
    driver: Driver,
    origin: Instant,
    machine: Generation,
    place: Option<Place>,
    pieces: Option<Pieces>,
    wake: Time,
    tokens: Vec<TokenId>,
    text: String,
    text_bytes: usize,
    prompt_tokens: u32,
    refused: Option<Refusal>,
    abandoned: bool,
    buf: Vec<u8>,
}

/// Time for an engine to begin its answer's head.
const ENGINE_HEAD: Duration = Duration::from_secs(10);

/// Shortest time without a token after which an engine may count as silent.
const SILENCE_FLOOR: Duration = Duration::from_millis(1200);

/// Time for an engine to take up a live stream again.
const ATTACH: Duration = Duration::from_millis(150);

/// Time that a refused caller is asked to wait.
const RETRY_AFTER: Duration = Duration::from_secs(2);

impl Driver {
    /// Runs the generation until its answer has ended.
    pub(super) async fn run(self) {
        let limits = Limits {
            queue: self.policy.time.queue,
            first: self.policy.time.first_token,
            floor: SILENCE_FLOOR.min(self.policy.time.between_tokens),
            between: self.policy.time.between_tokens,
            attach: ATTACH,
            retry: self.policy.retries.pause,
            attempts: self.policy.retries.attempts,
        };
        let (machine, actions) = Generation::start(limits, Duration::ZERO);
        let mut work = Work {
            driver: self,
            origin: Instant::now(),
            machine,
            place: None,
            pieces: None,
            wake: Duration::ZERO,
            tokens: Vec::new(),
            text: String::new(),
            text_bytes: 0,
            prompt_tokens: 0,
            refused: None,
            abandoned: false,
            buf: Vec::new(),
        };
        work.perform(actions).await;
        while !work.machine.is_ended() {
            let event = work.next().await;
            let actions = work.machine.step(work.now(), event);
            work.perform(actions).await;
        }
    }
}

impl Work {
    fn now(&self) -> Time {
        self.origin.elapsed()
    }

    /// Waits for the next event: a piece that is there goes before a timer that is due.
    async fn next(&mut self) -> Event {
        let attempt = self.machine.attempt();
        let due = self.origin + self.wake;
        let timer = async {
            Timer::at(due).await;
            None
        };
        let piece = match &mut self.pieces {
            Some(pieces) => async { Some(pieces.next().await) }.or(timer).await,
            None => timer.await,
        };
        match piece {
            None => Event::Tick,
            Some(Some(Ok(piece))) => self.event(piece),
            Some(Some(Err(err))) => self.lost(attempt, &err),
            Some(None) => Event::Lost {
                attempt,
                how: Loss::Reset,
            },
        }
    }

    /// Turns a piece into an event, checking whose answer it is.
    fn event(&mut self, piece: Piece) -> Event {
        let current = self.machine.attempt();
        let (request, attempt, event) = match piece {
            Piece::Tokens {
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
            Piece::Finished {
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
            .parts
            .metrics
            .count(Counter::Mismatches, 1, &[service]);
        info!(self.driver.log, "answer of another request";
            "got" => &*request, "got_attempt" => attempt, "attempt" => current);
        Event::Lost {
            attempt: current,
            how: Loss::Mismatch,
        }
    }

    /// Turns a stream's error into an event.
    fn lost(&mut self, attempt: Attempt, err: &StreamError) -> Event {
        let service = ("service", &*self.driver.route.service);
        self.driver
            .parts
            .metrics
            .count(Counter::LostAttempts, 1, &[service]);
        info!(self.driver.log, "attempt lost"; "attempt" => attempt, "cause" => %err);
        self.blame(err);
        if let Some(place) = &mut self.place {
            match err {
                // An engine that refuses is there; that it is full is known by its load.
                StreamError::Refused { .. } => {}
                StreamError::Malformed { .. } => place.note(health::Outcome::Fault),
                StreamError::NotSent { .. } | StreamError::Lost { .. } => {
                    place.note(health::Outcome::Lost);
                }
            }
        }
        let how = match err {
            StreamError::Refused { status, message } => {
                if !crate::backend::is_transient(*status) {
                    self.refused = Some(engine_refusal(*status, message));
                    return Event::NotChosen {
                        attempt,
                        why: NoBackend::Unplaced,
                    };
                }
                Loss::Refused
            }
            StreamError::NotSent { .. } => Loss::Refused,
            StreamError::Malformed { .. } => Loss::Mismatch,
            StreamError::Lost { .. } => Loss::Reset,
        };
        Event::Lost { attempt, how }
    }

    /// Counts a fault of the version where the caller did not cause it.
    fn blame(&self, err: &StreamError) {
        let callers = matches!(err, StreamError::Refused { status, .. }
            if *status < SERVER_ERROR && !crate::backend::is_transient(*status));
        if !callers {
            self.driver.watch.end(moves::Outcome::Error, &self.server());
        }
    }

    /// The backend server of the current attempt.
    fn server(&self) -> String {
        let place = self.place.as_ref();
        place.map_or_else(String::new, |place| place.addr.to_string())
    }

    /// Carries actions out, and those that follow from them.
    async fn perform(&mut self, actions: Vec<Action>) {
        let mut queue = std::collections::VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            if let Some(event) = self.act(action).await {
                queue.extend(self.machine.step(self.now(), event));
            }
        }
    }

    /// Passes a step at which tests bring faults about.
    async fn pass(&mut self, step: Step) {
        let parts = self.driver.parts.clone();
        hooks::pass(&*parts.hooks, step).await;
    }

    /// Carries one action out; what it led to at once is an event.
    async fn act(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Choose { attempt, exclude } => Some(self.choose(attempt, &exclude)),
            Action::Open { attempt, .. } => self.open(attempt).await,
            Action::Attach { attempt, .. } => self.attach(attempt).await,
            Action::Cancel { attempt, .. } => {
                self.cancel(attempt);
                None
            }
            Action::Emit { ids, text, .. } => self.emit(ids, &text).await,
            Action::Wake { at } => {
                self.wake = at;
                None
            }
            Action::End(ending) => {
                self.finish(ending).await;
                None
            }
        }
    }

    fn choose(&mut self, attempt: Attempt, exclude: &[crate::kernel::BackendId]) -> Event {
        self.pieces = None;
        let (decision, place) = match self.driver.admitted.first.take() {
            Some((decision, place)) => (decision, Some(place)),
            None => self.choose_again(exclude),
        };
        self.place = place;
        let log = self.driver.log.new(
            o!("attempt" => attempt, "excluded" => exclude.join(" "), "tokens" => self.tokens.len()),
        );
        log_decision(&log, &self.driver.route, &decision);
        let chosen = self.place.as_ref().map(|place| place.addr.to_string());
        match chosen {
            Some(backend) => Event::Chosen {
                attempt,
                backend: backend.into(),
            },
            None if self.driver.route.servers.is_empty() => Event::NotChosen {
                attempt,
                why: NoBackend::Unplaced,
            },
            None => Event::NotChosen {
                attempt,
                why: NoBackend::Busy,
            },
        }
    }

    /// Chooses for an attempt that goes on after the tokens so far.
    fn choose_again(&self, exclude: &[crate::kernel::BackendId]) -> (Decision, Option<Place>) {
        let Driver {
            parts,
            prompt,
            prefix,
            route,
            ..
        } = &self.driver;
        let got = self.tokens.len() as u32;
        let ask = parts
            .chooser
            .ask(prefix.clone(), prompt.text.len(), got, prompt.tokens);
        let path = prompt.endpoint.path();
        parts.chooser.resume(route, path, &ask, exclude)
    }

    async fn open(&mut self, attempt: Attempt) -> Option<Event> {
        self.pass(Step::AttemptChosen).await;
        let engine = HttpEngine::new(self.place.as_ref()?.addr, ENGINE_HEAD);
        let mut body = (*self.driver.prompt.body).clone();
        let model = format!(
            "{}@{}",
            self.driver.route.service, self.driver.route.version
        );
        body.insert("model".into(), model.into());
        let start = Start {
            request: self.driver.id.clone(),
            attempt,
            path: self.driver.prompt.endpoint.path(),
            body: Arc::new(body),
            prior: Arc::new(self.tokens.clone()),
            prior_text: self.text_bytes,
            priority: 0,
        };
        match engine.open(&start).await {
            Ok(pieces) => {
                self.pieces = Some(pieces);
                self.pass(Step::AttemptOpened).await;
                None
            }
            Err(err) => Some(self.lost(attempt, &err)),
        }
    }

    /// Takes up the live stream of an attempt whose connection was lost.
    async fn attach(&mut self, attempt: Attempt) -> Option<Event> {
        self.pieces = None;
        let engine = HttpEngine::new(self.place.as_ref()?.addr, ENGINE_HEAD);
        let from = self.machine.position();
        let attached = async {
            engine
                .attach(&self.driver.id, attempt, from, self.text_bytes)
                .await
                .map_err(|err| err.to_string())
        };
        let bound = async {
            Timer::after(ATTACH).await;
            Err(format!("no answer within {ATTACH:?}"))
        };
        match attached.or(bound).await {
            Ok(pieces) => {
                info!(self.driver.log, "live stream taken up again"; "attempt" => attempt, "from" => from);
                self.pieces = Some(pieces);
                Some(Event::Attached { attempt })
            }
            Err(cause) => {
                info!(self.driver.log, "live stream is gone"; "attempt" => attempt, "cause" => cause);
                let how = Loss::Reset;
                Some(Event::Lost { attempt, how })
            }
        }
    }

    /// Cancels an attempt in the background: the next one doesn't wait for it.
    fn cancel(&mut self, attempt: Attempt) {
        self.pieces = None;
        let Some(mut place) = self.place.take() else {
            return;
        };
        // An attempt that is cancelled for another reason than its caller was lost.
        if !self.abandoned {
            place.note(health::Outcome::Lost);
        }
        let id = self.driver.id.clone();
        let cancel = async move {
            let engine = HttpEngine::new(place.addr, ENGINE_HEAD);
            let _ = engine.cancel(&id, attempt).await;
        };
        self.driver.parts.spawner.spawn(cancel).detach();
    }

    async fn emit(&mut self, ids: Vec<TokenId>, text: &str) -> Option<Event> {
        self.pass(Step::TokensTaken).await;
        let first = self.tokens.is_empty();
        if let Some(place) = &mut self.place {
            place.first_token();
        }
        let service = &*self.driver.route.service;
        if first {
            let tags = [("service", service)];
            self.driver
                .parts
                .metrics
                .time(observe::Timer::FirstToken, self.now(), &tags);
        }
        self.tokens.extend(ids);
        self.text_bytes += text.len();
        if first {
            let _ = self.driver.signal.try_send(Signal::Began);
        }
        let Some(out) = &mut self.driver.out else {
            self.text.push_str(text);
            return None;
        };
        if text.is_empty() && !first {
            return None;
        }
        self.buf.clear();
        self.driver.shape.text(&mut self.buf, text, first);
        if out.write_all(&self.buf).await.is_err() {
            self.abandoned = true;
            return Some(Event::Abandoned);
        }
        self.pass(Step::TokensPassed).await;
        None
    }

    async fn finish(&mut self, ending: Ending) {
        let tokens = self.tokens.len() as u32;
        info!(self.driver.log, "ended"; "ending" => ?ending, "tokens" => tokens,
            "attempts" => self.machine.attempt());
        if matches!(ending, Ending::Complete(_)) {
            self.driver.watch.whole(tokens, &self.server());
        }
        if let (Ending::Complete(_), Some(place)) = (ending, &mut self.place) {
            place.note(health::Outcome::Success);
        }
        self.place = None;
        let used = u64::from(self.prompt_tokens + tokens);
        let now = self.driver.parts.chooser.now();
        self.driver.admitted.permit.settle(now, used);
        self.pieces = None;
        let usage = Usage::new(self.prompt_tokens, tokens);
        self.count(ending, tokens);
        self.pass(Step::AnswerEnded).await;
        let signal = match ending {
            Ending::Complete(reason) => {
                self.write_finish(reason, usage).await;
                Signal::Complete {
                    text: std::mem::take(&mut self.text),
                    reason,
                    usage,
                }
            }
            Ending::NotRun | Ending::Abandoned => {
                let busy =
                    || Refusal::busy("no backend server can take the request now", RETRY_AFTER);
                Signal::Refused(self.refused.take().unwrap_or_else(busy))
            }
            Ending::Partial => {
                let words = format!(
                    "the answer is whole up to token {tokens} and can't go on; ask again for the rest"
                );
                let refusal = Refusal::busy(words, RETRY_AFTER)
                    .with_code("partial")
                    .with_outcome(Outcome::Ran);
                self.write_error(&refusal).await;
                Signal::Refused(refusal)
            }
        };
        let _ = self.driver.signal.try_send(signal);
    }

    /// Counts an ended generation.
    fn count(&self, ending: Ending, tokens: u32) {
        let service = ("service", &*self.driver.route.service);
        let outcome = match ending {
            Ending::Complete(_) => "complete",
            Ending::NotRun => "not_run",
            Ending::Partial => "partial",
            Ending::Abandoned => "abandoned",
        };
        let metrics = &self.driver.parts.metrics;
        metrics.count(Counter::Requests, 1, &[service, ("outcome", outcome)]);
        metrics.count(Counter::Tokens, tokens.into(), &[service]);
    }

    async fn write_finish(&mut self, reason: FinishReason, usage: Usage) {
        let Some(out) = &mut self.driver.out else {
            return;
        };
        // An answer without tokens begins with its end.
        let _ = self.driver.signal.try_send(Signal::Began);
        self.buf.clear();
        let usage = self.driver.prompt.usage.then_some(usage);
        self.driver.shape.finish(&mut self.buf, reason, usage);
        let _ = out.write_all(&self.buf).await;
    }

    async fn write_error(&mut self, refusal: &Refusal) {
        if let Some(out) = &mut self.driver.out {
            let event = format!("data: {}\n\n", refusal.body());
            let _ = out.write_all(event.as_bytes()).await;
        }
    }
}

/// Passes an engine's refusal on.
fn engine_refusal(status: u16, message: &str) -> Refusal {
    let status =
        http_types::StatusCode::try_from(status).unwrap_or(http_types::StatusCode::BadGateway);
    Refusal::new(status, format!("the engine refused: {message}"))
}
