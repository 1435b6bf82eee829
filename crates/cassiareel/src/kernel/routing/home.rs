//! Homes of prefixes, which all nodes agree on without a message.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Blocks from a prompt's start that name its prefix. Fewer would give requests of different
/// prefixes that begin alike the same home; more would tell apart those that part late.
const KEY_BLOCKS: usize = 8;

/// The key of a prompt's prefix; none for a prompt without a whole block.
pub(crate) fn prefix_key(prefix: &[u64]) -> Option<u64> {
    // Hashes are chained, so that the last one names all before it.
    prefix.iter().take(KEY_BLOCKS).next_back().copied()
}

/// A server's part of [`home_weight`], worked out once.
pub(crate) fn home_seed(backend: &str) -> u64 {
    xxh3_64_with_seed(backend.as_bytes(), 0)
}

/// The weight of a server as the home of a prefix: rendezvous hashing, so that most prefixes keep
/// their home when servers come and go.
pub(crate) fn home_weight(seed: u64, key: u64) -> u64 {
    // The finalizer of SplitMix64 (Steele, Lea and Flood 2014).
    let mut mixed = seed ^ key;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    (mixed ^ (mixed >> 31)).max(1)
}
