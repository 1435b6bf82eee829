//! The nodes of the fleet, in the order in which they read the store.

use std::{collections::HashMap, hash::Hasher};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, Xxh3};

use crate::{model::DataCentre, source::NodeRecord};

/// The nodes of the fleet at one read.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct Members {
    /// The record of each node, without counts. Data centres alternate, so that the loss of one
    /// leaves some of the first nodes.
    pub records: Vec<NodeRecord>,
    /// The digest by which two lists are told apart.
    pub digest: u64,
}

impl Members {
    /// Creates the list of the nodes that wrote `records`, in an order that is the same on all
    /// nodes.
    pub(crate) fn new(mut records: Vec<NodeRecord>) -> Members {
        records.sort_by_key(|node| (xxh3_64(node.name.as_bytes()), node.name.clone()));
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
        let records: Vec<NodeRecord> = rounds.into_iter().map(|(_, record)| record).collect();
        Members {
            digest: digest(&records),
            records,
        }
    }
}

fn digest(records: &[NodeRecord]) -> u64 {
    let mut hasher = Xxh3::new();
    for record in records {
        hasher.write(record.name.as_bytes());
        hasher.write(record.address.to_string().as_bytes());
        hasher.write(record.data_centre.as_bytes());
    }
    hasher.finish()
}
