/*!
The nodes of the fleet, in the order in which they read the store.

A store that was restored from a copy may lack records that it had acknowledged. Their nodes still
run, and write them again. Until then they stay in the list: the number of nodes divides the limits
of the fleet, and must not shrink because records were lost.
*/

use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
    hash::Hasher,
    net::SocketAddr,
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, Xxh3};

use crate::{
    model::{DataCentre, StoreEra},
    source::NodeRecord,
};

/// The nodes of the fleet at one read.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct Members {
    /// The record of each node, without counts. Data centres alternate, so that the loss of one
    /// leaves some of the first nodes.
    pub records: Vec<NodeRecord>,
    /// The digest by which two lists are told apart.
    pub digest: u64,
    /// The store's era at the read.
    pub era: StoreEra,
    /// The names of nodes that a list of an earlier era had and those of this era lack.
    pub lost: Vec<String>,
}

impl Members {
    /// Creates the list of the nodes that wrote `records`, which were read in an era. The order is
    /// the same on all nodes.
    pub(crate) fn new(records: Vec<NodeRecord>, era: StoreEra) -> Members {
        Members::with_lost(records, era, Vec::new())
    }

    /// Adds the nodes of a list that was read before, as far as the store has lost their records.
    pub(crate) fn keep_lost(self: Arc<Members>, known: &Members) -> Arc<Members> {
        let names: HashSet<&str> = self.records.iter().map(|node| &*node.name).collect();
        let addresses: HashSet<SocketAddr> = self.records.iter().map(|node| node.address).collect();
        let was_listed = known.era < self.era;
        let lost: Vec<NodeRecord> = known
            .records
            .iter()
            .filter(|node| was_listed || known.lost.contains(&node.name))
            .filter(|node| !names.contains(&*node.name) && !addresses.contains(&node.address))
            .cloned()
            .collect();
        if lost.is_empty() {
            return self;
        }
        let lost_names = lost.iter().map(|node| node.name.clone());
        let lost_names = self.lost.iter().cloned().chain(lost_names).collect();
        let records = self.records.iter().cloned().chain(lost).collect();
        Arc::new(Members::with_lost(records, self.era, lost_names))
    }

    /// Returns the list without what earlier builds can't decode.
    pub(crate) fn for_earlier_build(&self) -> Members {
        let mut members = self.clone();
        let records = members.records.iter_mut();
        records.for_each(|record| record.link_mbps = None);
        members
    }

    /// Returns the position of a node in the order in which nodes read the store.
    pub(crate) fn position(&self, name: &str) -> Option<usize> {
        self.records.iter().position(|node| node.name == name)
    }

    /// Reports whether the store has the record of a node.
    pub(crate) fn is_listed(&self, name: &str) -> bool {
        let is_known = self.records.iter().any(|node| node.name == name);
        is_known && !self.lost.iter().any(|lost| lost == name)
    }

    fn with_lost(mut records: Vec<NodeRecord>, era: StoreEra, mut lost: Vec<String>) -> Members {
        // Nodes with faster links come first, since they send lists to many others.
        records.sort_by_key(|node| {
            let digest = xxh3_64(node.name.as_bytes());
            (Reverse(node.link_mbps), digest, node.name.clone())
        });
        let mut next_rounds: HashMap<DataCentre, usize> = HashMap::new();
        let mut rounds: Vec<(usize, NodeRecord)> = Vec::new();
        for mut record in records {
            let round = next_rounds.entry(record.data_centre.clone()).or_default();
            record.counts.clear();
            rounds.push((*round, record));
            *round += 1;
        }
        // The sort is stable: within a round of the data centres the order stays.
        rounds.sort_by_key(|(round, _)| *round);
        lost.sort();
        let records: Vec<NodeRecord> = rounds.into_iter().map(|(_, record)| record).collect();
        Members {
            digest: digest(&records, era, &lost),
            records,
            era,
            lost,
        }
    }
}

fn digest(records: &[NodeRecord], era: StoreEra, lost: &[String]) -> u64 {
    let mut hasher = Xxh3::new();
    for record in records {
        hasher.write(record.name.as_bytes());
        hasher.write(record.address.to_string().as_bytes());
        hasher.write(record.data_centre.as_bytes());
        if let Some(rate) = record.link_mbps {
            hasher.write_u32(rate);
        }
    }
    hasher.write_u64(era);
    lost.iter().for_each(|name| hasher.write(name.as_bytes()));
    hasher.finish()
}
