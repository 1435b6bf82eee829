//! The versions that an engine has loaded, and the commands that load and unload them.

use std::collections::BTreeSet;

use cassiareel::{
    backend::{EngineCommand, EngineCommandKind},
    kernel::Fence,
};

/// The versions of an engine.
#[derive(Debug, Default)]
pub(super) struct Versions {
    loaded: BTreeSet<String>,
    loading: BTreeSet<String>,
    fence: Fence,
}

/// The outcome of a command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum CommandOutcome {
    /// The named version must be fetched.
    Fetch(String),
    /// Nothing remains to be done.
    Done,
    /// The command's fencing number is lower than one that was received.
    Stale,
}

impl Versions {
    pub(super) fn new(loaded: &[String]) -> Versions {
        Versions {
            loaded: loaded.iter().cloned().collect(),
            ..Versions::default()
        }
    }

    /// Reports whether a version is loaded.
    pub(super) fn is_loaded(&self, version: &str) -> bool {
        self.loaded.contains(version)
    }

    /// Returns the loaded versions.
    pub(super) fn loaded(&self) -> impl Iterator<Item = &String> {
        self.loaded.iter()
    }

    /// Applies a command. A repeated command changes nothing.
    pub(super) fn apply(
        &mut self,
        command: &EngineCommand,
        checks_fencing: bool,
    ) -> CommandOutcome {
        if checks_fencing && command.fence < self.fence {
            return CommandOutcome::Stale;
        }
        self.fence = self.fence.max(command.fence);
        match &command.kind {
            EngineCommandKind::Load { version } => self.start_load(version),
            EngineCommandKind::Unload { version } => {
                self.loaded.remove(&**version);
                self.loading.remove(&**version);
                CommandOutcome::Done
            }
        }
    }

    /// Marks a fetched version as loaded, unless it was unloaded meanwhile.
    pub(super) fn mark_fetched(&mut self, version: &str) {
        if self.loading.remove(version) {
            self.loaded.insert(version.to_owned());
        }
    }

    fn start_load(&mut self, version: &str) -> CommandOutcome {
        if self.is_loaded(version) || !self.loading.insert(version.to_owned()) {
            return CommandOutcome::Done;
        }
        CommandOutcome::Fetch(version.to_owned())
    }
}
