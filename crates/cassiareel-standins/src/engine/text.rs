//! Text from tokens, with whole characters and stop sequences.

use super::model::whole_chars;

/// Turns the bytes of tokens into text that may be sent.
///
/// Text that may still become a stop sequence, and characters that are not whole, are held back.
#[derive(Clone, Debug)]
pub(super) struct Text {
    bytes: Vec<u8>,
    // INVARIANT: `bytes[..ready]` is UTF-8 and contains no stop sequence.
    ready: usize,
    stops: Vec<String>,
}

impl Text {
    /// Starts after the bytes of tokens that are known already, `sent` bytes of whose text were
    /// sent.
    pub(super) fn new(stops: Vec<String>, sent: usize) -> Text {
        Text {
            bytes: Vec::new(),
            ready: sent,
            stops,
        }
    }

    /// Takes a token's bytes; true when a stop sequence ends the text.
    pub(super) fn push(&mut self, token: &[u8]) -> bool {
        self.bytes.extend_from_slice(token);
        if self.bytes.len() <= self.ready {
            return false;
        }
        if let Some(stop) = self.find_stop() {
            self.ready = stop;
            self.bytes.truncate(stop);
            return true;
        }
        let whole = self.ready + whole_chars(&self.bytes[self.ready..]);
        self.ready = whole - self.held(whole);
        false
    }

    /// Lets go what was held back, as the answer has ended.
    pub(super) fn finish(&mut self) {
        if self.bytes.len() > self.ready {
            self.ready += whole_chars(&self.bytes[self.ready..]);
        }
    }

    /// Bytes of text that may be sent.
    pub(super) fn ready(&self) -> usize {
        self.ready
    }

    /// The text between two bytes, as far as it may be sent.
    pub(super) fn part(&self, from: usize, to: usize) -> &str {
        let to = to.min(self.ready).min(self.bytes.len());
        let part = self.bytes.get(from..to).unwrap_or_default();
        std::str::from_utf8(part).unwrap_or_default()
    }

    fn find_stop(&self) -> Option<usize> {
        self.stops
            .iter()
            .filter_map(|stop| find(&self.bytes[self.ready..], stop.as_bytes()))
            .min()
            .map(|at| at + self.ready)
    }

    /// Bytes before `end` that are the start of a stop sequence.
    fn held(&self, end: usize) -> usize {
        let tail = &self.bytes[self.ready..end];
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

/// The place of the first occurrence of `needle`.
fn find(hay: &[u8], needle: &[u8]) -> Option<usize> {
    hay.windows(needle.len().max(1)).position(|w| w == needle)
}
