//! Exhaustive search over one generation with two engines and a caller that may fail.

use std::time::Duration;

use test_case::test_case;

use super::{
    Action, Ending, Event, FinishReason, Generation, Limits, Loss, Mutation, NoBackend, Resume,
};
use crate::kernel::{
    check::{search, Model, Report},
    Attempt, BackendId, Position, Time, TokenId,
};

/// Number of tokens of the whole answer.
const ANSWER_TOKENS: Position = 3;
/// Number of tokens that the caller already has of an answer started by another node.
const DELIVERED_TOKENS: Position = 2;
/// Backend servers.
const ENGINES: [&str; 2] = ["e0", "e1"];
/// Maximum number of states of a search.
const MAX_STATES: usize = 2_000_000;

const LIMITS: Limits = Limits {
    queue_timeout: Duration::from_secs(1),
    first_token: Duration::from_secs(1),
    min_silence: Duration::from_secs(1),
    max_silence: Duration::from_secs(1),
    attach_timeout: Duration::from_secs(1),
    retry_interval: Duration::from_secs(1),
    max_attempts: 3,
};

struct AnswerModel {
    faults: u8,
    /// `None` if this node started the answer; otherwise whether it knows the tokens that the
    /// caller has from another node.
    resumed: Option<bool>,
    mutation: Option<Mutation>,
    /// The only invariant to check, which shows that it detects a defect on its own.
    only: Option<&'static str>,
}

/// The stream of an attempt at its engine.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Stream {
    attempt: Attempt,
    /// The tokens that the attempt continues from, followed by its own.
    tokens: Vec<TokenId>,
    /// Index of the next token on the connection.
    cursor: usize,
    /// Whether the engine is still working on it.
    alive: bool,
    /// Whether data that it sent may still arrive.
    connected: bool,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct World {
    machine: Generation,
    pending: Vec<Action>,
    streams: Vec<Stream>,
    emitted: Vec<TokenId>,
    /// The tokens that the caller has from another node.
    delivered: Vec<TokenId>,
    ending: Option<Ending>,
    stalled: bool,
    /// The wake-up time that the machine requested.
    wake: Time,
    faults: u8,
    violation: Option<&'static str>,
}

/// Returns the token that an attempt generates at a position. It differs for any two attempts.
fn token(attempt: Attempt, position: usize) -> TokenId {
    attempt * 100 + position as TokenId
}

impl World {
    fn step(&mut self, now: Time, event: Event) {
        let actions = self.machine.step(now, event);
        self.apply(actions);
    }

    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Wake { at } => self.wake = at,
                Action::Emit { position, ids, .. } => self.emit(position, &ids),
                Action::Cancel { attempt, .. } => self.cancel(attempt),
                Action::End(ending) => self.end(ending),
                other => self.pending.push(other),
            }
        }
    }

    /// Cancels an attempt. A pending open of it is dropped, as the driver does.
    fn cancel(&mut self, attempt: Attempt) {
        self.pending
            .retain(|a| !matches!(a, Action::Open { attempt: a, .. } if *a == attempt));
        self.streams
            .iter_mut()
            .filter(|stream| stream.attempt == attempt)
            .for_each(|stream| stream.alive = false);
    }

    fn emit(&mut self, position: Position, ids: &[TokenId]) {
        if position as usize != self.emitted.len() {
            self.violation
                .get_or_insert("no token is missing or repeated");
        }
        self.emitted.extend(ids);
        let common = self.delivered.len().min(self.emitted.len());
        if self.emitted[..common] != self.delivered[..common] {
            self.violation.get_or_insert("no two generations are mixed");
        }
        let whole = self.streams.iter().any(|stream| {
            stream.tokens.len() >= self.emitted.len()
                && stream.tokens[..self.emitted.len()] == self.emitted[..]
        });
        if !whole {
            self.violation.get_or_insert("no two generations are mixed");
        }
    }

    fn end(&mut self, ending: Ending) {
        // The driver carries out no action after the end.
        self.pending.clear();
        if self.ending.replace(ending).is_some() {
            self.violation.get_or_insert("one end");
        }
        match ending {
            Ending::Complete(_) if self.emitted.len() != ANSWER_TOKENS as usize => {
                self.violation.get_or_insert("a complete answer is whole");
            }
            Ending::NotRun if !self.streams.is_empty() => {
                self.violation.get_or_insert("not run means not run");
            }
            _ => {}
        }
    }

    fn open(&mut self, attempt: Attempt) {
        let prior = self.emitted.len();
        let mut tokens = self.emitted.clone();
        tokens.extend((prior..ANSWER_TOKENS as usize).map(|i| token(attempt, i)));
        self.streams.push(Stream {
            attempt,
            tokens,
            cursor: prior,
            alive: true,
            connected: true,
        });
    }

    fn lose(&mut self, attempt: Attempt, loss: Loss) {
        self.step(Time::ZERO, Event::Lost { attempt, loss });
    }

    /// Delivers the next piece of a stream.
    fn deliver(&mut self, at: usize) {
        let stream = &mut self.streams[at];
        let attempt = stream.attempt;
        let position = stream.cursor as Position;
        let event = match stream.tokens.get(stream.cursor) {
            Some(&id) => {
                stream.cursor += 1;
                Event::Tokens {
                    attempt,
                    position,
                    ids: vec![id],
                    text: String::new(),
                }
            }
            None => {
                stream.alive = false;
                stream.connected = false;
                Event::Finished {
                    attempt,
                    position,
                    reason: FinishReason::Stop,
                }
            }
        };
        self.step(Time::ZERO, event);
    }
}

impl AnswerModel {
    /// Returns every possible outcome of the next pending action.
    fn action_steps(&self, world: &World) -> Vec<(String, World)> {
        let mut base = world.clone();
        if base.pending.is_empty() {
            return Vec::new();
        }
        let action = base.pending.remove(0);
        let mut next = Vec::new();
        let mut push = |label: &str, cost: u8, change: &dyn Fn(&mut World)| {
            if cost <= base.faults {
                let mut state = base.clone();
                state.faults -= cost;
                change(&mut state);
                next.push((label.to_owned(), state));
            }
        };
        match action {
            Action::Choose { attempt, exclude } => {
                let fit = ENGINES
                    .iter()
                    .find(|e| !exclude.iter().any(|x| **x == ***e));
                match fit {
                    Some(engine) => push("choose", 0, &|w| {
                        let backend: BackendId = (*engine).into();
                        w.step(Time::ZERO, Event::Chosen { attempt, backend });
                    }),
                    None => push("no engine is left", 0, &|w| {
                        let reason = NoBackend::Busy;
                        w.step(Time::ZERO, Event::NotChosen { attempt, reason });
                    }),
                }
                push("every engine is busy", 1, &|w| {
                    let reason = NoBackend::Busy;
                    w.step(LIMITS.queue_timeout, Event::NotChosen { attempt, reason });
                });
            }
            Action::Open { attempt, .. } => {
                push("open", 0, &|w| w.open(attempt));
                push("engine refuses", 1, &|w| w.lose(attempt, Loss::Refused));
                push("connection lost while it opens", 1, &|w| {
                    w.open(attempt);
                    w.lose(attempt, Loss::Reset);
                });
            }
            Action::Attach { attempt, .. } => {
                push("attach", 0, &|w| {
                    let position = w.machine.position() as usize;
                    let stream = w
                        .streams
                        .iter_mut()
                        .find(|s| s.attempt == attempt && s.alive);
                    match stream {
                        Some(stream) => {
                            stream.cursor = position;
                            stream.connected = true;
                            w.step(Time::ZERO, Event::Attached { attempt });
                        }
                        None => w.lose(attempt, Loss::Refused),
                    }
                });
                push("attach is not answered", 1, &|_| {});
            }
            _ => {}
        }
        next
    }

    fn stream_steps(&self, world: &World) -> Vec<(String, World)> {
        let mut next = Vec::new();
        for (at, stream) in world.streams.iter().enumerate() {
            let attempt = stream.attempt;
            if stream.connected && !world.stalled {
                let mut state = world.clone();
                state.deliver(at);
                next.push((format!("{attempt}: piece"), state));
            }
            if world.faults == 0 {
                continue;
            }
            let mut faulty = world.clone();
            faulty.faults -= 1;
            if stream.connected && stream.cursor > 0 {
                let mut state = faulty.clone();
                state.streams[at].cursor -= 1;
                state.deliver(at);
                next.push((format!("{attempt}: piece twice"), state));
            }
            if stream.connected && stream.cursor + 1 < stream.tokens.len() {
                let mut state = faulty.clone();
                state.streams[at].cursor += 1;
                state.deliver(at);
                next.push((format!("{attempt}: piece lost"), state));
            }
            if stream.connected {
                // The end arrives before the remaining tokens.
                let mut state = faulty.clone();
                state.streams[at].cursor = stream.tokens.len();
                state.deliver(at);
                next.push((format!("{attempt}: end without its tokens"), state));
            }
            if stream.alive {
                let mut state = faulty.clone();
                state.lose(attempt, Loss::Reset);
                next.push((format!("{attempt}: connection lost"), state));
                let mut state = faulty.clone();
                state.streams[at].alive = false;
                state.lose(attempt, Loss::Reset);
                next.push((format!("{attempt}: engine killed"), state));
            }
        }
        next
    }

    fn caller_steps(&self, world: &World) -> Vec<(String, World)> {
        let mut next = Vec::new();
        if world.faults > 0 && world.ending.is_none() {
            let mut state = world.clone();
            state.faults -= 1;
            state.step(Time::ZERO, Event::Abandoned);
            next.push(("caller gives up".to_owned(), state));
            let mut state = world.clone();
            state.faults -= 1;
            state.step(Time::ZERO, Event::CallerDisconnected);
            // The engine ends a stream that no node reads.
            state
                .streams
                .iter_mut()
                .for_each(|stream| stream.alive = false);
            next.push(("caller's connection is lost".to_owned(), state));
            let mut state = world.clone();
            state.faults -= 1;
            state.step(state.wake, Event::Tick);
            next.push(("a timeout expires".to_owned(), state));
        }
        if world.faults > 0 && world.ending.is_none() && !world.stalled && !world.emitted.is_empty()
        {
            let mut state = world.clone();
            state.faults -= 1;
            state.stalled = true;
            state.step(Time::ZERO, Event::CallerStalled);
            next.push(("caller stops reading".to_owned(), state));
        }
        if world.stalled {
            let mut state = world.clone();
            state.stalled = false;
            state.step(Time::ZERO, Event::CallerResumed);
            next.push(("caller reads again".to_owned(), state));
        }
        next
    }
}

impl Model for AnswerModel {
    type State = World;

    fn initial(&self) -> World {
        let (mut machine, actions) = match self.resumed {
            None => Generation::start(LIMITS, Time::ZERO),
            Some(known) => {
                let from = Resume {
                    attempt: 1,
                    next_attempt: 10,
                    backend: ENGINES[0].into(),
                    delivered: DELIVERED_TOKENS,
                    tokens_known: known,
                };
                Generation::resume(LIMITS, Time::ZERO, from)
            }
        };
        machine.mutation = self.mutation;
        let mut world = World {
            machine,
            pending: Vec::new(),
            streams: Vec::new(),
            emitted: Vec::new(),
            delivered: Vec::new(),
            ending: None,
            stalled: false,
            wake: Time::ZERO,
            faults: self.faults,
            violation: None,
        };
        if let Some(known) = self.resumed {
            world.open(1);
            world.streams[0].connected = false;
            world.delivered = world.streams[0].tokens[..DELIVERED_TOKENS as usize].to_vec();
            if known {
                world.emitted = world.delivered.clone();
            }
        }
        world.apply(actions);
        world
    }

    fn steps(&self, world: &World) -> Vec<(String, World)> {
        let mut next = self.action_steps(world);
        next.extend(self.stream_steps(world));
        next.extend(self.caller_steps(world));
        next
    }

    fn invariant(&self, world: &World) -> Result<(), &'static str> {
        let idle = world.ending.is_some() && world.streams.iter().any(|stream| stream.alive);
        let violation = [
            world.violation,
            idle.then_some("no engine works for nobody"),
        ];
        violation
            .into_iter()
            .flatten()
            .find(|violation| self.only.is_none_or(|only| only == *violation))
            .map_or(Ok(()), Err)
    }

    fn quiet_step(&self, world: &World) -> Option<World> {
        if world.ending.is_some() {
            return None;
        }
        let faultless = World {
            faults: 0,
            ..world.clone()
        };
        if let Some((_, next)) = self.action_steps(&faultless).into_iter().next() {
            return Some(next);
        }
        if faultless.stalled {
            return self
                .caller_steps(&faultless)
                .into_iter()
                .next()
                .map(|(_, next)| next);
        }
        let current = faultless.machine.attempt();
        let at = faultless
            .streams
            .iter()
            .position(|s| s.attempt == current && s.connected && s.alive);
        let mut next = faultless;
        match at {
            Some(at) => next.deliver(at),
            None => next.step(next.wake, Event::Tick),
        }
        Some(next)
    }
}

fn run(model: &AnswerModel) -> Report {
    let report = search(model, MAX_STATES);
    println!(
        "generation, {} faults, resumed {:?}, {:?}: {report}, bound {MAX_STATES}",
        model.faults, model.resumed, model.mutation
    );
    report
}

#[test_case(None; "started here")]
#[test_case(Some(false); "started elsewhere")]
#[test_case(Some(true); "started elsewhere, with the caller's tokens")]
fn answers_are_complete_or_end_at_a_known_position(resumed: Option<bool>) {
    let report = run(&AnswerModel {
        faults: 3,
        resumed,
        mutation: None,
        only: None,
    });
    assert!(report.violation.is_none(), "{report}");
}

#[test]
fn a_live_stream_that_is_not_the_callers_is_not_continued() {
    let from = Resume {
        attempt: 1,
        next_attempt: 10,
        backend: ENGINES[0].into(),
        delivered: DELIVERED_TOKENS,
        tokens_known: false,
    };
    let (mut machine, _) = Generation::resume(LIMITS, Time::ZERO, from);
    machine.step(Time::ZERO, Event::Attached { attempt: 1 });
    let tokens = Event::Tokens {
        attempt: 1,
        position: 0,
        ids: vec![7; DELIVERED_TOKENS as usize],
        text: String::new(),
    };
    machine.step(Time::ZERO, tokens);
    let actions = machine.step(Time::ZERO, Event::WrongStream);
    assert_eq!(actions, [Action::End(Ending::Partial)]);
    assert!(machine.is_ended());
}

#[test_case(Mutation::AnyAttempt, "no two generations are mixed")]
#[test_case(Mutation::AnyPosition, "no token is missing or repeated")]
#[test_case(Mutation::NoCancel, "no engine works for nobody")]
#[test_case(Mutation::NotRunAfterLoss, "not run means not run")]
#[test_case(Mutation::AnyEnd, "a complete answer is whole")]
#[test_case(Mutation::BeginAnew, "no two generations are mixed")]
#[test_case(Mutation::NoAttachBound, "a quiet environment leads to an end")]
fn defects_are_caught(mutation: Mutation, breaks: &'static str) {
    let report = run(&AnswerModel {
        faults: 3,
        resumed: (mutation == Mutation::BeginAnew).then_some(false),
        mutation: Some(mutation),
        only: Some(breaks),
    });
    let violation = report.violation.expect("the search finds the defect");
    assert_eq!(violation.invariant, breaks);
}
