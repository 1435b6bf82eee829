//! What a node counted of one move.

use crate::kernel::{Baselines, Tally};

/// What a node counted of one move, and what it knows of usual times.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RolloutCounts {
    /// The old version's runs.
    pub old: Tally,
    /// The new version's runs.
    pub new: Tally,
    /// Usual times of the old version on all nodes.
    pub typical: Baselines,
}

impl RolloutCounts {
    /// The counts of the new or the old version.
    pub(super) fn tally(&mut self, is_new: bool) -> &mut Tally {
        if is_new {
            &mut self.new
        } else {
            &mut self.old
        }
    }
}
