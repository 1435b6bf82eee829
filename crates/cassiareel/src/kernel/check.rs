/*!
Exhaustive search over the kernel's own transition functions.

A [`Model`] wraps a kernel state machine in an environment that loses, delays and duplicates
messages, crashes and pauses. The search is breadth first, by the `pathfinding` crate, so that a
violated invariant comes with its shortest trace. A model also names how a quiet environment goes
on from any state, for the promises that something happens in the end.
*/

use std::{
    cell::{Cell, RefCell},
    collections::{hash_map::DefaultHasher, HashMap, HashSet},
    fmt,
    hash::{Hash, Hasher},
};

use pathfinding::directed::bfs::bfs;

/// A state machine in its environment.
pub trait Model {
    /// A state of machine and environment together.
    type State: Clone + Eq + Hash;

    /// The first state.
    fn initial(&self) -> Self::State;

    /// Every step that machine or environment may take, with its label for traces.
    fn steps(&self, state: &Self::State) -> Vec<(String, Self::State)>;

    /// The invariants; a violated one returns its name.
    fn invariant(&self, state: &Self::State) -> Result<(), &'static str>;

    /// The next step of an environment without further faults; none where the promise is kept.
    fn quiet_step(&self, _state: &Self::State) -> Option<Self::State> {
        None
    }
}

/// The result of a search.
#[derive(Debug)]
pub struct Report {
    /// States explored.
    pub states: usize,
    /// Steps of the longest shortest path.
    pub depth: usize,
    /// The violated invariant with its shortest trace.
    pub violation: Option<Violation>,
}

/// A violated invariant.
#[derive(Debug)]
pub struct Violation {
    /// The invariant's name.
    pub invariant: &'static str,
    /// The labels of the steps that lead there.
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

/// Explores every reachable state and, without a violation, runs each to quiet.
///
/// # Panics
///
/// Panics when more than `bound` states are reached: the model is too large to be exhaustive, and
/// a search that was cut off proves nothing.
pub fn search<M>(model: &M, bound: usize) -> Report
where
    M: Model,
{
    let initial = model.initial();
    let states = Cell::new(0);
    let deepest = Cell::new(0);
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
                deepest.set(depth);
                depth
            });
        }
        next
    };
    let violated = |state: &M::State| {
        if model.invariant(state).is_err() {
            return true;
        }
        if !settles(model, state, &mut settled.borrow_mut()) {
            *stuck.borrow_mut() = Some("a quiet environment leads to an end");
            return true;
        }
        false
    };
    let path = bfs(&initial, successors, violated);
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
        depth: deepest.get(),
        violation,
    }
}

/// Quiet steps allowed before a model counts as stuck.
const QUIET_STEPS: usize = 1_000;

/// Reports whether quiet steps from a state come to an end, and adds those on the way to the states
/// that are known to.
fn settles<M>(model: &M, state: &M::State, settled: &mut HashSet<u64>) -> bool
where
    M: Model,
{
    let mut path = Vec::new();
    let mut state = state.clone();
    while path.len() < QUIET_STEPS {
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

/// The labels of the steps along a path.
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

/// A state's hash, which keeps the table of depths small.
fn digest<S>(state: &S) -> u64
where
    S: Hash,
{
    let mut hasher = DefaultHasher::new();
    state.hash(&mut hasher);
    hasher.finish()
}
