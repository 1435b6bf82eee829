//! The state machine of one generation.

use std::time::Duration;

use super::{Action, Ending, Event, Loss, NoBackend};
use crate::kernel::{Attempt, BackendId, Position, Time};

/// Bounds on a generation.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Limits {
    /// Time to wait for a backend server before the first attempt.
    pub queue: Duration,
    /// Time from opening an attempt to its first token.
    pub first: Duration,
    /// Time between tokens.
    pub between: Duration,
    /// Time between looks for a backend server while none is fit.
    pub retry: Duration,
    /// Attempts in all.
    pub attempts: u32,
}

/// Where the current attempt stands.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Stage {
    /// A backend server is being chosen, until a deadline.
    Choosing { until: Time },
    /// None was fit; another look comes at a time.
    Waiting { until: Time, again: Time },
    /// The attempt runs; the next token is due at a time.
    Running {
        backend: BackendId,
        due: Time,
        /// No token has come since its stream was taken up again.
        attached: bool,
    },
    /// The answer has ended.
    Ended,
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
///     queue: Duration::from_secs(1),
///     first: Duration::from_secs(5),
///     between: Duration::from_secs(1),
///     retry: Duration::from_millis(50),
///     attempts: 4,
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
    lost: Vec<BackendId>,
    /// A new attempt can go on after the caller's tokens.
    continues: bool,
    stage: Stage,
}

/// Where a generation stands that goes on at another node.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Resume {
    /// The attempt that ran.
    pub attempt: Attempt,
    /// Its backend server.
    pub backend: BackendId,
    /// Tokens that the caller has.
    pub position: Position,
    /// What the caller has is known here, so that a new attempt can go on after it.
    pub continues: bool,
}

impl Generation {
    /// Starts a generation; the actions choose the first backend server.
    pub fn start(limits: Limits, now: Time) -> (Generation, Vec<Action>) {
        let generation = Generation {
            limits,
            attempt: 1,
            position: 0,
            lost: Vec::new(),
            continues: true,
            stage: Stage::Choosing {
                until: now + limits.queue,
            },
        };
        let action = generation.choose();
        (generation, vec![action])
    }

    /// Goes on with a generation that another node had; the action takes up the live stream.
    pub fn resume(limits: Limits, now: Time, from: Resume) -> (Generation, Vec<Action>) {
        let mut generation = Generation {
            limits,
            attempt: from.attempt,
            position: from.position,
            lost: Vec::new(),
            continues: from.continues,
            stage: Stage::Ended,
        };
        let actions = generation.attach(now, from.backend);
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
            Event::NotChosen { attempt, why } if attempt == self.attempt => self.wait(now, why),
            Event::Tokens {
                attempt,
                position,
                ids,
                text,
            } if attempt == self.attempt => self.accept(now, position, ids, text),
            Event::Finished {
                attempt,
                position,
                reason,
            } if attempt == self.attempt => {
                if !matches!(self.stage, Stage::Running { .. }) {
                    return Vec::new();
                }
                if position != self.position {
                    return self.lose(now, Loss::Mismatch);
                }
                self.end(Ending::Complete(reason))
            }
            Event::Lost { attempt, how } if attempt == self.attempt => self.falter(now, how),
            Event::Replaced { attempt } if attempt == self.attempt => self.abandon(),
            Event::Abandoned => self.abandon(),
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
        let due = now + self.limits.first;
        self.stage = Stage::Running {
            backend: backend.clone(),
            due,
            attached: false,
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
        let again = until.min(now + self.limits.retry);
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
        let Stage::Running { due, attached, .. } = &mut self.stage else {
            return Vec::new();
        };
        if position != self.position {
            return self.lose(now, Loss::Mismatch);
        }
        *attached = false;
        *due = now + self.limits.between;
        let at = *due;
        self.position += ids.len() as Position;
        vec![
            Action::Emit {
                position,
                ids,
                text,
            },
            Action::Wake { at },
        ]
    }

    /// Takes up the live stream of the attempt, in the hope that only the connection was lost.
    fn attach(&mut self, now: Time, backend: BackendId) -> Vec<Action> {
        let due = now + self.limits.between;
        self.stage = Stage::Running {
            backend: backend.clone(),
            due,
            attached: true,
        };
        vec![
            Action::Attach {
                attempt: self.attempt,
                backend,
            },
            Action::Wake { at: due },
        ]
    }

    /// Takes a loss: after a reset the engine may live on, and its stream is taken up again once.
    fn falter(&mut self, now: Time, how: Loss) -> Vec<Action> {
        match &self.stage {
            Stage::Running {
                backend,
                attached: false,
                ..
            } if how == Loss::Reset => {
                let backend = backend.clone();
                self.attach(now, backend)
            }
            _ => self.lose(now, how),
        }
    }

    fn lose(&mut self, now: Time, how: Loss) -> Vec<Action> {
        let Stage::Running { backend, .. } = &self.stage else {
            return Vec::new();
        };
        let backend = backend.clone();
        let mut actions = Vec::new();
        if how != Loss::Refused {
            actions.push(Action::Cancel {
                attempt: self.attempt,
                backend: backend.clone(),
            });
        }
        self.lost.push(backend);
        if !self.continues || self.attempt >= self.limits.attempts {
            actions.extend(self.give_up());
            return actions;
        }
        self.attempt += 1;
        self.stage = Stage::Choosing {
            until: now + self.limits.queue,
        };
        actions.push(self.choose());
        actions
    }

    fn tick(&mut self, now: Time) -> Vec<Action> {
        match self.stage {
            Stage::Running { due, .. } if now >= due => self.lose(now, Loss::Silent),
            Stage::Running { due, .. } => vec![Action::Wake { at: due }],
            Stage::Waiting { until, again } if now >= again => {
                self.stage = Stage::Choosing { until };
                vec![self.choose()]
            }
            Stage::Waiting { again, .. } => vec![Action::Wake { at: again }],
            Stage::Choosing { .. } | Stage::Ended => Vec::new(),
        }
    }

    fn abandon(&mut self) -> Vec<Action> {
        match self.stage {
            Stage::Ended => Vec::new(),
            _ => self.end(Ending::Abandoned),
        }
    }

    fn give_up(&mut self) -> Vec<Action> {
        let ran = self.position > 0;
        self.end(if ran { Ending::Partial } else { Ending::NotRun })
    }

    fn end(&mut self, ending: Ending) -> Vec<Action> {
        self.stage = Stage::Ended;
        vec![Action::End(ending)]
    }
}
