/*!
Tracks the activity of callers' connections, to close those whose caller takes too long.

A caller has a limited time for the head of a request, counted from the head's first byte, and may
leave a connection idle for a longer time. The HTTP library's own limit on heads also applies to
idle connections, so the socket is wrapped here: bytes that arrive while no request is open begin a
head.

The wrapped socket also shows when an answer is written. The HTTP library drops the body of an answer
that it still holds in its buffer, and flushes the socket only once the buffer is empty.
*/

use std::{
    io,
    pin::Pin,
    sync::{
        atomic::{AtomicU64, AtomicUsize, Ordering},
        Arc,
    },
    task::{Context, Poll},
    time::Duration,
};

use futures_lite::{AsyncRead, AsyncWrite};
use http_body_util::BodyExt;
use smol::{net::TcpStream, Timer};

use super::body::Reply;
use crate::{clock, model::Limits};

/// Longest interval between checks of a connection.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// The number of open requests of all connections, which shows whether a stopping node may exit.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenRequests(Arc<AtomicUsize>);

impl OpenRequests {
    /// Returns how many requests were read whose answers are not written yet.
    pub(crate) fn count(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }
}

/// The activity of one connection.
#[derive(Debug)]
pub(super) struct Activity {
    /// The open requests of all connections.
    open: OpenRequests,
    /// Number of requests that ended and whose answers may not be written yet.
    unwritten: AtomicUsize,
    /// Number of requests begun plus number of requests ended; odd while a request is open.
    transitions: AtomicUsize,
    /// When the head that is being read began, in microseconds; 0 if none is being read.
    head_began_us: AtomicU64,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CloseReason {
    /// No request arrived within the idle time.
    Idle,
    /// The head of a request did not arrive completely within its time.
    Head,
}

impl Activity {
    /// Returns the activity of a new connection, whose requests count as open in `open`.
    pub(super) fn new(open: OpenRequests) -> Activity {
        Activity {
            open,
            unwritten: AtomicUsize::new(0),
            transitions: AtomicUsize::new(0),
            head_began_us: AtomicU64::new(0),
        }
    }

    fn is_busy(&self) -> bool {
        self.transitions.load(Ordering::Relaxed) % 2 == 1
    }

    /// Records that bytes arrived.
    fn record_bytes(&self) {
        if !self.is_busy() && self.head_began_us.load(Ordering::Relaxed) == 0 {
            self.head_began_us.store(now_us(), Ordering::Relaxed);
        }
    }

    fn begin(&self) {
        self.open.0.fetch_add(1, Ordering::SeqCst);
        self.transitions.fetch_add(1, Ordering::Relaxed);
        self.head_began_us.store(0, Ordering::Relaxed);
    }

    fn end(&self) {
        self.transitions.fetch_add(1, Ordering::Relaxed);
        self.unwritten.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that all bytes of the answers to ended requests are written, or that none will be.
    fn record_written(&self) {
        let written = self.unwritten.swap(0, Ordering::Relaxed);
        self.open.0.fetch_sub(written, Ordering::Relaxed);
    }

    /// Returns the time left for the head that is being read, or `None` if none is being read.
    fn head_left(&self, limit: Duration) -> Option<Duration> {
        let began = self.head_began_us.load(Ordering::Relaxed);
        if began == 0 || self.is_busy() {
            return None;
        }
        let spent = Duration::from_micros(now_us().saturating_sub(began));
        Some(limit.saturating_sub(spent))
    }

    /// Reports whether a part of a head was received.
    pub(super) fn is_reading_head(&self) -> bool {
        self.head_left(Duration::ZERO).is_some()
    }

    /// Waits until the caller has exceeded one of the limits, of which `limits` returns those in
    /// force.
    ///
    /// A caller knows the limits that were in force at its last request. Lower ones apply from its
    /// next request on, and higher ones at once.
    pub(super) async fn wait_overdue<F>(&self, limits: F) -> CloseReason
    where
        F: Fn() -> Limits,
    {
        let mut allowed = limits();
        let mut seen = 0;
        let mut idle = Duration::ZERO;
        while idle < allowed.idle_time + CHECK_INTERVAL {
            let interval = CHECK_INTERVAL.min(allowed.header_time);
            let wait = match self.head_left(allowed.header_time) {
                Some(Duration::ZERO) => return CloseReason::Head,
                Some(left) => left.min(interval),
                None => interval,
            };
            Timer::after(wait).await;
            let now = self.transitions.load(Ordering::Relaxed);
            let had_request = self.is_busy() || now != seen;
            seen = now;
            let new = limits();
            allowed = if had_request {
                new
            } else {
                allowed.longest(&new)
            };
            idle = if had_request || self.is_reading_head() {
                Duration::ZERO
            } else {
                idle + wait
            };
        }
        CloseReason::Idle
    }
}

impl Drop for Activity {
    fn drop(&mut self) {
        self.record_written();
    }
}

/// Returns the monotonic clock in microseconds, never 0.
fn now_us() -> u64 {
    (clock::now().as_micros() as u64).max(1)
}

/// Counts a request as open until its response is complete or dropped, and from then on until it is
/// written.
pub(super) struct OpenRequestGuard {
    activity: Arc<Activity>,
}

impl OpenRequestGuard {
    /// Counts a request that was just read.
    pub(super) fn new(activity: &Arc<Activity>) -> OpenRequestGuard {
        activity.begin();
        OpenRequestGuard {
            activity: activity.clone(),
        }
    }

    /// Keeps the request open until the body of its response is dropped.
    pub(super) fn attach(self, reply: Reply) -> Reply {
        reply.map(|body| {
            body.map_frame(move |frame| {
                let _guard = &self;
                frame
            })
            .boxed_unsync()
        })
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.activity.end();
    }
}

/// A caller's socket that records when bytes arrive and when all bytes are written.
#[derive(Debug)]
pub(super) struct MonitoredStream {
    stream: TcpStream,
    activity: Arc<Activity>,
}

impl MonitoredStream {
    /// Wraps a socket.
    pub(super) fn new(stream: TcpStream, activity: Arc<Activity>) -> MonitoredStream {
        MonitoredStream { stream, activity }
    }
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if matches!(read, Poll::Ready(Ok(1..))) {
            self.activity.record_bytes();
        }
        read
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.activity.record_written();
        }
        flushed
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
