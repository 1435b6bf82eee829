//! Keys that were taken away don't work for longer than the bound, searched exhaustively: reads that
//! answer late, a node that reads the store, and one that goes by its words.

use std::time::Duration;

use cassiareel::kernel::check::{search, Model};

use super::ConfigFreshness;

/// The bound, in steps of the model's time.
const BOUND: u64 = 3;

/// The model's longest time.
const LONGEST: u64 = 8;

/// More states than the search may need.
const STATES: usize = 2_000_000;

/// What one node knows.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Node {
    authority: ConfigFreshness,
    knows: bool,
}

/// A call under way: when it began, and the answer where it was given.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Call {
    began: u64,
    answer: Option<Answer>,
}

/// An answer: whether the key is gone, and how old that word is.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Answer {
    gone: bool,
    age: u64,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    now: u64,
    revoked: Option<u64>,
    reader: Node,
    follower: Node,
    read: Option<Call>,
    ask: Option<Call>,
}

/// What a broken node does.
#[derive(Clone, Copy, Debug, Default)]
struct Keys {
    /// Counts from the answer's arrival.
    arrival: bool,
    /// Leaves out the age of a peer's word.
    ageless: bool,
}

fn at(now: u64) -> Duration {
    Duration::from_secs(now)
}

impl Keys {
    /// Takes an answer in.
    fn learn(self, node: &mut Node, call: Call, now: u64) {
        let Some(answer) = call.answer else {
            return;
        };
        let age = if self.ageless { 0 } else { answer.age };
        let began = if self.arrival { now } else { call.began };
        node.knows |= answer.gone;
        node.authority.record_read(at(began.saturating_sub(age)));
    }
}

impl Model for Keys {
    type State = State;

    fn initial(&self) -> State {
        let node = Node {
            authority: ConfigFreshness::new(at(BOUND)),
            knows: false,
        };
        State {
            now: 0,
            revoked: None,
            reader: node.clone(),
            follower: node,
            read: None,
            ask: None,
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        let mut step = |label: &str, change: &dyn Fn(&mut State)| {
            let mut next = state.clone();
            change(&mut next);
            steps.push((label.to_owned(), next));
        };
        if state.now < LONGEST {
            step("time passes", &|s| s.now += 1);
        }
        if state.revoked.is_none() {
            step("key taken away", &|s| s.revoked = Some(s.now));
        }
        let begun = Some(Call {
            began: state.now,
            answer: None,
        });
        match state.read {
            None => step("read begins", &|s| s.read = begun),
            Some(call) if call.answer.is_none() => step("store answers", &|s| {
                let gone = s.revoked.is_some();
                let answer = Some(Answer { gone, age: 0 });
                s.read = Some(Call { answer, ..call });
            }),
            Some(call) => step("answer arrives", &|s| {
                self.learn(&mut s.reader, call, s.now);
                s.read = None;
            }),
        }
        let known = state.reader.authority.age(at(state.now));
        match (state.ask, known) {
            (None, _) => step("peer is asked", &|s| s.ask = begun),
            (Some(call), Some(age)) if call.answer.is_none() => step("peer answers", &|s| {
                let gone = s.reader.knows;
                let age = age.as_secs();
                let answer = Some(Answer { gone, age });
                s.ask = Some(Call { answer, ..call });
            }),
            (Some(call), _) if call.answer.is_some() => step("word arrives", &|s| {
                self.learn(&mut s.follower, call, s.now);
                s.ask = None;
            }),
            _ => {}
        }
        steps
    }

    fn invariant(&self, state: &State) -> Result<(), &'static str> {
        let Some(revoked) = state.revoked else {
            return Ok(());
        };
        let late = state.now > revoked + BOUND;
        let works = |node: &Node| !node.knows && node.authority.is_fresh(at(state.now));
        if late && works(&state.reader) {
            return Err("a key works on a node that reads the store");
        }
        if late && works(&state.follower) {
            return Err("a key works on a node that goes by a peer's word");
        }
        Ok(())
    }
}

#[test]
fn keys_stop_working_in_time() {
    let report = search(&Keys::default(), STATES);
    assert!(report.violation.is_none(), "{report}");
    assert!(report.states > 1_000, "{report}");
}

#[test]
fn broken_nodes_are_caught() {
    let broken = [
        Keys {
            arrival: true,
            ..Keys::default()
        },
        Keys {
            ageless: true,
            ..Keys::default()
        },
    ];
    for model in broken {
        let report = search(&model, STATES);
        assert!(report.violation.is_some(), "{model:?}: {report}");
    }
}
