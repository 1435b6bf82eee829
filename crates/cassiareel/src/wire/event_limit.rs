//! A limit on the size of the events of an event stream.

use std::{
    io,
    pin::Pin,
    task::{ready, Context, Poll},
};

use futures_lite::{AsyncBufRead, AsyncRead};

use super::body::BODIES;
use crate::body_budget::BodyCharge;

/// The largest event, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Passes an event stream on, and ends it in an event that is larger than [`MAX_EVENT_BYTES`].
///
/// A decoder of event streams keeps an event until its blank line. Without a limit, a line or an event
/// without an end takes any amount of memory. The bytes of an event count as those of a body until
/// it is complete; where they find no memory, the stream ends as well. The decoder drops the event in which the stream ends.
/// An error in its place is no choice: the decoder panics where one comes in the middle of a line.
#[derive(Debug)]
pub struct EventLimit<R> {
    reader: R,
    /// The number of bytes of the reader's buffer that were examined.
    examined: usize,
    /// The number of bytes since the last blank line.
    event_bytes: usize,
    /// Whether the current line has no contents yet.
    is_blank: bool,
    /// Whether an event was too large, or found no memory.
    is_over: bool,
    /// The memory of the event.
    charge: BodyCharge,
}

impl<R> EventLimit<R> {
    /// Limits the events of a stream.
    pub fn new(reader: R) -> EventLimit<R> {
        EventLimit {
            reader,
            examined: 0,
            event_bytes: 0,
            is_blank: true,
            is_over: false,
            charge: BODIES.charge(),
        }
    }
}

impl<R> AsyncBufRead for EventLimit<R>
where
    R: AsyncBufRead + Unpin,
{
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        let buffer = ready!(Pin::new(&mut this.reader).poll_fill_buf(cx))?;
        for byte in buffer.iter().skip(this.examined) {
            this.event_bytes += 1;
            this.is_over |= this.event_bytes > MAX_EVENT_BYTES;
            match byte {
                b'\n' if this.is_blank => this.event_bytes = 0,
                b'\n' => this.is_blank = true,
                b'\r' => {}
                _ => this.is_blank = false,
            }
        }
        this.examined = buffer.len();
        this.is_over |= !this.charge.resize(this.event_bytes as u64);
        Poll::Ready(Ok(if this.is_over { &[] } else { buffer }))
    }

    fn consume(self: Pin<&mut Self>, amount: usize) {
        let this = self.get_mut();
        this.examined = this.examined.saturating_sub(amount);
        Pin::new(&mut this.reader).consume(amount);
    }
}

impl<R> AsyncRead for EventLimit<R>
where
    R: AsyncBufRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = ready!(self.as_mut().poll_fill_buf(cx))?;
        let length = read.len().min(buf.len());
        buf[..length].copy_from_slice(&read[..length]);
        self.consume(length);
        Poll::Ready(Ok(length))
    }
}
