//! Requests by the part of the node that answers them.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc,
    },
};

use arc_swap::ArcSwap;
use http_types::{headers, Request, Response, StatusCode};

use crate::{
    settings::Snapshot,
    wire::{BoxFuture, Handler},
};

/// Whether a node takes new work, and how much it has.
#[derive(Debug, Default)]
pub(super) struct Open {
    leaving: AtomicBool,
    requests: AtomicUsize,
}

impl Open {
    /// Turns readiness off.
    pub(super) fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Reports whether readiness is off.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Requests of callers that are not answered whole.
    pub(super) fn count(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

/// The parts of a node by the prefix of their paths.
pub struct Mounts {
    open: Arc<Open>,
    settings: Arc<ArcSwap<Snapshot>>,
    parts: Vec<(&'static str, Arc<dyn Handler>)>,
    callers: Option<Arc<dyn Handler>>,
}

impl Mounts {
    /// Health and readiness alone.
    pub(super) fn new(open: Arc<Open>, settings: Arc<ArcSwap<Snapshot>>) -> Mounts {
        Mounts {
            open,
            settings,
            parts: Vec::new(),
            callers: None,
        }
    }

    /// Adds a part for the paths under a prefix.
    pub fn with(mut self, prefix: &'static str, part: Arc<dyn Handler>) -> Mounts {
        self.parts.push((prefix, part));
        self
    }

    /// Adds the callers' part, for every other path.
    pub fn with_callers(mut self, part: Arc<dyn Handler>) -> Mounts {
        self.callers = Some(part);
        self
    }

    /// Ready once settings are in force, until the node leaves.
    fn ready(&self) -> Response {
        if self.open.leaving.load(Ordering::SeqCst) {
            return text(StatusCode::ServiceUnavailable, "leaving\n");
        }
        match self.settings.load().revision {
            0 => text(StatusCode::ServiceUnavailable, "no settings in force yet\n"),
            _ => text(StatusCode::Ok, "ready\n"),
        }
    }

    async fn answer(&self, req: Request, from: SocketAddr) -> Response {
        match req.url().path() {
            "/healthz" => return text(StatusCode::Ok, "ok\n"),
            "/readyz" => return self.ready(),
            _ => {}
        }
        let path = req.url().path();
        let part = self
            .parts
            .iter()
            .find(|(prefix, _)| path.starts_with(prefix));
        if let Some((_, part)) = part {
            return part.handle(req, from).await;
        }
        let Some(callers) = &self.callers else {
            return text(StatusCode::NotFound, "there is nothing here\n");
        };
        let hold = Hold::new(&self.open);
        let mut res = callers.handle(req, from).await;
        // The request is open until its answer is written whole, which is when its body is dropped.
        let body = res.take_body();
        let len = body.len();
        if self.open.leaving.load(Ordering::SeqCst) {
            res.insert_header(headers::CONNECTION, "close");
        }
        res.set_body(http_types::Body::from_reader(
            Held { body, _hold: hold },
            len,
        ));
        res
    }
}

impl Handler for Mounts {
    fn handle(&self, req: Request, from: SocketAddr) -> BoxFuture<'_, Response> {
        Box::pin(self.answer(req, from))
    }
}

/// A short answer.
fn text(status: StatusCode, words: &str) -> Response {
    let mut res = Response::new(status);
    res.set_body(words);
    res
}

/// An open request, counted until dropped.
struct Hold(Arc<Open>);

impl Hold {
    fn new(open: &Arc<Open>) -> Hold {
        open.requests.fetch_add(1, Ordering::SeqCst);
        Hold(open.clone())
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A body that keeps its request open.
struct Held {
    body: http_types::Body,
    _hold: Hold,
}

impl futures_lite::AsyncRead for Held {
    fn poll_read(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
        buf: &mut [u8],
    ) -> std::task::Poll<std::io::Result<usize>> {
        std::pin::Pin::new(&mut self.body).poll_read(cx, buf)
    }
}

impl futures_lite::AsyncBufRead for Held {
    fn poll_fill_buf(
        self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<std::io::Result<&[u8]>> {
        std::pin::Pin::new(&mut self.get_mut().body).poll_fill_buf(cx)
    }

    fn consume(mut self: std::pin::Pin<&mut Self>, amt: usize) {
        std::pin::Pin::new(&mut self.body).consume(amt);
    }
}
