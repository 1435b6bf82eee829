/*!
Content-defined splitting of a tree's text into parts, which are objects of the store.

The text is split at table headings that the digest of the heading selects. An edit therefore
changes only the parts near it, and the other parts are already in the store. A part's name is the
digest of its text, so a damaged or replaced part is detected when it is read, and writing a part
twice is harmless.
*/

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use super::units::Digest;

/// The least bytes of text in a part before a cut point ends it.
const MIN_PART_BYTES: usize = 32 << 10;

/// The most bytes of text in a part.
///
/// TOML text has no control characters except line breaks, so JSON at most doubles
/// its size, which keeps the object below the store's limit of one megabyte.
const MAX_PART_BYTES: usize = 256 << 10;

/// On average, one in this many table headings is a cut point.
const CUT_POINT_MODULUS: u8 = 64;

/// A head's reference to a part.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartRef {
    /// The digest of the part's text, which is also the name of its object.
    pub digest: Digest,
    /// The length of the part's text in bytes.
    pub bytes: usize,
}

/// A part of a tree's text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part<'a> {
    /// The reference that the head stores.
    pub reference: PartRef,
    /// The text.
    pub text: &'a str,
}

/// Returns the SHA-256 digest of a text.
pub fn text_digest(text: &str) -> Digest {
    Digest(Sha256::digest(text.as_bytes()).into())
}

/// Splits a text into parts. Concatenated in order, they are the text again.
///
/// An empty text is one empty part.
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
    let mut end_of_part = 0;
    for line in text.split_inclusive('\n').flat_map(split_long_line) {
        let len = end_of_part - start;
        let too_long = len > 0 && len + line.len() > MAX_PART_BYTES;
        if too_long || (len >= MIN_PART_BYTES && is_cut_point(line)) {
            parts.push(new_part(&text[start..end_of_part]));
            start = end_of_part;
        }
        end_of_part += line.len();
    }
    if start < text.len() || parts.is_empty() {
        parts.push(new_part(&text[start..]));
    }
    parts
}

/// Splits a line into pieces that each fit into a part.
fn split_long_line(line: &str) -> impl Iterator<Item = &str> {
    let mut rest = line;
    std::iter::from_fn(move || {
        let mut end = rest.len().min(MAX_PART_BYTES);
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        let (piece, after) = rest.split_at(end);
        rest = after;
        (!piece.is_empty()).then_some(piece)
    })
}

/// Reports whether a new part may begin with a line.
fn is_cut_point(line: &str) -> bool {
    line.starts_with('[') && Sha256::digest(line.as_bytes())[0] % CUT_POINT_MODULUS == 0
}

fn new_part(text: &str) -> Part<'_> {
    Part {
        reference: PartRef {
            digest: text_digest(text),
            bytes: text.len(),
        },
        text,
    }
}
