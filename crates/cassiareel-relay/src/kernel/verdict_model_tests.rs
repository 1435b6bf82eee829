//! One verdict for each move, whichever node reaches it, and whether it survives or not.

use cassiareel::kernel::check::{search, Model};

use super::{state_to_report, RolloutDecision};
use crate::model::RolloutState;

/// More states than the search may need.
const STATES: usize = 500_000;

/// Nodes that judge.
const NODES: usize = 2;

/// Writes that a node makes at most.
const WRITES: u32 = 2;

/// What a node read last: the revision and the state.
type Seen = (u32, Option<Told>);

/// A state of a move as the store holds it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Told {
    Running,
    Completed,
    RolledBack,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    revision: u32,
    stored: Option<Told>,
    seen: [Option<Seen>; NODES],
    /// A write on its way: the revision that it expects, and the state. Its answer may be lost.
    write: [Option<(u32, Told)>; NODES],
    writes: [u32; NODES],
    /// Every end that was ever stored.
    ends: Vec<Told>,
}

/// The environment, and what a broken store or node leaves out.
#[derive(Clone, Copy, Debug, Default)]
struct Verdicts {
    unconditional: bool,
}

fn told(state: RolloutState) -> Told {
    match state {
        RolloutState::Running => Told::Running,
        RolloutState::Completed => Told::Completed,
        RolloutState::RolledBack => Told::RolledBack,
    }
}

fn state(told: Told) -> RolloutState {
    match told {
        Told::Running => RolloutState::Running,
        Told::Completed => RolloutState::Completed,
        Told::RolledBack => RolloutState::RolledBack,
    }
}

impl Model for Verdicts {
    type State = State;

    fn initial(&self) -> State {
        State {
            revision: 1,
            stored: None,
            seen: [None; NODES],
            write: [None; NODES],
            writes: [0; NODES],
            ends: Vec::new(),
        }
    }

    fn steps(&self, old: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        for node in 0..NODES {
            let mut read = old.clone();
            read.seen[node] = Some((old.revision, old.stored));
            steps.push((format!("{node} reads"), read));
            let mut lost = old.clone();
            (lost.seen[node], lost.write[node]) = (None, None);
            steps.push((format!("{node} is killed"), lost));
            if let Some((expected, verdict)) = old.write[node] {
                let mut done = old.clone();
                done.write[node] = None;
                if self.unconditional || expected == old.revision {
                    done.revision += 1;
                    done.stored = Some(verdict);
                    if verdict != Told::Running {
                        done.ends.push(verdict);
                    }
                }
                steps.push((format!("{node}'s write arrives"), done));
                continue;
            }
            let Some((revision, seen)) = old.seen[node].filter(|_| old.writes[node] < WRITES)
            else {
                continue;
            };
            for split in [
                RolloutDecision::Share(0.1),
                RolloutDecision::Complete,
                RolloutDecision::RollBack,
            ] {
                if let Some(verdict) = state_to_report(seen.map(state), split) {
                    let mut sent = old.clone();
                    sent.write[node] = Some((revision, told(verdict)));
                    sent.writes[node] += 1;
                    steps.push((format!("{node} tells {verdict:?}"), sent));
                }
            }
        }
        steps
    }

    fn invariant(&self, state: &State) -> Result<(), &'static str> {
        if state.ends.len() > 1 {
            return Err("a move ends once");
        }
        if let (Some(end), Some(stored)) = (state.ends.first(), state.stored) {
            if *end != stored {
                return Err("an end holds");
            }
        }
        Ok(())
    }
}

#[test]
fn a_move_ends_once() {
    let report = search(&Verdicts::default(), STATES);
    assert!(report.violation.is_none(), "{report}");
    assert!(report.states > 500, "{report}");
}

#[test]
fn writes_without_a_condition_are_caught() {
    let report = search(
        &Verdicts {
            unconditional: true,
        },
        STATES,
    );
    assert!(report.violation.is_some(), "{report}");
}
