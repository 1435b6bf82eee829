//! The state machine of one generation.

use std::time::Duration;

use super::{Action, Ending, Event, Loss, NoBackend, TokenInterval};
use crate::kernel::{Attempt, BackendId, Position, Time};

/// Limits on the times and attempts of a generation.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Limits {
    /// Time to wait for a backend server to be chosen.
    pub queue_timeout: Duration,
    /// Time from the start of an attempt to its first token. An attempt that can't be replaced may
    /// be silent for as long at any time.
    pub first_token: Duration,
    /// The shortest time without a token after which an engine may count as silent.
    pub min_silence: Duration,
    /// The longest time without a token before an attempt is replaced, regardless of the engine's
    /// speed.
    pub max_silence: Duration,
    /// Time for reattaching to a live stream whose connection was lost.
    pub attach_timeout: Duration,
    /// Time between two choices of a backend server while none is available.
    pub retry_interval: Duration,
    /// Number of lost attempts after which the generation gives up.
    pub max_attempts: u32,
}

/// How late a timer may fire before the node itself is assumed to have been paused.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(250);

/// How often one attempt may reattach to its live stream.
const MAX_ATTACHES: u32 = 3;

/// The state of an answer that another node started.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Resume {
    /// The running attempt.
    pub attempt: Attempt,
    /// The number of the first attempt started by this node, which no other node uses.
    pub next_attempt: Attempt,
    /// The backend server that runs the attempt.
    pub backend: BackendId,
    /// Number of tokens that the caller has.
    pub delivered: Position,
    /// Whether this node knows these tokens.
    pub tokens_known: bool,
}

/// The stage of the current attempt.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Stage {
    /// A backend server is being chosen, until a deadline.
    Choosing { until: Time },
    /// No server was available; the choice is repeated at `retry_at`.
    Waiting { until: Time, retry_at: Time },
    /// The attempt is running, and its next token is due at a given time.
    Running { backend: BackendId, due: Time },
    /// The driver is reattaching to the live stream of the attempt, until a deadline.
    Attaching { backend: BackendId, until: Time },
    /// The caller has stopped reading, and nothing is running.
    CallerStalled,
    /// The answer has ended.
    Ended,
}

/// A defect that the model checker must find.
#[cfg(test)]
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Mutation {
    /// Accepts tokens from any attempt.
    AnyAttempt,
    /// Accepts tokens at any position.
    AnyPosition,
    /// Does not cancel a lost attempt.
    NoCancel,
    /// Reports "not run" although an engine has started.
    NotRunAfterLoss,
    /// Accepts the end of an answer at any position.
    AnyEnd,
    /// Waits for a live stream without a time limit.
    NoAttachBound,
    /// Starts a new attempt before the end of the tokens that the caller has from another node.
    BeginAnew,
}

/// The state of one generation.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cassiareel::kernel::generation::{Action, Event, Generation, Limits};
///
/// let limits = Limits {
///     queue_timeout: Duration::from_secs(1),
///     first_token: Duration::from_secs(5),
///     min_silence: Duration::from_millis(1200),
///     max_silence: Duration::from_secs(10),
///     attach_timeout: Duration::from_millis(150),
///     retry_interval: Duration::from_millis(50),
///     max_attempts: 4,
/// };
/// let now = Duration::ZERO;
/// let (mut generation, actions) = Generation::start(limits, now);
/// assert!(matches!(actions[0], Action::Choose { attempt: 1, .. }));
/// let actions = generation.step(now, Event::Chosen { attempt: 1, backend: "10.0.0.1:80".into() });
/// assert!(matches!(actions[0], Action::Open { attempt: 1, .. }));
/// ```
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Generation {
    limits: Limits,
    attempt: Attempt,
    // INVARIANT: the tokens 0..position were emitted in order, exactly once.
    position: Position,
    // INVARIANT: the caller has the tokens below this position from another node, and only the
    // stream that sent them may repeat them.
    delivered: Position,
    next_attempt: Attempt,
    lost_backends: Vec<BackendId>,
    losses: u32,
    attaches: u32,
    token_interval: TokenInterval,
    // INVARIANT: true once an engine may have started to run the request.
    may_have_run: bool,
    stage: Stage,
    #[cfg(test)]
    pub(crate) mutation: Option<Mutation>,
}

impl Generation {
    /// Starts a generation and returns the actions that choose the first backend server.
    pub fn start(limits: Limits, now: Time) -> (Generation, Vec<Action>) {
        let generation = Generation {
            limits,
            attempt: 1,
            position: 0,
            delivered: 0,
            next_attempt: 2,
            lost_backends: Vec::new(),
            losses: 0,
            attaches: 0,
            token_interval: TokenInterval::default(),
            may_have_run: false,
            stage: Stage::Choosing {
                until: now + limits.queue_timeout,
            },
            #[cfg(test)]
            mutation: None,
        };
        let action = generation.choose();
        (generation, vec![action])
    }

    /// Continues an answer that another node started. It first reattaches to the live stream, and
    /// starts a new attempt if the stream is gone and the caller's tokens are known.
    ///
    /// Unknown tokens are read again from the live stream, starting at position 0, and the driver
    /// does not send them to the caller.
    pub fn resume(limits: Limits, now: Time, from: Resume) -> (Generation, Vec<Action>) {
        let (mut generation, _) = Generation::start(limits, now);
        generation.attempt = from.attempt;
        generation.next_attempt = from.next_attempt;
        generation.delivered = from.delivered;
        generation.position = if from.tokens_known { from.delivered } else { 0 };
        generation.may_have_run = true;
        // This node has seen no connection of the attempt end, so that a silent engine may be sound.
        let actions = generation.attach(now, from.backend, limits.min_silence);
        (generation, actions)
    }

    /// Returns the current attempt.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Returns the number of tokens emitted so far.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Reports whether another attempt may replace the current one.
    ///
    /// None may if the current attempt is the last that is allowed, or if the caller has tokens
    /// from another node that this node doesn't know. Such an attempt is not given up because its
    /// engine is silent, unless it exceeds [`Limits::first_token`].
    pub fn is_replaceable(&self) -> bool {
        self.position >= self.delivered && self.losses + 1 < self.limits.max_attempts
    }

    /// Reports whether the answer has ended.
    pub fn is_ended(&self) -> bool {
        self.stage == Stage::Ended
    }

    /// Processes an event at the given time and returns the resulting actions.
    ///
    /// Events of attempts other than the current one are ignored, since a lost engine may continue
    /// to send for a while.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        match event {
            Event::Chosen { attempt, backend } if attempt == self.attempt => {
                self.open(now, backend)
            }
            Event::NotChosen { attempt, reason } if attempt == self.attempt => {
                self.wait(now, reason)
            }
            Event::Tokens {
                attempt,
                position,
                ids,
                text,
            } if attempt == self.attempt || self.is_mutated("AnyAttempt") => {
                self.accept(now, position, ids, text)
            }
            Event::Finished {
                attempt,
                position,
                reason,
            } if attempt == self.attempt => {
                if !matches!(self.stage, Stage::Running { .. }) {
                    return Vec::new();
                }
                if position != self.position && !self.is_mutated("AnyEnd") {
                    return self.lose(now, Loss::Mismatch);
                }
                self.end(Ending::Complete(reason))
            }
            Event::Attached { attempt } if attempt == self.attempt => self.attached(now),
            Event::Lost { attempt, loss } if attempt == self.attempt => self.lose(now, loss),
            Event::CallerStalled => self.caller_stalled(),
            Event::CallerResumed => self.caller_resumed(now),
            Event::Abandoned => self.abandon(),
            Event::CallerDisconnected => self.detach(),
            Event::Replaced { attempt } if attempt == self.attempt => self.detach(),
            Event::WrongStream => self.reject_stream(),
            Event::Tick => self.tick(now),
            _ => Vec::new(),
        }
    }

    fn choose(&self) -> Action {
        Action::Choose {
            attempt: self.attempt,
            exclude: self.lost_backends.clone(),
        }
    }

    fn open(&mut self, now: Time, backend: BackendId) -> Vec<Action> {
        if !matches!(self.stage, Stage::Choosing { .. }) {
            return Vec::new();
        }
        let due = now + self.limits.first_token;
        self.stage = Stage::Running {
            backend: backend.clone(),
            due,
        };
        vec![
            Action::Open {
                attempt: self.attempt,
                backend,
            },
            Action::Wake { at: due },
        ]
    }

    fn wait(&mut self, now: Time, reason: NoBackend) -> Vec<Action> {
        let Stage::Choosing { until } = self.stage else {
            return Vec::new();
        };
        if reason == NoBackend::Unplaced || now >= until {
            return self.give_up();
        }
        // Every backend server may have been lost once. The recovered ones are tried again.
        self.lost_backends.clear();
        let retry_at = until.min(now + self.limits.retry_interval);
        self.stage = Stage::Waiting { until, retry_at };
        vec![Action::Wake { at: retry_at }]
    }

    fn accept(
        &mut self,
        now: Time,
        position: Position,
        ids: Vec<u32>,
        text: String,
    ) -> Vec<Action> {
        if !matches!(self.stage, Stage::Running { .. }) {
            return Vec::new();
        }
        let end = position + ids.len() as Position;
        if end <= self.position && !ids.is_empty() && !self.is_mutated("AnyPosition") {
            // These tokens are duplicates.
            return Vec::new();
        }
        if position != self.position && !self.is_mutated("AnyPosition") {
            return self.lose(now, Loss::Mismatch);
        }
        self.token_interval.record_arrival(now);
        self.position = end;
        let at = self.await_token(now);
        vec![
            Action::Emit {
                position,
                ids,
                text,
            },
            Action::Wake { at },
        ]
    }

    /// Sets and returns the deadline for the next token.
    fn await_token(&mut self, now: Time) -> Time {
        let at = now + self.silence_timeout();
        if let Stage::Running { due, .. } = &mut self.stage {
            *due = at;
        }
        at
    }

    /// Returns the time without a token after which the current attempt is given up.
    fn silence_timeout(&self) -> Duration {
        let Limits {
            first_token,
            min_silence,
            max_silence,
            ..
        } = self.limits;
        let timeout = self
            .token_interval
            .silence_timeout(min_silence, max_silence);
        match self.is_replaceable() {
            true => timeout,
            false => timeout.max(first_token),
        }
    }

    /// Starts reattaching to the live stream of the current attempt, for which an engine has
    /// `timeout` if the attempt can be replaced.
    fn attach(&mut self, now: Time, backend: BackendId, timeout: Duration) -> Vec<Action> {
        let timeout = match self.is_replaceable() {
            true => timeout,
            false => self.limits.first_token,
        };
        let until = now + timeout;
        self.stage = Stage::Attaching {
            backend: backend.clone(),
            until,
        };
        let attempt = self.attempt;
        vec![
            Action::Attach {
                attempt,
                backend,
                until,
            },
            Action::Wake { at: until },
        ]
    }

    fn attached(&mut self, now: Time) -> Vec<Action> {
        let Stage::Attaching { backend, .. } = &self.stage else {
            return Vec::new();
        };
        self.token_interval.reset_last_arrival();
        self.stage = Stage::Running {
            backend: backend.clone(),
            due: now,
        };
        let at = self.await_token(now);
        vec![Action::Wake { at }]
    }

    fn lose(&mut self, now: Time, loss: Loss) -> Vec<Action> {
        match &self.stage {
            // The engine may be alive and only its connection lost.
            Stage::Running { backend, .. }
                if loss == Loss::Reset && self.attaches < MAX_ATTACHES =>
            {
                self.may_have_run = true;
                self.attaches += 1;
                let backend = backend.clone();
                self.attach(now, backend, self.limits.attach_timeout)
            }
            Stage::Running { backend, .. } => {
                self.may_have_run |= loss != Loss::Refused;
                let backend = backend.clone();
                self.replace(now, backend, loss != Loss::Refused)
            }
            Stage::Attaching { backend, .. } => {
                let backend = backend.clone();
                self.replace(now, backend, true)
            }
            _ => Vec::new(),
        }
    }

    /// Gives up the current attempt and starts the next one, or ends the generation.
    fn replace(&mut self, now: Time, backend: BackendId, cancel: bool) -> Vec<Action> {
        let mut actions = Vec::new();
        if cancel && !self.is_mutated("NoCancel") {
            actions.push(Action::Cancel {
                attempt: self.attempt,
                backend: backend.clone(),
            });
        }
        self.lost_backends.push(backend);
        self.losses += 1;
        let restarts_below_delivered =
            self.position < self.delivered && !self.is_mutated("BeginAnew");
        if restarts_below_delivered || self.losses >= self.limits.max_attempts {
            actions.extend(self.give_up());
            return actions;
        }
        actions.push(self.start_next_attempt(now));
        actions
    }

    /// Starts the next attempt.
    fn start_next_attempt(&mut self, now: Time) -> Action {
        self.attempt = self.next_attempt;
        self.next_attempt += 1;
        self.attaches = 0;
        self.token_interval = TokenInterval::default();
        self.stage = Stage::Choosing {
            until: now + self.limits.queue_timeout,
        };
        self.choose()
    }

    /// Cancels the attempt of a caller that has stopped reading, to free the engine.
    fn caller_stalled(&mut self) -> Vec<Action> {
        let cancel = self.cancel();
        if !matches!(self.stage, Stage::Ended) {
            self.may_have_run |= !cancel.is_empty();
            self.stage = Stage::CallerStalled;
        }
        cancel
    }

    fn caller_resumed(&mut self, now: Time) -> Vec<Action> {
        if self.stage != Stage::CallerStalled {
            return Vec::new();
        }
        if self.position < self.delivered {
            return self.give_up();
        }
        vec![self.start_next_attempt(now)]
    }

    /// Cancels the running attempt, if any.
    fn cancel(&self) -> Vec<Action> {
        match &self.stage {
            Stage::Running { backend, .. } | Stage::Attaching { backend, .. } => {
                vec![Action::Cancel {
                    attempt: self.attempt,
                    backend: backend.clone(),
                }]
            }
            _ => Vec::new(),
        }
    }

    fn tick(&mut self, now: Time) -> Vec<Action> {
        match &self.stage {
            Stage::Running { due, .. } if now > *due + MAX_TIMER_DELAY => {
                // The node itself was paused. What the engine sent meanwhile is processed first.
                self.token_interval.reset_last_arrival();
                let at = self.await_token(now);
                vec![Action::Wake { at }]
            }
            Stage::Running { due, .. } if now >= *due => self.lose(now, Loss::Silent),
            Stage::Running { due, .. } => vec![Action::Wake { at: *due }],
            Stage::Attaching { until, .. }
                if now >= *until && !self.is_mutated("NoAttachBound") =>
            {
                self.lose(now, Loss::Silent)
            }
            Stage::Attaching { until, .. } => vec![Action::Wake { at: *until }],
            Stage::Waiting { until, retry_at } if now >= *retry_at => {
                self.stage = Stage::Choosing { until: *until };
                vec![self.choose()]
            }
            Stage::Waiting { retry_at, .. } => vec![Action::Wake { at: *retry_at }],
            Stage::Choosing { .. } | Stage::Ended | Stage::CallerStalled => Vec::new(),
        }
    }

    /// Ends without cancelling the attempt, since another node may attach to the live stream. The
    /// engine ends the stream by itself if no node does.
    fn detach(&mut self) -> Vec<Action> {
        if self.stage == Stage::Ended {
            return Vec::new();
        }
        self.end(Ending::Abandoned)
    }

    /// Ends an answer whose live stream belongs to a different answer. Its tokens must not be
    /// continued, and the stream must not be cancelled.
    fn reject_stream(&mut self) -> Vec<Action> {
        if self.stage == Stage::Ended {
            return Vec::new();
        }
        self.end(Ending::Partial)
    }

    fn abandon(&mut self) -> Vec<Action> {
        let mut actions = self.cancel();
        if self.stage != Stage::Ended {
            actions.extend(self.end(Ending::Abandoned));
        }
        actions
    }

    fn give_up(&mut self) -> Vec<Action> {
        let may_have_run = self.may_have_run && !self.is_mutated("NotRunAfterLoss");
        self.end(if may_have_run || self.position > 0 {
            Ending::Partial
        } else {
            Ending::NotRun
        })
    }

    fn end(&mut self, ending: Ending) -> Vec<Action> {
        self.stage = Stage::Ended;
        vec![Action::End(ending)]
    }

    #[cfg(test)]
    fn is_mutated(&self, name: &str) -> bool {
        self.mutation.is_some_and(|m| format!("{m:?}") == name)
    }

    #[cfg(not(test))]
    fn is_mutated(&self, _name: &str) -> bool {
        false
    }
}
