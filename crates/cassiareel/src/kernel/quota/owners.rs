//! Which nodes own the quotas of a limit.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{super::suspect::ProcessKey, NodeKey, Rate};

/// Limits below this have one owner, since a quota of less than a request a second can't be granted
/// evenly.
const MIN_RATE_OF_TWO: Rate = 2.0;

/// Limits below this have at most two owners.
const MIN_RATE_OF_THREE: Rate = 6.0;

/// The lowest rate at which requests are sent. The end of a limit shows only in an answer, so a
/// process that takes nothing still gets a request now and then.
const MIN_RATE: Rate = 0.1;

/// Returns the key of a node by its name.
pub fn node_key(name: &str) -> NodeKey {
    xxh3_64(name.as_bytes())
}

/// Returns how many nodes own quotas of a limit.
fn owner_count(limit: Rate) -> usize {
    if limit < MIN_RATE_OF_TWO {
        1
    } else if limit < MIN_RATE_OF_THREE {
        2
    } else {
        3
    }
}

/// Returns the nodes that own the quotas of a process's limit, in order of their hash, so that nodes
/// with the same list agree.
///
/// # Examples
///
/// ```
/// use cassiareel::kernel::quota::{owners, quota};
///
/// let nodes = [11, 12, 13, 14, 15, 16];
/// let found = owners(7, 9.9, &nodes);
/// assert_eq!(found.len(), 3);
/// let reversed: Vec<u64> = nodes.iter().rev().copied().collect();
/// assert_eq!(found, owners(7, 9.9, &reversed));
/// assert_eq!(quota(9.0, found.len()), 3.0);
/// ```
pub fn owners(process: ProcessKey, limit: Rate, nodes: &[NodeKey]) -> Vec<NodeKey> {
    let mut ranked: Vec<(u64, NodeKey)> = nodes
        .iter()
        .map(|node| (xxh3_64_with_seed(&node.to_le_bytes(), process), *node))
        .collect();
    let count = owner_count(limit).min(ranked.len());
    if count < ranked.len() {
        ranked.select_nth_unstable(count);
        ranked.truncate(count);
    }
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, node)| node).collect()
}

/// Returns the quota of each of `owners` nodes.
pub fn quota(limit: Rate, owners: usize) -> Rate {
    limit.max(MIN_RATE) / owners.max(1) as f64
}
