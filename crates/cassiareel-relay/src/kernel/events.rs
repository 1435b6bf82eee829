/*!
Cuts an event stream into whole events.

A backend server may stop in the middle of an event, and a read may end anywhere. Only whole events
are passed on, as the bytes that came, so that another backend server can go on after the last one.
*/

use bytes::{Bytes, BytesMut};
use snafu::Snafu;

/// The largest event that is taken, in bytes.
const EVENT_BYTES: usize = 1 << 20;

/// One whole event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// The bytes, with the blank line that ends the event.
    pub bytes: Bytes,
    /// The event's number, where it has one.
    pub id: Option<u64>,
}

/// An event that is larger than the bound.
#[derive(Debug, Snafu)]
#[snafu(display("an event is larger than {EVENT_BYTES} bytes"))]
pub struct EventTooLarge;

/// Collects bytes until an event is whole.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    scanned: usize,
}

impl EventSplitter {
    /// Takes in bytes.
    ///
    /// # Errors
    ///
    /// Fails when an event grows over 1 MiB.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLarge> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > EVENT_BYTES {
            return Err(EventTooLarge);
        }
        Ok(())
    }

    /// Takes out the next whole event.
    pub fn pop(&mut self) -> Option<Event> {
        let Some(end) = self.find_end() else {
            // The end of what was looked at may be the start of a blank line.
            self.scanned = self.buffer.len().saturating_sub(3);
            return None;
        };
        self.scanned = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = read_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Bytes of an event that is not whole.
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// The position after the first blank line: two line ends that follow one another.
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

/// Reads the number in the event's `id` field.
fn read_id(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| *byte == b'\n')
        .filter_map(|line| line.strip_prefix(b"id:"))
        .find_map(|value| std::str::from_utf8(value).ok()?.trim().parse().ok())
}
