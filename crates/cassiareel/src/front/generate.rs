//! The driver of one generation: carries out the machine's actions.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_lite::{FutureExt, StreamExt};
use slog::{info, o, Logger};
use smol::Timer;

use super::{
    answer::{Shape, Usage},
    choose::{log_decision, Admitted, Place},
    probe::until_silent,
    resume::{Resumed, Tickets},
    suspect, Parts, Prompt, Refusal,
};
use crate::{
    backend::{Engine, HttpEngine, Piece, Pieces, Start, StreamError},
    engines::Decision,
    hooks::{self, Step},
    kernel::{
        generation::{Action, Event, FinishReason, Generation, Limits, Loss, NoBackend, Resume},
        health, moves,
        ticket::TokenDigest,
        Attempt, RequestId, Time, TokenId,
    },
    observe::Counter,
    peer::Watch,
    settings::{ResolvedPolicy, Route},
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
    pub(super) policy: ResolvedPolicy,
    pub(super) log: Logger,
    /// Where a streamed answer goes; an answer that is not streamed is gathered.
    pub(super) out: Option<piper::Writer>,
    pub(super) signal: async_channel::Sender<Signal>,
    /// What the ids of events are made of.
    pub(super) tickets: Tickets,
    /// The answer that this one goes on with.
    pub(super) resumed: Option<Resumed>,
    /// The request's place within the limits and its first backend server.
    pub(super) admitted: Admitted,
    /// Chained hashes of the prompt's blocks.
    pub(super) prefix: Vec<u64>,
}

/// The state of a driver at work.
pub(super) struct Work {
    pub(super) driver: Driver,
    pub(super) origin: Instant,
    pub(super) machine: Generation,
    pub(super) place: Option<Place>,
    pub(super) pieces: Option<Pieces>,
    pub(super) wake: Time,
    pub(super) tokens: Vec<TokenId>,
    pub(super) text: String,
    pub(super) text_bytes: usize,
    pub(super) digest: TokenDigest,
    pub(super) began: bool,
    pub(super) prompt_tokens: u32,
    pub(super) refused: Option<Refusal>,
    /// The engine, while its attempt's first token is awaited.
    pub(super) probed: Option<SocketAddr>,
    pub(super) abandoned: bool,
    pub(super) buf: Vec<u8>,
    /// Bytes of `buf` that the caller's connection took.
    pub(super) written: usize,
    pub(super) last: Option<Instant>,
    pub(super) lost_at: Option<Instant>,
    /// Tokens of the answer when the last attempt was opened.
    pub(super) opened_at: usize,
}

/// Time for an engine to begin its answer's head.
const ENGINE_HEAD: Duration = Duration::from_secs(10);

/// Shortest time without a token after which an engine may count as silent.
const SILENCE_FLOOR: Duration = Duration::from_millis(1200);

/// Tokens of its own by which an attempt counts as having advanced.
const PROGRESS: usize = 8;

/// Time for an engine to take up a live stream again.
const ATTACH: Duration = Duration::from_millis(150);

/// Numbers for the attempts of a node that takes an answer up: two nodes that do so, or one that
/// comes back from a pause, do not meet in one stream.
const OWN_ATTEMPTS: std::ops::Range<Attempt> = 1 << 16..1 << 31;

impl Driver {
    /// Runs the generation until its answer has ended.
    pub(super) async fn run(self) {
        let limits = Limits {
            queue_timeout: self.policy.time.queue,
            first_token: self.policy.time.first_token,
            min_silence: SILENCE_FLOOR.min(self.policy.time.between_tokens),
            max_silence: self.policy.time.between_tokens,
            attach_timeout: ATTACH,
            retry_interval: self.policy.retries.pause,
            max_attempts: self.policy.retries.attempts,
        };
        let (machine, actions) = match &self.resumed {
            None => Generation::start(limits, Duration::ZERO),
            Some(from) => Generation::resume(limits, Duration::ZERO, from.standing()),
        };
        let place = self
            .resumed
            .as_ref()
            .map(|from| self.parts.chooser.at(from.ticket.backend));
        let prior = self.resumed.as_ref().and_then(|from| from.prior.clone());
        let text_bytes = match (&self.resumed, &prior) {
            (Some(from), Some(_)) => from.ticket.text as usize,
            _ => 0,
        };
        let tokens = prior.unwrap_or_default();
        let mut digest = TokenDigest::default();
        digest.update(&tokens);
        let mut work = Work {
            driver: self,
            origin: Instant::now(),
            machine,
            place,
            pieces: None,
            wake: Duration::ZERO,
            tokens,
            text: String::new(),
            text_bytes,
            digest,
            began: false,
            prompt_tokens: 0,
            refused: None,
            probed: None,
            abandoned: false,
            buf: Vec::new(),
            written: 0,
            last: None,
            lost_at: None,
            opened_at: 0,
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
    pub(super) fn now(&self) -> Time {
        self.origin.elapsed()
    }

    /// Waits for the next event: a piece that is there goes before a timer that is due.
    async fn next(&mut self) -> Event {
        if self.written < self.buf.len() {
            return self.drain().await;
        }
        let attempt = self.machine.attempt();
        let due = self.origin + self.wake;
        let timer = async {
            Timer::at(due).await;
            None
        };
        let probed = self.probed;
        let silent = async {
            match probed {
                Some(addr) => Some(Some(Err(until_silent(addr).await))),
                None => smol::future::pending().await,
            }
        };
        let piece = match &mut self.pieces {
            Some(pieces) => {
                async { Some(pieces.next().await) }
                    .or(timer)
                    .or(silent)
                    .await
            }
            None => timer.await,
        };
        match piece {
            None => Event::Tick,
            Some(Some(Ok(piece))) => {
                self.probed = None;
                self.event(piece)
            }
            Some(Some(Err(err))) => self.lost(attempt, &err),
            Some(None) => Event::Lost {
                attempt,
                loss: Loss::Reset,
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
            loss: Loss::Mismatch,
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
                StreamError::Refused { .. } | StreamError::Replaced => {}
                StreamError::Malformed { .. } => place.note(health::Outcome::Fault),
                StreamError::NotSent { .. } | StreamError::Lost { .. } => {
                    place.note(health::Outcome::Lost);
                }
            }
        }
        let loss = match err {
            StreamError::Refused { status, message } => {
                if !crate::backend::is_transient(*status) {
                    self.refused = Some(engine_refusal(*status, message));
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
        };
        Event::Lost { attempt, loss }
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
    pub(super) fn server(&self) -> String {
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
    pub(super) async fn pass(&mut self, step: Step) {
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
        let Driver {
            parts,
            policy,
            tickets,
            ..
        } = &self.driver;
        if let Some(refusal) = suspect::refusal(parts, policy, &tickets.content()) {
            info!(self.driver.log, "engines died under the request"; "attempt" => attempt);
            self.refused = Some(refusal);
            let reason = NoBackend::Unplaced;
            return Event::NotChosen { attempt, reason };
        }
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
                reason: NoBackend::Unplaced,
            },
            None => Event::NotChosen {
                attempt,
                reason: NoBackend::Busy,
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
        self.opened_at = self.tokens.len();
        let addr = self.place.as_ref()?.addr;
        let engine = HttpEngine::new(addr, self.driver.policy.time.first_token);
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
            priority: self.driver.policy.limits.priority,
        };
        let opened = engine
            .open(&start)
            .or(async { Err(until_silent(addr).await) })
            .await;
        match opened {
            Ok(pieces) => {
                self.pieces = Some(pieces);
                self.probed = Some(addr);
                self.pass(Step::AttemptOpened).await;
                None
            }
            Err(err) => Some(self.lost(attempt, &err)),
        }
    }

    /// Takes up the live stream of an attempt whose connection was lost.
    async fn attach(&mut self, attempt: Attempt) -> Option<Event> {
        self.lost_at = self.lost_at.or(self.last);
        self.pieces = None;
        let engine = HttpEngine::new(self.place.as_ref()?.addr, ENGINE_HEAD);
        let from = self.machine.position();
        let attached = async {
            engine
                .attach(&self.driver.id, attempt, from, self.text_bytes)
                .await
        };
        let bound = async {
            Timer::after(ATTACH).await;
            let cause = format!("no answer within {ATTACH:?}");
            Err(StreamError::Lost { cause })
        };
        match attached.or(bound).await {
            Ok(pieces) => {
                info!(self.driver.log, "live stream taken up again"; "attempt" => attempt, "from" => from);
                self.pieces = Some(pieces);
                Some(Event::Attached { attempt })
            }
            Err(cause) => {
                info!(self.driver.log, "live stream is gone"; "attempt" => attempt, "cause" => %cause);
                self.suspect(&cause);
                let loss = Loss::Reset;
                Some(Event::Lost { attempt, loss })
            }
        }
    }

    /// Holds the death of an engine against its request.
    fn suspect(&self, cause: &StreamError) {
        if matches!(cause, StreamError::NotSent { .. }) {
            let Driver {
                parts, tickets, id, ..
            } = &self.driver;
            let Some(place) = &self.place else {
                return;
            };
            let early = self.tokens.len() < self.opened_at + PROGRESS;
            suspect::lost(parts, tickets.content(), id, place.addr, early);
        }
    }

    /// Cancels an attempt in the background: the next one doesn't wait for it.
    fn cancel(&mut self, attempt: Attempt) {
        self.lost_at = self.lost_at.or(self.last);
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
}

impl Resumed {
    /// Where the answer stands, for the machine.
    fn standing(&self) -> Resume {
        Resume {
            attempt: self.ticket.attempt,
            next_attempt: fastrand::u32(OWN_ATTEMPTS),
            backend: self.ticket.backend.to_string().into(),
            delivered: self.ticket.position,
            tokens_known: self.prior.is_some(),
        }
    }
}

/// Passes an engine's refusal on.
fn engine_refusal(status: u16, message: &str) -> Refusal {
    let status =
        http_types::StatusCode::try_from(status).unwrap_or(http_types::StatusCode::BadGateway);
    Refusal::new(status, format!("the engine refused: {message}"))
}
