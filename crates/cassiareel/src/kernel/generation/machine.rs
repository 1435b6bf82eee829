//! The state machine of one generation.

use std::time::Duration;

use super::{Action, Ending, Event, Loss, NoBackend, TokenInterval};
use crate::kernel::{Attempt, BackendId, Position, Time};

/// Bounds on a generation.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Limits {
    /// Time to wait for a backend server before the first attempt.
    pub queue_timeout: Duration,
    /// Time from opening an attempt to its first token.
    pub first_token: Duration,
    /// Shortest time without a token after which an engine may count as silent.
    pub min_silence: Duration,
    /// Longest time without a token, whatever the engine's pace.
    pub max_silence: Duration,
    /// Time for a live stream to be taken up again.
    pub attach_timeout: Duration,
    /// Time between looks for a backend server while none is fit.
    pub retry_interval: Duration,
    /// Attempts that may be lost in all.
    pub max_attempts: u32,
}

/// How late a timer may be before the node itself counts as having been paused.
const PAUSED: Duration = Duration::from_millis(250);

/// Times that the live stream of one attempt is taken up again.
const ATTACHES: u32 = 3;

/// Where an answer stands that another node began.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Resume {
    /// The attempt that runs.
    pub attempt: Attempt,
    /// The number of this node's first own attempt, which no other node uses.
    pub next_attempt: Attempt,
    /// The backend server that it runs at.
    pub backend: BackendId,
    /// Tokens that the caller has.
    pub delivered: Position,
    /// Whether these tokens are known here.
    pub tokens_known: bool,
}

/// Where the current attempt stands.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Stage {
    /// A backend server is being chosen, until a deadline.
    Choosing { until: Time },
    /// None was fit; another look comes at a time.
    Waiting { until: Time, again: Time },
    /// The attempt runs; the next token is due at a time.
    Running { backend: BackendId, due: Time },
    /// The live stream of the attempt is asked for again, until a deadline.
    Attaching { backend: BackendId, until: Time },
    /// The caller doesn't read, and nothing runs.
    Parked,
    /// The answer has ended.
    Ended,
}

/// A defect that the model check must find.
#[cfg(test)]
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Mutation {
    /// Takes tokens of every attempt.
    AnyAttempt,
    /// Takes tokens at any position.
    AnyPosition,
    /// Does not cancel a lost attempt.
    NoCancel,
    /// Says "not run" although an engine began.
    NotRunAfterLoss,
    /// Takes the end of an answer at any position.
    AnyEnd,
    /// Waits for ever for a live stream.
    NoAttachBound,
    /// Begins anew below the tokens that the caller has from another node.
    BeginAnew,
}

/// A generation.
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
    // INVARIANT: the caller was given exactly the tokens 0..position, in order, once.
    position: Position,
    // INVARIANT: below this position the caller has the tokens of another node, and only their own
    // stream may repeat them.
    given: Position,
    numbers: Attempt,
    lost: Vec<BackendId>,
    losses: u32,
    attaches: u32,
    pace: TokenInterval,
    // INVARIANT: set once an engine may have begun.
    ran: bool,
    stage: Stage,
    #[cfg(test)]
    pub(crate) mutation: Option<Mutation>,
}

impl Generation {
    /// Starts a generation; the actions choose the first backend server.
    pub fn start(limits: Limits, now: Time) -> (Generation, Vec<Action>) {
        let generation = Generation {
            limits,
            attempt: 1,
            position: 0,
            given: 0,
            numbers: 2,
            lost: Vec::new(),
            losses: 0,
            attaches: 0,
            pace: TokenInterval::default(),
            ran: false,
            stage: Stage::Choosing {
                until: now + limits.queue_timeout,
            },
            #[cfg(test)]
            mutation: None,
        };
        let action = generation.choose();
        (generation, vec![action])
    }

    /// Goes on with an answer that another node began: its live stream first, and a new attempt
    /// where that is gone and the caller's tokens are known.
    ///
    /// Tokens that are not known are read from the live stream again, from position 0; the driver
    /// does not pass them on.
    pub fn resume(limits: Limits, now: Time, from: Resume) -> (Generation, Vec<Action>) {
        let (mut generation, _) = Generation::start(limits, now);
        let until = now + limits.attach_timeout;
        generation.attempt = from.attempt;
        generation.numbers = from.next_attempt;
        generation.given = from.delivered;
        generation.position = if from.tokens_known { from.delivered } else { 0 };
        generation.ran = true;
        let attempt = from.attempt;
        let backend = from.backend;
        let actions = vec![
            Action::Attach {
                attempt,
                backend: backend.clone(),
            },
            Action::Wake { at: until },
        ];
        generation.stage = Stage::Attaching { backend, until };
        (generation, actions)
    }

    /// The current attempt.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Tokens passed on so far.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Reports whether the answer has ended.
    pub fn is_ended(&self) -> bool {
        self.stage == Stage::Ended
    }

    /// Takes an event at a time.
    ///
    /// Events of an attempt that is not the current one are ignored: a lost engine may go on
    /// sending for a while.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        match event {
            Event::Chosen { attempt, backend } if attempt == self.attempt => {
                self.open(now, backend)
            }
            Event::NotChosen {
                attempt,
                reason: why,
            } if attempt == self.attempt => self.wait(now, why),
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
            Event::Lost { attempt, loss: how } if attempt == self.attempt => self.lose(now, how),
            Event::CallerStalled => self.park(),
            Event::CallerResumed => self.unpark(now),
            Event::Abandoned => self.abandon(),
            Event::CallerDisconnected => self.depart(),
            Event::Replaced { attempt } if attempt == self.attempt => self.depart(),
            Event::WrongStream => self.disown(),
            Event::Tick => self.tick(now),
            _ => Vec::new(),
        }
    }

    fn choose(&self) -> Action {
        Action::Choose {
            attempt: self.attempt,
            exclude: self.lost.clone(),
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

    fn wait(&mut self, now: Time, why: NoBackend) -> Vec<Action> {
        let Stage::Choosing { until } = self.stage else {
            return Vec::new();
        };
        if why == NoBackend::Unplaced || now >= until {
            return self.give_up();
        }
        // Every backend server may have been lost once: those that came back are tried again.
        self.lost.clear();
        let again = until.min(now + self.limits.retry_interval);
        self.stage = Stage::Waiting { until, again };
        vec![Action::Wake { at: again }]
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
        let next = position + ids.len() as Position;
        if next <= self.position && !ids.is_empty() && !self.is_mutated("AnyPosition") {
            // Tokens that came twice.
            return Vec::new();
        }
        if position != self.position && !self.is_mutated("AnyPosition") {
            return self.lose(now, Loss::Mismatch);
        }
        self.pace.record_arrival(now);
        self.position = next;
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

    /// Gives the engine its time for the next token, and returns the deadline.
    fn await_token(&mut self, now: Time) -> Time {
        let at = now
            + self
                .pace
                .silence_timeout(self.limits.min_silence, self.limits.max_silence);
        if let Stage::Running { due, .. } = &mut self.stage {
            *due = at;
        }
        at
    }

    fn attached(&mut self, now: Time) -> Vec<Action> {
        let Stage::Attaching { backend, .. } = &self.stage else {
            return Vec::new();
        };
        self.pace.interrupt();
        self.stage = Stage::Running {
            backend: backend.clone(),
            due: now,
        };
        let at = self.await_token(now);
        vec![Action::Wake { at }]
    }

    fn lose(&mut self, now: Time, how: Loss) -> Vec<Action> {
        match &self.stage {
            // The engine may be alive, and only its connection lost.
            Stage::Running { backend, .. } if how == Loss::Reset && self.attaches < ATTACHES => {
                self.ran = true;
                self.attaches += 1;
                let until = now + self.limits.attach_timeout;
                let backend = backend.clone();
                self.stage = Stage::Attaching {
                    backend: backend.clone(),
                    until,
                };
                let attempt = self.attempt;
                vec![
                    Action::Attach { attempt, backend },
                    Action::Wake { at: until },
                ]
            }
            Stage::Running { backend, .. } => {
                self.ran |= how != Loss::Refused;
                let backend = backend.clone();
                self.replace(now, backend, how != Loss::Refused)
            }
            Stage::Attaching { backend, .. } => {
                let backend = backend.clone();
                self.replace(now, backend, true)
            }
            _ => Vec::new(),
        }
    }

    /// Gives an attempt up and goes on with the next.
    fn replace(&mut self, now: Time, backend: BackendId, cancel: bool) -> Vec<Action> {
        let mut actions = Vec::new();
        if cancel && !self.is_mutated("NoCancel") {
            actions.push(Action::Cancel {
                attempt: self.attempt,
                backend: backend.clone(),
            });
        }
        self.lost.push(backend);
        self.losses += 1;
        let begins_anew = self.position < self.given && !self.is_mutated("BeginAnew");
        if begins_anew || self.losses >= self.limits.max_attempts {
            actions.extend(self.give_up());
            return actions;
        }
        actions.push(self.next(now));
        actions
    }

    /// Begins the next attempt.
    fn next(&mut self, now: Time) -> Action {
        self.attempt = self.numbers;
        self.numbers += 1;
        self.attaches = 0;
        self.pace = TokenInterval::default();
        self.stage = Stage::Choosing {
            until: now + self.limits.queue_timeout,
        };
        self.choose()
    }

    /// Frees the engine of a caller that doesn't read.
    fn park(&mut self) -> Vec<Action> {
        let cancel = self.cancel();
        if !matches!(self.stage, Stage::Ended) {
            self.ran |= !cancel.is_empty();
            self.stage = Stage::Parked;
        }
        cancel
    }

    fn unpark(&mut self, now: Time) -> Vec<Action> {
        if self.stage != Stage::Parked {
            return Vec::new();
        }
        if self.position < self.given {
            return self.give_up();
        }
        vec![self.next(now)]
    }

    /// Cancels what runs.
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
            Stage::Running { due, .. } if now > *due + PAUSED => {
                // The node was paused itself: what the engine sent meanwhile is looked at first.
                self.pace.interrupt();
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
            Stage::Waiting { until, again } if now >= *again => {
                self.stage = Stage::Choosing { until: *until };
                vec![self.choose()]
            }
            Stage::Waiting { again, .. } => vec![Action::Wake { at: *again }],
            Stage::Choosing { .. } | Stage::Ended | Stage::Parked => Vec::new(),
        }
    }

    /// Ends without a cancel: another node may take up the live stream, which its engine ends by
    /// itself when none does.
    fn depart(&mut self) -> Vec<Action> {
        if self.stage == Stage::Ended {
            return Vec::new();
        }
        self.end(Ending::Abandoned)
    }

    /// Ends an answer whose live stream is another's: nothing may go on from its tokens, and it is
    /// not ours to cancel.
    fn disown(&mut self) -> Vec<Action> {
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
        let ran = self.ran && !self.is_mutated("NotRunAfterLoss");
        self.end(if ran || self.position > 0 {
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
