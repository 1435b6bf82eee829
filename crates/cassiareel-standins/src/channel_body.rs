//! A response body that is fed by a channel.

use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use async_channel::{Receiver, Sender};
use futures_lite::{io, AsyncBufRead, AsyncRead, Stream};
use smol::Timer;

/// A part of a body.
#[derive(Clone, Debug)]
pub(crate) enum BodyPart {
    /// Bytes that are sent.
    Bytes(Vec<u8>),
    /// The connection is reset at this point.
    Reset,
}

/// A body that sends the parts from its channel until the channel closes or a deadline passes.
#[derive(Debug)]
pub(crate) struct ChannelBody {
    parts: Pin<Box<Receiver<BodyPart>>>,
    deadline: Option<Timer>,
    buf: Vec<u8>,
    offset: usize,
    ended: bool,
}

impl ChannelBody {
    /// Creates a body and the sender that feeds it. The body ends cleanly after `limit`, or never if
    /// that exceeds the range of the clock.
    pub(crate) fn new(limit: Duration) -> (Sender<BodyPart>, ChannelBody) {
        let (sender, parts) = async_channel::unbounded();
        let body = ChannelBody {
            parts: Box::pin(parts),
            deadline: Instant::now().checked_add(limit).map(Timer::at),
            buf: Vec::new(),
            offset: 0,
            ended: false,
        };
        (sender, body)
    }
}

impl AsyncBufRead for ChannelBody {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        while this.offset == this.buf.len() && !this.ended {
            match this.parts.as_mut().poll_next(cx) {
                Poll::Ready(Some(BodyPart::Bytes(bytes))) => {
                    this.buf = bytes;
                    this.offset = 0;
                }
                Poll::Ready(Some(BodyPart::Reset)) => {
                    return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
                }
                Poll::Ready(None) => this.ended = true,
                Poll::Pending if has_fired(&mut this.deadline, cx) => this.ended = true,
                Poll::Pending => return Poll::Pending,
            }
        }
        Poll::Ready(Ok(&this.buf[this.offset..]))
    }

    fn consume(self: Pin<&mut Self>, amount: usize) {
        self.get_mut().offset += amount;
    }
}

impl AsyncRead for ChannelBody {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        poll_read_buffered(self, cx, out)
    }
}

/// Reads from a reader's buffer, which is filled first if it is empty.
pub(crate) fn poll_read_buffered<R>(
    mut reader: Pin<&mut R>,
    cx: &mut Context<'_>,
    out: &mut [u8],
) -> Poll<io::Result<usize>>
where
    R: AsyncBufRead,
{
    let ready = match reader.as_mut().poll_fill_buf(cx) {
        Poll::Ready(Ok(ready)) => ready,
        Poll::Ready(Err(err)) => return Poll::Ready(Err(err)),
        Poll::Pending => return Poll::Pending,
    };
    let n = ready.len().min(out.len());
    out[..n].copy_from_slice(&ready[..n]);
    reader.consume(n);
    Poll::Ready(Ok(n))
}

/// Reports whether a timer has fired.
fn has_fired(timer: &mut Option<Timer>, cx: &mut Context<'_>) -> bool {
    timer
        .as_mut()
        .is_some_and(|timer| Pin::new(timer).poll(cx).is_ready())
}
