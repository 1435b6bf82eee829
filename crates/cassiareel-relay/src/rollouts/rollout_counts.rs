//! A node's counts of one rollout.

use std::collections::HashSet;

use crate::kernel::{Baselines, Tally};

/// A node's counts of one rollout, and the typical times that it knows.
#[derive(Clone, Debug, Default)]
pub(crate) struct RolloutCounts {
    /// Runs of the old version.
    pub old: Tally,
    /// Runs of the new version.
    pub new: Tally,
    /// Typical times of the old version on all nodes.
    pub typical: Baselines,
    /// The numbers of the backend servers with which runs were lost.
    pub lost_backends: HashSet<u64>,
}

impl RolloutCounts {
    /// Returns the counts of the new or the old version.
    pub(super) fn tally(&mut self, is_new: bool) -> &mut Tally {
        if is_new {
            &mut self.new
        } else {
            &mut self.old
        }
    }
}
