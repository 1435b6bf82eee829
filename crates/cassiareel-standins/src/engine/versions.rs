//! The versions that an engine has loaded, and the orders that change them.

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

/// What an order led to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Ordered {
    /// The version must be fetched.
    Fetch(String),
    /// There is nothing more to do.
    Done,
    /// The order's fencing number is older than one that was met.
    Old,
}

impl Versions {
    pub(super) fn new(loaded: &[String]) -> Versions {
        Versions {
            loaded: loaded.iter().cloned().collect(),
            ..Versions::default()
        }
    }

    /// Reports whether a version is loaded.
    pub(super) fn has(&self, version: &str) -> bool {
        self.loaded.contains(version)
    }

    /// The loaded versions.
    pub(super) fn loaded(&self) -> impl Iterator<Item = &String> {
        self.loaded.iter()
    }

    /// Takes an order; one that was met before changes nothing.
    pub(super) fn order(&mut self, order: &EngineCommand, checks: bool) -> Ordered {
        if checks && order.fence < self.fence {
            return Ordered::Old;
        }
        self.fence = self.fence.max(order.fence);
        match &order.kind {
            EngineCommandKind::Load { version } => self.load(version),
            EngineCommandKind::Unload { version } => {
                self.loaded.remove(&**version);
                self.loading.remove(&**version);
                Ordered::Done
            }
        }
    }

    /// Takes a version that was fetched, unless it was unloaded meanwhile.
    pub(super) fn fetched(&mut self, version: &str) {
        if self.loading.remove(version) {
            self.loaded.insert(version.to_owned());
        }
    }

    fn load(&mut self, version: &str) -> Ordered {
        if self.has(version) || !self.loading.insert(version.to_owned()) {
            return Ordered::Done;
        }
        Ordered::Fetch(version.to_owned())
    }
}
