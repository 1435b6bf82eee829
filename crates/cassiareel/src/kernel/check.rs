/*!
Model checking of the kernel's own transition functions by exhaustive search.

A [`Model`] embeds a kernel state machine in an environment that loses, delays and duplicates
messages, crashes and pauses. The search is breadth first and uses the `pathfinding` crate, so that
a violated invariant is reported with its shortest trace. To check liveness, a model also defines
how it continues from any state in a quiet environment, that is, without further faults.
*/

use std::{
    cell::{Cell, RefCell},
    collections::{hash_map::DefaultHasher, HashMap, HashSet},
    fmt,
    hash::{Hash, Hasher},
};

use pathfinding::directed::bfs::bfs;

/// A state machine with its environment.
pub trait Model {
    /// The combined state of machine and environment.
    type State: Clone + Eq + Hash;

    /// Returns the initial state.
    fn initial(&self) -> Self::State;

    /// Returns every step that the machine or the environment may take, with a label for traces.
    fn steps(&self, state: &Self::State) -> Vec<(String, Self::State)>;

    /// Checks the invariants.
    ///
    /// # Errors
    ///
    /// Returns the name of a violated invariant.
    fn invariant(&self, state: &Self::State) -> Result<(), &'static str>;

    /// Returns the next state without further faults, or `None` if the machine has reached its end.
    fn quiet_step(&self, _state: &Self::State) -> Option<Self::State> {
        None
    }
}

/// The result of a search.
#[derive(Debug)]
pub struct Report {
    /// Number of explored states.
    pub states: usize,
    /// The largest distance of a state from the initial state, in steps.
    pub depth: usize,
    /// The violated invariant with its shortest trace, if any.
    pub violation: Option<Violation>,
}

/// A violated invariant.
#[derive(Debug)]
pub struct Violation {
    /// The name of the invariant.
    pub invariant: &'static str,
    /// The labels of the steps from the initial state to the violation.
    pub trace: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} states, depth {}", self.states, self.depth)?;
        if let Some(violation) = &self.violation {
            write!(f, ", violates {:?}:", violation.invariant)?;
            for (i, label) in violation.trace.iter().enumerate() {
                write!(f, "\n  {:>2}. {label}", i + 1)?;
            }
        }
        Ok(())
    }
}

/// Explores every reachable state, checks its invariants, and checks that quiet steps from it come
/// to an end.
///
/// # Panics
///
/// Panics if more than `bound` states are reached, since a search that is cut off proves nothing.
pub fn search<M>(model: &M, bound: usize) -> Report
where
    M: Model,
{
    let initial = model.initial();
    let states = Cell::new(0);
    let max_depth = Cell::new(0);
    let depths = RefCell::new(HashMap::from([(digest(&initial), 0)]));
    let stuck = RefCell::new(None);
    let settled = RefCell::new(HashSet::new());
    let successors = |state: &M::State| {
        states.set(states.get() + 1);
        assert!(states.get() <= bound, "more than {bound} states");
        let next: Vec<M::State> = model.steps(state).into_iter().map(|(_, s)| s).collect();
        let mut depths = depths.borrow_mut();
        let depth = depths[&digest(state)] + 1;
        for state in &next {
            depths.entry(digest(state)).or_insert_with(|| {
                max_depth.set(depth);
                depth
            });
        }
        next
    };
    let is_violated = |state: &M::State| {
        if model.invariant(state).is_err() {
            return true;
        }
        if !settles(model, state, &mut settled.borrow_mut()) {
            *stuck.borrow_mut() = Some("a quiet environment leads to an end");
            return true;
        }
        false
    };
    let path = bfs(&initial, successors, is_violated);
    let violation = path.map(|path| Violation {
        invariant: stuck.into_inner().unwrap_or_else(|| {
            path.last()
                .and_then(|state| model.invariant(state).err())
                .unwrap_or("unknown")
        }),
        trace: labels(model, &path),
    });
    Report {
        states: states.get(),
        depth: max_depth.get(),
        violation,
    }
}

/// The maximum number of quiet steps before a model counts as stuck.
const MAX_QUIET_STEPS: usize = 1_000;

/// Reports whether quiet steps from a state come to an end. If so, adds the states on the way to
/// `settled`, the set of states for which this is known.
fn settles<M>(model: &M, state: &M::State, settled: &mut HashSet<u64>) -> bool
where
    M: Model,
{
    let mut path = Vec::new();
    let mut state = state.clone();
    while path.len() < MAX_QUIET_STEPS {
        let key = digest(&state);
        if settled.contains(&key) {
            settled.extend(path);
            return true;
        }
        path.push(key);
        match model.quiet_step(&state) {
            Some(next) => state = next,
            None => {
                settled.extend(path);
                return true;
            }
        }
    }
    false
}

/// Returns the labels of the steps along a path.
fn labels<M>(model: &M, path: &[M::State]) -> Vec<String>
where
    M: Model,
{
    path.windows(2)
        .map(|pair| {
            model
                .steps(&pair[0])
                .into_iter()
                .find(|(_, state)| *state == pair[1])
                .map_or_else(String::new, |(label, _)| label)
        })
        .collect()
}

/// Returns the hash of a state. Storing hashes keeps the table of depths small.
fn digest<S>(state: &S) -> u64
where
    S: Hash,
{
    let mut hasher = DefaultHasher::new();
    state.hash(&mut hasher);
    hasher.finish()
}
