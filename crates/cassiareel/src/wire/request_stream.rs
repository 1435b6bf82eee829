//! A connection from which requests are read one by one.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{ready, Context, Poll},
};

use futures_lite::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

use crate::runtime::lock;

/// Bytes that are read from the socket at a time.
const READ_BYTES: usize = 4 * 1024;

/// The bytes of a connection, of which a reader never gets more than those of one request.
///
/// The HTTP library reads each request through a buffer of its own, which is dropped with the request.
/// Whatever the buffer holds beyond the request is lost then, so what has arrived is handed out only to
/// the end of a line, or of a body whose length is known. The last line of a head and of a chunked body
/// is empty, so neither reader gets beyond it.
#[derive(Clone, Debug)]
pub(super) struct RequestStream {
    stream: TcpStream,
    received: Arc<Mutex<Received>>,
}

/// Bytes that were read from the socket and not handed out.
#[derive(Debug, Default)]
struct Received {
    bytes: Vec<u8>,
    /// The number of bytes that were handed out.
    taken: usize,
    /// The rest of the body that is read; `None` while lines are read.
    body_left: Option<usize>,
}

impl RequestStream {
    pub(super) fn new(stream: TcpStream) -> RequestStream {
        RequestStream {
            stream,
            received: Arc::default(),
        }
    }

    /// Sets the length of the body that is read next, or `None` for lines.
    pub(super) fn set_body_length(&self, length: Option<usize>) {
        lock(&self.received).body_left = length;
    }
}

impl Received {
    /// Copies bytes into `buf` and returns their number.
    fn take(&mut self, buf: &mut [u8]) -> usize {
        let left = &self.bytes[self.taken..];
        let line_end = || left.iter().position(|byte| *byte == b'\n');
        let end = match self.body_left {
            Some(length) => length.min(left.len()),
            None => line_end().map_or(left.len(), |at| at + 1),
        };
        let count = end.min(buf.len());
        buf[..count].copy_from_slice(&left[..count]);
        self.taken += count;
        self.body_left = self.body_left.map(|length| length - count);
        if self.taken == self.bytes.len() {
            self.bytes = Vec::new();
            self.taken = 0;
        }
        count
    }
}

impl AsyncRead for RequestStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let RequestStream { stream, received } = self.get_mut();
        let mut received = lock(received);
        if received.body_left == Some(0) {
            return Poll::Ready(Ok(0));
        }
        if received.bytes.is_empty() {
            let mut bytes = [0; READ_BYTES];
            let read = ready!(Pin::new(stream).poll_read(cx, &mut bytes))?;
            received.bytes.extend_from_slice(&bytes[..read]);
        }
        Poll::Ready(Ok(received.take(buf)))
    }
}

impl AsyncWrite for RequestStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_close(cx)
    }
}
