//! An exhaustive search for a revoked key that works for longer than the bound. The model has reads
//! that answer late, a node that reads the store, and a node that gets its configuration from that
//! one.

use std::time::Duration;

use cassiareel::kernel::check::{search, Model};

use super::ConfigFreshness;

/// The bound, in steps of the model's time.
const BOUND: u64 = 3;

/// The last step of the model's time.
const LAST_STEP: u64 = 8;

/// The limit on the states of a search, above what it needs.
const MAX_STATES: usize = 2_000_000;

/// What one node knows of the configuration.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Node {
    freshness: ConfigFreshness,
    knows_revocation: bool,
}

/// A call in progress: when it began, and its answer if there is one.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Call {
    began: u64,
    answer: Option<Answer>,
}

/// An answer: whether the key is revoked, and the age of that information.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Answer {
    revoked: bool,
    age: u64,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    now: u64,
    revoked: Option<u64>,
    reader: Node,
    follower: Node,
    read: Option<Call>,
    query: Option<Call>,
}

/// The faults of broken nodes.
#[derive(Clone, Copy, Debug, Default)]
struct Keys {
    /// Counts from the answer's arrival instead of the call's start.
    counts_from_arrival: bool,
    /// Ignores the age of a peer's information.
    ignores_age: bool,
}

fn at(now: u64) -> Duration {
    Duration::from_secs(now)
}

impl Keys {
    /// Records an answer at a node.
    fn learn(self, node: &mut Node, call: Call, now: u64) {
        let Some(answer) = call.answer else {
            return;
        };
        let age = if self.ignores_age { 0 } else { answer.age };
        let began = if self.counts_from_arrival {
            now
        } else {
            call.began
        };
        node.knows_revocation |= answer.revoked;
        node.freshness.record_read(at(began.saturating_sub(age)));
    }
}

impl Model for Keys {
    type State = State;

    fn initial(&self) -> State {
        let node = Node {
            freshness: ConfigFreshness::new(at(BOUND)),
            knows_revocation: false,
        };
        State {
            now: 0,
            revoked: None,
            reader: node.clone(),
            follower: node,
            read: None,
            query: None,
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        let mut step = |label: &str, change: &dyn Fn(&mut State)| {
            let mut next = state.clone();
            change(&mut next);
            steps.push((label.to_owned(), next));
        };
        if state.now < LAST_STEP {
            step("time passes", &|s| s.now += 1);
        }
        if state.revoked.is_none() {
            step("key revoked", &|s| s.revoked = Some(s.now));
        }
        let begun = Some(Call {
            began: state.now,
            answer: None,
        });
        match state.read {
            None => step("read begins", &|s| s.read = begun),
            Some(call) if call.answer.is_none() => step("store answers", &|s| {
                let revoked = s.revoked.is_some();
                let answer = Some(Answer { revoked, age: 0 });
                s.read = Some(Call { answer, ..call });
            }),
            Some(call) => step("answer arrives", &|s| {
                self.learn(&mut s.reader, call, s.now);
                s.read = None;
            }),
        }
        let known = state.reader.freshness.age(at(state.now));
        match (state.query, known) {
            (None, _) => step("peer query begins", &|s| s.query = begun),
            (Some(call), Some(age)) if call.answer.is_none() => step("peer answers", &|s| {
                let revoked = s.reader.knows_revocation;
                let age = age.as_secs();
                let answer = Some(Answer { revoked, age });
                s.query = Some(Call { answer, ..call });
            }),
            (Some(call), _) if call.answer.is_some() => step("peer answer arrives", &|s| {
                self.learn(&mut s.follower, call, s.now);
                s.query = None;
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
        let works = |node: &Node| !node.knows_revocation && node.freshness.is_fresh(at(state.now));
        if late && works(&state.reader) {
            return Err("a revoked key works on the node that reads the store");
        }
        if late && works(&state.follower) {
            return Err("a revoked key works on the node that follows a peer");
        }
        Ok(())
    }
}

#[test]
fn revoked_keys_stop_working_within_the_bound() {
    let report = search(&Keys::default(), MAX_STATES);
    assert!(report.violation.is_none(), "{report}");
    assert!(report.states > 1_000, "{report}");
}

#[test]
fn the_search_finds_the_faults_of_broken_nodes() {
    let broken = [
        Keys {
            counts_from_arrival: true,
            ..Keys::default()
        },
        Keys {
            ignores_age: true,
            ..Keys::default()
        },
    ];
    for model in broken {
        let report = search(&model, MAX_STATES);
        assert!(report.violation.is_some(), "{model:?}: {report}");
    }
}
