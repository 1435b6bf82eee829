/*!
A tree's text, split into objects of the store.

The text is cut where a table begins whose digest falls on a cut point, so that an edit changes only
the parts near it, and the other parts are found in the store again. A part's name is the digest of
its text: a part that was damaged or exchanged is seen when it is read, and writing one twice is
harmless.
*/

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use super::units::Digest;

/// The least text of a part before a cut point counts, in bytes.
const PART_MIN: usize = 32 << 10;

/// The most text of a part, in bytes.
///
/// TOML text has no control characters but line ends, so that JSON at most doubles it, which leaves
/// it under the store's megabyte.
const PART_MAX: usize = 256 << 10;

/// One table heading in so many is a cut point.
const CUT_EVERY: u8 = 64;

/// A part as the head names it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartRef {
    /// The digest of its text.
    pub digest: Digest,
    /// The bytes of its text.
    pub bytes: usize,
}

/// A part of a tree's text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part<'a> {
    /// What the head says of it.
    pub reference: PartRef,
    /// The text.
    pub text: &'a str,
}

/// The digest of a text.
pub fn text_digest(text: &str) -> Digest {
    Digest(Sha256::digest(text.as_bytes()).into())
}

/// Cuts a text into parts; put together in order they are the text.
///
/// # Examples
///
/// ```
/// use cassiareel::settings::{split_into_parts, text_digest};
///
/// let parts = split_into_parts("[platform]\nname = \"x\"\n");
/// assert_eq!(parts.len(), 1);
/// assert_eq!(parts[0].reference.digest, text_digest(parts[0].text));
/// ```
pub fn split_into_parts(text: &str) -> Vec<Part<'_>> {
    let mut parts = Vec::new();
    let mut start = 0;
    let mut at = 0;
    for line in text.split_inclusive('\n').flat_map(pieces) {
        let len = at - start;
        let too_long = len > 0 && len + line.len() > PART_MAX;
        if too_long || (len >= PART_MIN && is_cut(line)) {
            parts.push(part(&text[start..at]));
            start = at;
        }
        at += line.len();
    }
    if start < text.len() || parts.is_empty() {
        parts.push(part(&text[start..]));
    }
    parts
}

/// Cuts a line that is longer than a part.
fn pieces(line: &str) -> impl Iterator<Item = &str> {
    let mut rest = line;
    std::iter::from_fn(move || {
        let mut end = rest.len().min(PART_MAX);
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        let (piece, after) = rest.split_at(end);
        rest = after;
        (!piece.is_empty()).then_some(piece)
    })
}

/// Reports whether a new part may begin with a line.
fn is_cut(line: &str) -> bool {
    line.starts_with('[') && Sha256::digest(line.as_bytes())[0] % CUT_EVERY == 0
}

fn part(text: &str) -> Part<'_> {
    Part {
        reference: PartRef {
            digest: text_digest(text),
            bytes: text.len(),
        },
        text,
    }
}
