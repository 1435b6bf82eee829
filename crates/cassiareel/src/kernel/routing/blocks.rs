//! The hashes that identify the blocks of a prompt in engines.

use xxhash_rust::xxh3::Xxh3;

/// Tokens per block.
pub const BLOCK_TOKENS: u32 = 16;
/// Bytes of text that count as one block.
const BLOCK_BYTES: usize = 64;
/// The number of blocks of a prompt that are hashed. Hashing costs time, and longer common prefixes
/// are rare.
const MAX_BLOCKS: usize = 512;

/// Returns the chained hashes of the complete blocks of a prompt, as
/// docs/design/engine-interface.md defines them.
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
        .take(MAX_BLOCKS)
        .scan(0u64, |previous, block| {
            let mut hash = Xxh3::new();
            hash.update(&previous.to_le_bytes());
            hash.update(block);
            *previous = hash.digest();
            Some(*previous)
        })
        .collect()
}
