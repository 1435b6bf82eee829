/*!
Splits an event stream into complete events.

A backend server may stop in the middle of an event, and a read may end anywhere. Only complete
events are passed on, byte for byte, so that another backend server can continue after the last one.
*/

use bytes::{Bytes, BytesMut};
use snafu::Snafu;

/// The largest accepted event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One complete event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// The bytes, including the blank line that ends the event.
    pub bytes: Bytes,
    /// The event's number, if it has one.
    pub id: Option<u64>,
}

/// An event exceeds the size limit.
#[derive(Debug, Snafu)]
#[snafu(display("event is larger than {MAX_EVENT_BYTES} bytes"))]
pub struct EventTooLarge;

/// Buffers the bytes of a stream until an event is complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    scanned: usize,
}

impl EventSplitter {
    /// Appends bytes of the stream.
    ///
    /// # Errors
    ///
    /// Fails when more than 1 MiB is buffered.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLarge> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        Ok(())
    }

    /// Removes and returns the next complete event.
    pub fn pop(&mut self) -> Option<Event> {
        let Some(end) = self.find_end() else {
            // The end of the scanned bytes may be the start of a blank line.
            self.scanned = self.buffer.len().saturating_sub(3);
            return None;
        };
        self.scanned = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = read_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Returns the number of buffered bytes, those of an incomplete event.
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the position after the first blank line, that is, after two consecutive line ends.
    fn find_end(&self) -> Option<usize> {
        let bytes = &self.buffer[..];
        let mut at = self.scanned;
        while at < bytes.len() {
            if bytes[at] == b'\n' {
                match &bytes[at + 1..] {
                    [b'\n', ..] => return Some(at + 2),
                    [b'\r', b'\n', ..] => return Some(at + 3),
                    _ => {}
                }
            }
            at += 1;
        }
        None
    }
}

/// Parses the number in the event's `id` field.
fn read_id(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| *byte == b'\n')
        .filter_map(|line| line.strip_prefix(b"id:"))
        .find_map(|value| std::str::from_utf8(value).ok()?.trim().parse().ok())
}
