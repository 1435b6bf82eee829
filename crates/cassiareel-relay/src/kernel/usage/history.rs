//! The counts that a candidate has from all nodes, for another one that takes over.

use serde::{Deserialize, Serialize};

use super::{SenderKey, WindowNumber};
use crate::model::AccountId;

/// The requests of client accounts, which are named by their place in a table.
pub type NumberedCounts = Vec<(u32, u64)>;

/// The counts of one sender in one window.
pub type SenderCounts = (WindowNumber, SenderKey, NumberedCounts);

/// The counts of open windows by sender; accounts are named by their place in a table.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct History {
    /// The names of the client accounts.
    pub accounts: Vec<AccountId>,
    /// The counts: window, sender, and the requests of each account by its place.
    pub counts: Vec<SenderCounts>,
    /// The sums over all senders of windows that no node sends again.
    pub sums: Vec<(WindowNumber, NumberedCounts)>,
    /// The last window that is known to be fixed.
    pub fixed: Option<WindowNumber>,
}

impl History {
    /// Returns the number of counts, which bounds the size.
    pub fn len(&self) -> usize {
        let counts = self.counts.iter().map(|(_, _, counts)| counts.len());
        let sums = self.sums.iter().map(|(_, sums)| sums.len());
        counts.chain(sums).sum()
    }

    /// Reports whether there are no counts.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns counts with the names of their accounts.
    pub fn named<'a>(
        &'a self,
        counts: &'a [(u32, u64)],
    ) -> impl Iterator<Item = (AccountId, u64)> + 'a {
        counts.iter().filter_map(|(place, requests)| {
            let account = self.accounts.get(*place as usize)?;
            Some((account.clone(), *requests))
        })
    }
}
