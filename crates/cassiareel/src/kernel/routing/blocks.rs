//! The hashes by which engines name the blocks of a prompt.

use xxhash_rust::xxh3::Xxh3;

/// Tokens of a block.
pub const BLOCK_TOKENS: u32 = 16;
/// Bytes of text that count as a block.
const BLOCK_BYTES: usize = 64;
/// Blocks of a prompt that are looked at; a longer prefix in common is rare, and hashing it costs.
const MOST_BLOCKS: usize = 512;

/// Chained hashes of a prompt's whole blocks, as docs/design/engine-interface.md defines them.
///
/// # Examples
///
/// ```
/// use cassiareel::kernel::routing::block_hashes;
///
/// let long = "a".repeat(200);
/// assert_eq!(block_hashes(&long).len(), 3);
/// assert_eq!(block_hashes(&long)[..2], block_hashes(&long[..128])[..]);
/// ```
pub fn block_hashes(text: &str) -> Vec<u64> {
    text.as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .take(MOST_BLOCKS)
        .scan(0u64, |previous, block| {
            let mut hash = Xxh3::new();
            hash.update(&previous.to_le_bytes());
            hash.update(block);
            *previous = hash.digest();
            Some(*previous)
        })
        .collect()
}
