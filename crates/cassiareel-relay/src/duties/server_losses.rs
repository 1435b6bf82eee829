//! Counts the servers of a service that were lost, as opposed to those that were ordered away.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use crate::{backends::Backend, model::DataCentre};

/// The servers of a service at the last count.
#[derive(Debug, Default)]
pub(super) struct ServerLosses {
    staying: HashMap<u64, Arc<Backend>>,
    /// The number of servers that orders remove, by data centre.
    ordered_away: BTreeMap<DataCentre, u32>,
}

impl ServerLosses {
    /// Records that an order removes servers. An idle one may be gone before the registry shows that it
    /// is leaving.
    pub(super) fn expect_removals(&mut self, data_centre: &DataCentre, count: u32) {
        self.ordered_away.insert(data_centre.clone(), count);
    }

    /// Returns the number of servers that were lost in each data centre since the last count: their
    /// process has ended, or their entry is gone though they were not leaving.
    pub(super) fn count(&mut self, now: &[Arc<Backend>]) -> BTreeMap<DataCentre, u32> {
        let mut lost: BTreeMap<DataCentre, u32> = BTreeMap::new();
        let before = std::mem::take(&mut self.staying);
        for backend in before.into_values() {
            let data_centre = &backend.entry.data_centre;
            let is_removed = backend.is_removed() && !self.take_removal(data_centre);
            if backend.has_ended() || is_removed {
                *lost.entry(data_centre.clone()).or_default() += 1;
            }
        }
        let staying = now.iter().filter(|b| !b.is_leaving() && !b.has_ended());
        self.staying = staying.map(|b| (b.number, b.clone())).collect();
        lost
    }

    /// Reports whether one of the servers that orders remove is not accounted for, and accounts for it.
    fn take_removal(&mut self, data_centre: &DataCentre) -> bool {
        let Some(left) = self.ordered_away.get_mut(data_centre) else {
            return false;
        };
        let is_expected = *left > 0;
        *left = left.saturating_sub(1);
        is_expected
    }
}
