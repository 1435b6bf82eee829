//! How long an engine may be silent before its attempt is given up, in virtual time.

use std::time::Duration;

use test_case::test_case;

use super::{Action, Ending, Event, Generation, Limits, Loss, Resume};
use crate::kernel::{Attempt, Position, Time};

const LIMITS: Limits = Limits {
    queue_timeout: Duration::from_secs(5),
    first_token: Duration::from_secs(20),
    min_silence: Duration::from_millis(1_200),
    max_silence: Duration::from_secs(2),
    attach_timeout: Duration::from_millis(150),
    retry_interval: Duration::from_millis(50),
    max_attempts: 4,
};
/// Number of tokens that a caller has from another node.
const DELIVERED_TOKENS: Position = 12;
/// Number of an attempt that a node starts for an answer of another node.
const RESUMED_ATTEMPT: Attempt = 10;

/// How a generation came to its silent engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Start {
    /// This node opened the attempt, and these tokens arrived.
    Here { tokens: Position },
    /// This node resumes an answer of another node; the engine doesn't answer.
    Elsewhere { tokens_known: bool },
    /// As `Elsewhere`, but the engine falls silent when it has answered and repeated these tokens.
    Attached {
        tokens_known: bool,
        tokens: Position,
    },
}

/// A silence from the generation's start or its last token on.
#[derive(Clone, Copy)]
struct Case {
    start: Start,
    max_attempts: u32,
    /// Time after which the attempt is given up.
    given_up_ms: u64,
    /// The end of the answer; none if another attempt is chosen.
    ending: Option<Ending>,
}

const CASE: Case = Case {
    start: Start::Here { tokens: 8 },
    max_attempts: LIMITS.max_attempts,
    given_up_ms: 1_200,
    ending: None,
};
const LAST: Case = Case {
    max_attempts: 1,
    given_up_ms: 20_000,
    ending: Some(Ending::Partial),
    ..CASE
};

fn tokens(attempt: Attempt, position: Position, count: Position) -> Event {
    Event::Tokens {
        attempt,
        position,
        ids: vec![7; count as usize],
        text: String::new(),
    }
}

fn start(case: &Case) -> (Generation, Vec<Action>) {
    let now = Time::ZERO;
    let limits = Limits {
        max_attempts: case.max_attempts,
        ..LIMITS
    };
    let attempt = 1;
    let resume = |tokens_known| {
        let from = Resume {
            attempt,
            next_attempt: RESUMED_ATTEMPT,
            backend: "e0".into(),
            delivered: DELIVERED_TOKENS,
            tokens_known,
        };
        Generation::resume(limits, now, from)
    };
    match case.start {
        Start::Here { tokens: count } => {
            let (mut generation, _) = Generation::start(limits, now);
            let backend = "e0".into();
            let mut actions = generation.step(now, Event::Chosen { attempt, backend });
            if count > 0 {
                actions = generation.step(now, tokens(attempt, 0, count));
            }
            (generation, actions)
        }
        Start::Elsewhere { tokens_known } => resume(tokens_known),
        Start::Attached {
            tokens_known,
            tokens: count,
        } => {
            let (mut generation, _) = resume(tokens_known);
            let mut actions = generation.step(now, Event::Attached { attempt });
            if count > 0 {
                let position = generation.position();
                actions = generation.step(now, tokens(attempt, position, count));
            }
            (generation, actions)
        }
    }
}

/// Advances a generation to its wake-up times until it chooses again or ends; returns the time and
/// the actions then.
fn run_until_given_up(generation: &mut Generation, actions: Vec<Action>) -> (Time, Vec<Action>) {
    let mut now = Time::ZERO;
    let mut actions = actions;
    loop {
        let is_over = |action: &Action| matches!(action, Action::Choose { .. } | Action::End(_));
        if actions.iter().any(is_over) {
            return (now, actions);
        }
        now = actions
            .iter()
            .find_map(|action| match action {
                Action::Wake { at } => Some(*at),
                _ => None,
            })
            .expect("a running generation has a deadline");
        actions = generation.step(now, Event::Tick);
    }
}

#[test_case(CASE; "a running stream")]
#[test_case(Case { start: Start::Here { tokens: 0 }, given_up_ms: 20_000, ..CASE }; "before the first token")]
#[test_case(Case { start: Start::Attached { tokens_known: true, tokens: 0 }, ..CASE }; "a resumed stream")]
#[test_case(Case { start: Start::Elsewhere { tokens_known: true }, ..CASE }; "resumed with known tokens")]
#[test_case(LAST; "the last attempt")]
#[test_case(Case { start: Start::Here { tokens: 0 }, ..LAST }; "the last attempt before its first token")]
#[test_case(Case { start: Start::Elsewhere { tokens_known: false }, max_attempts: 4, ..LAST }; "resumed with unknown tokens")]
#[test_case(Case { start: Start::Elsewhere { tokens_known: true }, ..LAST }; "the last attempt, resumed")]
#[test_case(Case { start: Start::Attached { tokens_known: false, tokens: 4 }, max_attempts: 4, ..LAST }; "while unknown tokens are repeated")]
#[test_case(Case { start: Start::Attached { tokens_known: false, tokens: DELIVERED_TOKENS }, ..CASE }; "once unknown tokens were repeated")]
fn a_silent_attempt_is_given_up_in_time(case: Case) {
    let (mut generation, actions) = start(&case);
    let (at, actions) = run_until_given_up(&mut generation, actions);
    assert_eq!(at, Duration::from_millis(case.given_up_ms));
    assert!(
        matches!(actions[0], Action::Cancel { attempt: 1, .. }),
        "the silent attempt is cancelled first: {actions:?}"
    );
    let last = actions.last().expect("there are actions");
    match case.ending {
        Some(ending) => assert_eq!(*last, Action::End(ending)),
        None => assert!(matches!(last, Action::Choose { .. }), "{actions:?}"),
    }
}

/// The engine of a lost connection is likely gone, and the caller waits.
#[test]
fn a_live_stream_is_awaited_briefly_after_its_connection_was_lost() {
    let (mut generation, _) = start(&CASE);
    let loss = Loss::Reset;
    let actions = generation.step(Time::ZERO, Event::Lost { attempt: 1, loss });
    assert!(matches!(actions[0], Action::Attach { until, .. } if until == LIMITS.attach_timeout));
    let (at, _) = run_until_given_up(&mut generation, actions);
    assert_eq!(at, LIMITS.attach_timeout);
}

/// A certain end of an attempt is not waited for.
#[test_case(Start::Elsewhere { tokens_known: false }, Loss::Refused; "the engine is gone")]
#[test_case(Start::Attached { tokens_known: false, tokens: 0 }, Loss::Mismatch; "the engine sends other tokens")]
fn an_attempt_that_ends_for_certain_is_given_up_at_once(start_at: Start, loss: Loss) {
    let case = Case {
        start: start_at,
        ..LAST
    };
    let (mut generation, _) = start(&case);
    let actions = generation.step(Time::ZERO, Event::Lost { attempt: 1, loss });
    assert_eq!(actions.last(), Some(&Action::End(Ending::Partial)));
}
