//! A deterministic model whose answers can be computed in advance.

use cassiareel::kernel::TokenId;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The number of tokens in a phrase.
const PHRASE_TOKENS: usize = 4;

/// The vocabulary: token `4 * p + s` is part `s` of phrase `p`. Multi-byte characters are split
/// across tokens, as real tokenizers do.
const PHRASES: [[&[u8]; PHRASE_TOKENS]; 16] = [
    [b"Dear ", b"Ana", b", ", b"with "],
    [b"love ", b"and ", b"thanks ", b"for "],
    [b"\xc5", b"\xa0", b"tefica ", b"i "],
    [b"\xc5\xbd", b"eljko", b" \xe2\x99", b"\xa5 "],
    [b"\xe0", b"\xb8", b"\x81", b"\xe0\xb8\xb0 "],
    [
        b"\xe0\xb9\x80\xe0",
        b"\xb8\xa7\xe0\xb8",
        b"\xa5\xe0\xb8",
        b"\xb2 ",
    ],
    [b"\xf0", b"\x9f", b"\x94", b"\x94"],
    [b"shift ", b"closed ", b"at ", b"06:00. "],
    [b"The ", b"record ", b"shows ", b"overtime. "],
    [b"flask", b" No. ", b"7", b"; "],
    [b"Samobor", b", ", b"2026", b".\n"],
    [b"rest ", b"period", b"s ", b"kept. "],
    [b"vje\xc4", b"\x8d", b"no ", b"tvoj "],
    [b"gold ", b"letters ", b"on ", b"steel. "],
    [b"line ", b"two", b":\n", b"- "],
    [b"\"", b"quoted", b"\"", b" \\ "],
];

/// The length, in tokens, of the shortest answer that the model ends itself.
const MIN_NATURAL_TOKENS: u32 = 32;
/// The number of different lengths of answers that the model ends itself.
const NATURAL_LENGTHS: u64 = 224;

/// The model of a version, conditioned on a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Model {
    seed: u64,
}

impl Model {
    /// Returns the model of `version` for `prompt`. Different versions give different answers.
    pub fn new(version: &str, prompt: &str) -> Model {
        let seed = xxh3_64_with_seed(prompt.as_bytes(), xxh3_64(version.as_bytes()));
        Model { seed }
    }

    /// Returns the token at a position.
    pub fn token(&self, position: u32) -> TokenId {
        let phrase = u64::from(position) / PHRASE_TOKENS as u64;
        let part = position % PHRASE_TOKENS as u32;
        let chosen = xxh3_64_with_seed(&self.seed.to_le_bytes(), phrase) % PHRASES.len() as u64;
        chosen as u32 * PHRASE_TOKENS as u32 + part
    }

    /// Returns the number of tokens after which the model ends the answer.
    pub fn natural_end(&self) -> u32 {
        MIN_NATURAL_TOKENS + (self.seed % NATURAL_LENGTHS) as u32
    }
}

/// Returns the bytes of a token, or `None` for an id outside the vocabulary.
pub fn token_bytes(id: TokenId) -> Option<&'static [u8]> {
    let id = id as usize;
    let phrase = PHRASES.get(id / PHRASE_TOKENS)?;
    Some(phrase[id % PHRASE_TOKENS])
}

/// Returns the tokens and the text of the answer of `version` to `prompt`, if neither a stop
/// sequence nor the model ends it before `max_tokens`.
///
/// A last character whose bytes are not complete is omitted from the text.
///
/// # Examples
///
/// ```
/// use cassiareel_standins::engine::expected_answer;
///
/// let (ids, text) = expected_answer("draft@v1", "Write a dedication.", 12);
/// assert_eq!(ids.len(), 12);
/// assert!(expected_answer("draft@v1", "Write a dedication.", 20).1.starts_with(&text));
/// ```
pub fn expected_answer(version: &str, prompt: &str, max_tokens: u32) -> (Vec<TokenId>, String) {
    let model = Model::new(version, prompt);
    let ids: Vec<_> = (0..max_tokens).map(|i| model.token(i)).collect();
    let bytes: Vec<u8> = ids
        .iter()
        .flat_map(|&id| token_bytes(id).unwrap_or_default())
        .copied()
        .collect();
    let whole = whole_chars_len(&bytes);
    let text = String::from_utf8_lossy(&bytes[..whole]).into_owned();
    (ids, text)
}

/// Returns the length in bytes of the longest prefix of complete UTF-8 characters.
pub(super) fn whole_chars_len(bytes: &[u8]) -> usize {
    match std::str::from_utf8(bytes) {
        Ok(text) => text.len(),
        Err(err) => err.valid_up_to(),
    }
}
