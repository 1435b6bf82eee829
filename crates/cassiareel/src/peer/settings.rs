//! The settings in force on a node, which it also sends to its peers.

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

/// A message between nodes with the settings tree of a revision.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(super) struct SettingsMessage {
    /// The revision; 0 if the sender has no settings in force.
    pub(super) revision: Revision,
    /// The settings tree in TOML.
    pub(super) tree: String,
}

/// The settings in force, and the state machine that decides which revision is in force.
#[derive(Debug)]
pub struct ActiveSettings {
    current: Arc<ArcSwap<Snapshot>>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    machine: ActiveRevision,
    fetched: Option<(Revision, Tree)>,
}

impl ActiveSettings {
    /// Creates the state of a node without settings in force.
    ///
    /// The settings in force are stored in `current`, where the rest of the node reads them. A node
    /// that is `alone` has no peers to fetch settings from.
    pub fn new(current: Arc<ArcSwap<Snapshot>>, alone: bool) -> ActiveSettings {
        let machine = match alone {
            true => ActiveRevision::without_peers(),
            false => ActiveRevision::new(),
        };
        ActiveSettings {
            current,
            state: Mutex::new(State {
                machine,
                fetched: None,
            }),
        }
    }

    /// Returns the revision in force, or 0 before the first one.
    pub fn revision(&self) -> Revision {
        self.current.load().revision
    }

    /// Returns why no settings are in force, or `None` once some are.
    pub fn wait_reason(&self) -> Option<WaitReason> {
        self.lock().machine.wait_reason()
    }

    /// Offers a valid tree; returns the revision that this put in force, if any.
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
        self.apply(&mut state, &actions)
    }

    /// Processes the passing of time; returns the revision that this put in force, if any.
    pub fn tick(&self, now: Time) -> Option<Revision> {
        let mut state = self.lock();
        let actions = state.machine.step(now, Event::Tick);
        self.apply(&mut state, &actions)
    }

    /// Records that a source has a revision; returns true if it is to be fetched from that source.
    pub fn record_announcement(&self, now: Time, source: Source, revision: Revision) -> bool {
        let event = Event::Announced { source, revision };
        let mut state = self.lock();
        let actions = state.machine.step(now, event);
        self.apply(&mut state, &actions);
        actions.iter().any(|a| matches!(a, Action::Fetch { .. }))
    }

    /// Records that a fetch failed.
    pub fn record_fetch_failure(&self, now: Time, source: Source) {
        self.lock().machine.step(now, Event::FetchFailed { source });
    }

    /// Returns the message with the settings in force, for a peer that requests them.
    pub(super) fn message(&self) -> SettingsMessage {
        let current = self.current.load();
        match toml::to_string(&current.tree) {
            Ok(tree) if current.revision > 0 => SettingsMessage {
                revision: current.revision,
                tree,
            },
            _ => SettingsMessage::default(),
        }
    }

    /// Puts the fetched tree in force if the actions say so; returns its revision.
    fn apply(&self, state: &mut State, actions: &[Action]) -> Option<Revision> {
        let applied = actions.iter().find_map(|action| match action {
            Action::Apply { revision } => Some(*revision),
            Action::Fetch { .. } => None,
        })?;
        // INVARIANT: the state machine applies the highest fetched revision, and `fetched` keeps that
        // one.
        let (revision, tree) = state.fetched.take()?;
        assert_eq!(revision, applied, "the fetched tree is the applied one");
        self.current.store(Arc::new(Snapshot::new(revision, tree)));
        Some(revision)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("the lock is not poisoned")
    }
}
