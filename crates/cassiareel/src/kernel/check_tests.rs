//! The search finds the shortest trace, counts the whole state space and detects stuck states.

use super::check::{search, Model};

/// A counter that increases by one or three up to a limit.
struct Counter {
    limit: u32,
    forbidden: Option<u32>,
    stuck: Option<u32>,
}

impl Model for Counter {
    type State = u32;

    fn initial(&self) -> u32 {
        0
    }

    fn steps(&self, state: &u32) -> Vec<(String, u32)> {
        [1, 3]
            .into_iter()
            .map(|by| (format!("add {by}"), state + by))
            .filter(|(_, next)| *next <= self.limit)
            .collect()
    }

    fn invariant(&self, state: &u32) -> Result<(), &'static str> {
        match self.forbidden {
            Some(forbidden) if forbidden == *state => Err("not forbidden"),
            _ => Ok(()),
        }
    }

    fn quiet_step(&self, state: &u32) -> Option<u32> {
        if self.stuck == Some(*state) {
            return Some(*state);
        }
        (*state < self.limit).then_some(state + 1)
    }
}

#[test]
fn search_is_exhaustive_and_finds_the_shortest_trace() {
    let whole = search(
        &Counter {
            limit: 10,
            forbidden: None,
            stuck: None,
        },
        100,
    );
    assert!(whole.violation.is_none(), "{whole}");
    assert_eq!((whole.states, whole.depth), (11, 4));
    let found = search(
        &Counter {
            limit: 10,
            forbidden: Some(7),
            stuck: None,
        },
        100,
    );
    let violation = found.violation.expect("7 is reachable");
    assert_eq!(violation.invariant, "not forbidden");
    assert_eq!(violation.trace, ["add 1", "add 3", "add 3"]);
}

#[test]
fn search_detects_a_stuck_state() {
    let found = search(
        &Counter {
            limit: 5,
            forbidden: None,
            stuck: Some(4),
        },
        100,
    );
    let violation = found
        .violation
        .expect("quiet steps from state 0 are stuck in state 4");
    assert_eq!(violation.invariant, "a quiet environment leads to an end");
}

#[test]
#[should_panic(expected = "more than 5 states")]
fn search_panics_above_the_bound() {
    search(
        &Counter {
            limit: 10,
            forbidden: None,
            stuck: None,
        },
        5,
    );
}
