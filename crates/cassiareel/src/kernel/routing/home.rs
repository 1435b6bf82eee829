//! Home servers of prefixes, on which all nodes agree without exchanging messages.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of leading blocks of a prompt that identify its prefix. With fewer, different prefixes
/// that begin alike would share a home; with more, prompts that diverge late would get different
/// homes.
const KEY_BLOCKS: usize = 8;

/// Returns the key of a prompt's prefix, or `None` for a prompt without a complete block.
pub(crate) fn prefix_key(prefix: &[u64]) -> Option<u64> {
    // Hashes are chained, so the last one identifies all blocks before it too.
    prefix.iter().take(KEY_BLOCKS).next_back().copied()
}

/// Returns the seed of a server for [`home_weight`], so that its name is hashed only once.
pub(crate) fn home_seed(backend: &str) -> u64 {
    xxh3_64_with_seed(backend.as_bytes(), 0)
}

/// Returns the weight of a server as the home of a prefix. This is rendezvous hashing, so that most
/// prefixes keep their home when servers are added or removed.
pub(crate) fn home_weight(seed: u64, key: u64) -> u64 {
    // The finalizer of SplitMix64 (Steele, Lea and Flood 2014).
    let mut mixed = seed ^ key;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    (mixed ^ (mixed >> 31)).max(1)
}
