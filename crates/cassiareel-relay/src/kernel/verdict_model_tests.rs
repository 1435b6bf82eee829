//! An exhaustive search for a rollout that ends twice. Several nodes may reach a verdict, and each
//! may crash at any point.

use cassiareel::kernel::check::{search, Model};

use super::{state_to_report, RolloutDecision};
use crate::model::RolloutState;

/// The limit on the states of a search, above what it needs.
const MAX_STATES: usize = 500_000;

/// The number of nodes that judge the rollout.
const NODES: usize = 2;

/// The largest number of writes of a node.
const MAX_WRITES: u32 = 2;

/// The last read of a node: the revision and the state.
type LastRead = (u32, Option<StoredState>);

/// The state of a rollout in the store.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum StoredState {
    Running,
    Completed,
    RolledBack,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    revision: u32,
    stored: Option<StoredState>,
    last_read: [Option<LastRead>; NODES],
    /// The write in progress: the revision that it expects, and the state. Its answer may be lost.
    write: [Option<(u32, StoredState)>; NODES],
    writes: [u32; NODES],
    /// All end states that were ever stored.
    ends: Vec<StoredState>,
}

/// The check that a broken store or node omits.
#[derive(Clone, Copy, Debug, Default)]
struct Verdicts {
    /// Writes take effect whatever the store's revision is.
    unconditional: bool,
}

fn stored(state: RolloutState) -> StoredState {
    match state {
        RolloutState::Running => StoredState::Running,
        RolloutState::Completed => StoredState::Completed,
        RolloutState::RolledBack => StoredState::RolledBack,
    }
}

fn state(stored: StoredState) -> RolloutState {
    match stored {
        StoredState::Running => RolloutState::Running,
        StoredState::Completed => RolloutState::Completed,
        StoredState::RolledBack => RolloutState::RolledBack,
    }
}

impl Model for Verdicts {
    type State = State;

    fn initial(&self) -> State {
        State {
            revision: 1,
            stored: None,
            last_read: [None; NODES],
            write: [None; NODES],
            writes: [0; NODES],
            ends: Vec::new(),
        }
    }

    fn steps(&self, old: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        for node in 0..NODES {
            let mut read = old.clone();
            read.last_read[node] = Some((old.revision, old.stored));
            steps.push((format!("{node} reads"), read));
            let mut lost = old.clone();
            (lost.last_read[node], lost.write[node]) = (None, None);
            steps.push((format!("{node} is killed"), lost));
            if let Some((expected, verdict)) = old.write[node] {
                let mut done = old.clone();
                done.write[node] = None;
                if self.unconditional || expected == old.revision {
                    done.revision += 1;
                    done.stored = Some(verdict);
                    if verdict != StoredState::Running {
                        done.ends.push(verdict);
                    }
                }
                steps.push((format!("{node}'s write arrives"), done));
                continue;
            }
            let Some((revision, seen)) =
                old.last_read[node].filter(|_| old.writes[node] < MAX_WRITES)
            else {
                continue;
            };
            for decision in [
                RolloutDecision::Share(0.1),
                RolloutDecision::Complete,
                RolloutDecision::RollBack,
            ] {
                if let Some(verdict) = state_to_report(seen.map(state), decision) {
                    let mut sent = old.clone();
                    sent.write[node] = Some((revision, stored(verdict)));
                    sent.writes[node] += 1;
                    steps.push((format!("{node} writes {verdict:?}"), sent));
                }
            }
        }
        steps
    }

    fn invariant(&self, state: &State) -> Result<(), &'static str> {
        if state.ends.len() > 1 {
            return Err("a rollout must end only once");
        }
        if let (Some(end), Some(stored)) = (state.ends.first(), state.stored) {
            if *end != stored {
                return Err("the end state must not change");
            }
        }
        Ok(())
    }
}

#[test]
fn a_rollout_ends_once() {
    let report = search(&Verdicts::default(), MAX_STATES);
    assert!(report.violation.is_none(), "{report}");
    assert!(report.states > 500, "{report}");
}

#[test]
fn the_search_finds_the_fault_of_unconditional_writes() {
    let report = search(
        &Verdicts {
            unconditional: true,
        },
        MAX_STATES,
    );
    assert!(report.violation.is_some(), "{report}");
}
