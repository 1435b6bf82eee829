//! Decodes tokens to text with complete characters and stop sequences.

use super::model::whole_chars_len;

/// Decodes the bytes of tokens to text that may be sent.
///
/// Incomplete characters are held back, and so is text that may be the start of a stop sequence.
#[derive(Clone, Debug)]
pub(super) struct TextDecoder {
    bytes: Vec<u8>,
    // INVARIANT: `bytes[..ready_len]` is UTF-8 and contains no stop sequence.
    ready_len: usize,
    stops: Vec<String>,
}

impl TextDecoder {
    /// Creates a decoder for an answer of which `sent` bytes of text were already sent. The tokens
    /// of the earlier attempt must be pushed again.
    pub(super) fn new(stops: Vec<String>, sent: usize) -> TextDecoder {
        TextDecoder {
            bytes: Vec::new(),
            ready_len: sent,
            stops,
        }
    }

    /// Appends a token's bytes; returns true when a stop sequence ends the text.
    pub(super) fn push(&mut self, token: &[u8]) -> bool {
        self.bytes.extend_from_slice(token);
        if self.bytes.len() <= self.ready_len {
            return false;
        }
        if let Some(stop) = self.find_stop() {
            self.ready_len = stop;
            self.bytes.truncate(stop);
            return true;
        }
        let whole = self.ready_len + whole_chars_len(&self.bytes[self.ready_len..]);
        self.ready_len = whole - self.partial_stop_len(whole);
        false
    }

    /// Releases the complete characters that were held back, because the answer has ended.
    pub(super) fn finish(&mut self) {
        if self.bytes.len() > self.ready_len {
            self.ready_len += whole_chars_len(&self.bytes[self.ready_len..]);
        }
    }

    /// Returns the number of bytes of text that may be sent.
    pub(super) fn ready_len(&self) -> usize {
        self.ready_len
    }

    /// Returns the text between two byte offsets, as far as it may be sent.
    pub(super) fn slice(&self, from: usize, to: usize) -> &str {
        let to = to.min(self.ready_len).min(self.bytes.len());
        let slice = self.bytes.get(from..to).unwrap_or_default();
        std::str::from_utf8(slice).unwrap_or_default()
    }

    fn find_stop(&self) -> Option<usize> {
        self.stops
            .iter()
            .filter_map(|stop| find(&self.bytes[self.ready_len..], stop.as_bytes()))
            .min()
            .map(|at| at + self.ready_len)
    }

    /// Returns the number of bytes before `end` that are the start of a stop sequence.
    fn partial_stop_len(&self, end: usize) -> usize {
        let tail = &self.bytes[self.ready_len..end];
        self.stops
            .iter()
            .filter_map(|stop| {
                (1..stop.len().min(tail.len() + 1))
                    .rev()
                    .find(|&n| tail.ends_with(&stop.as_bytes()[..n]))
            })
            .max()
            .unwrap_or(0)
    }
}

/// Returns the offset of the first occurrence of `needle`.
fn find(hay: &[u8], needle: &[u8]) -> Option<usize> {
    hay.windows(needle.len().max(1)).position(|w| w == needle)
}
