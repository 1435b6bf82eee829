//! The settings that a node holds and passes on.

use std::sync::{Arc, Mutex};

use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};

use crate::{
    kernel::{
        revision::{Action, ActiveRevision, Event, Source, WaitReason},
        Revision, Time,
    },
    settings::{Snapshot, Tree},
};

/// The tree of a revision on its way between nodes.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(super) struct Passed {
    /// The revision; 0 when the sender has none.
    pub(super) revision: Revision,
    /// The tree in TOML.
    pub(super) tree: String,
}

/// The settings in force and the machine that decides on them.
#[derive(Debug)]
pub struct Held {
    current: Arc<ArcSwap<Snapshot>>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    machine: ActiveRevision,
    fetched: Option<(Revision, Tree)>,
}

impl Held {
    /// Nothing in force yet; `current` is what the rest of the node reads. A node that is `alone`
    /// has no peers to ask.
    pub fn new(current: Arc<ArcSwap<Snapshot>>, alone: bool) -> Held {
        let machine = match alone {
            true => ActiveRevision::without_peers(),
            false => ActiveRevision::new(),
        };
        Held {
            current,
            state: Mutex::new(State {
                machine,
                fetched: None,
            }),
        }
    }

    /// The revision in force; 0 before the first.
    pub fn revision(&self) -> Revision {
        self.current.load().revision
    }

    /// Why nothing is in force; none once something is.
    pub fn waits(&self) -> Option<WaitReason> {
        self.lock().machine.wait_reason()
    }

    /// Offers a valid tree; the revision that it put in force, if any.
    pub fn offer(
        &self,
        now: Time,
        source: Source,
        revision: Revision,
        tree: Tree,
    ) -> Option<Revision> {
        let mut state = self.lock();
        if state.fetched.as_ref().is_none_or(|(r, _)| *r < revision) {
            state.fetched = Some((revision, tree));
        }
        let actions = state.machine.step(now, Event::Fetched { source, revision });
        self.enforce(&mut state, &actions)
    }

    /// Lets time pass.
    pub fn tick(&self, now: Time) -> Option<Revision> {
        let mut state = self.lock();
        let actions = state.machine.step(now, Event::Tick);
        self.enforce(&mut state, &actions)
    }

    /// Hears of a revision; true if it is to be fetched from there.
    pub fn announced(&self, now: Time, source: Source, revision: Revision) -> bool {
        let event = Event::Announced { source, revision };
        let mut state = self.lock();
        let actions = state.machine.step(now, event);
        self.enforce(&mut state, &actions);
        actions.iter().any(|a| matches!(a, Action::Fetch { .. }))
    }

    /// A fetch failed.
    pub fn failed(&self, now: Time, source: Source) {
        self.lock().machine.step(now, Event::FetchFailed { source });
    }

    /// What is passed on to a peer that asks.
    pub(super) fn passed(&self) -> Passed {
        let current = self.current.load();
        match toml::to_string(&current.tree) {
            Ok(tree) if current.revision > 0 => Passed {
                revision: current.revision,
                tree,
            },
            _ => Passed::default(),
        }
    }

    /// Puts the fetched tree in force where the machine says so.
    fn enforce(&self, state: &mut State, actions: &[Action]) -> Option<Revision> {
        let enforced = actions.iter().find_map(|action| match action {
            Action::Apply { revision } => Some(*revision),
            Action::Fetch { .. } => None,
        })?;
        // INVARIANT: the machine enforces the highest fetched revision, which is the one kept.
        let (revision, tree) = state.fetched.take()?;
        assert_eq!(revision, enforced, "the fetched tree is the enforced one");
        self.current.store(Arc::new(Snapshot::new(revision, tree)));
        Some(revision)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}
