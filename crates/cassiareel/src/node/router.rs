//! Routes each request to the part of the node that answers it.

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

/// The number of open requests, and whether the node is leaving.
#[derive(Debug, Default)]
pub(super) struct OpenRequests {
    leaving: AtomicBool,
    requests: AtomicUsize,
}

impl OpenRequests {
    /// Marks the node as leaving, which makes it not ready.
    pub(super) fn begin_leaving(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Reports whether the node is leaving.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Returns the number of callers' requests that are not answered completely.
    pub(super) fn count(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

/// Routes requests to handlers by the prefix of their path.
pub struct Router {
    open_requests: Arc<OpenRequests>,
    settings: Arc<ArcSwap<Snapshot>>,
    handlers: Vec<(&'static str, Arc<dyn Handler>)>,
    callers: Option<Arc<dyn Handler>>,
}

impl Router {
    /// Creates a router that answers only health and readiness checks.
    pub(super) fn new(
        open_requests: Arc<OpenRequests>,
        settings: Arc<ArcSwap<Snapshot>>,
    ) -> Router {
        Router {
            open_requests,
            settings,
            handlers: Vec::new(),
            callers: None,
        }
    }

    /// Adds a handler for the paths with a prefix.
    pub fn with(mut self, prefix: &'static str, handler: Arc<dyn Handler>) -> Router {
        self.handlers.push((prefix, handler));
        self
    }

    /// Adds the handler for requests of callers, which receives all other paths.
    pub fn with_callers(mut self, handler: Arc<dyn Handler>) -> Router {
        self.callers = Some(handler);
        self
    }

    /// Answers a readiness check: the node is ready from the first settings in force until it leaves.
    fn readiness(&self) -> Response {
        if self.open_requests.leaving.load(Ordering::SeqCst) {
            return text_response(StatusCode::ServiceUnavailable, "leaving\n");
        }
        match self.settings.load().revision {
            0 => text_response(StatusCode::ServiceUnavailable, "no settings in force yet\n"),
            _ => text_response(StatusCode::Ok, "ready\n"),
        }
    }

    async fn answer(&self, req: Request, from: SocketAddr) -> Response {
        match req.url().path() {
            "/healthz" => return text_response(StatusCode::Ok, "ok\n"),
            "/readyz" => return self.readiness(),
            _ => {}
        }
        let path = req.url().path();
        let handler = self
            .handlers
            .iter()
            .find(|(prefix, _)| path.starts_with(prefix));
        if let Some((_, handler)) = handler {
            return handler.handle(req, from).await;
        }
        let Some(callers) = &self.callers else {
            return text_response(StatusCode::NotFound, "there is nothing here\n");
        };
        let guard = OpenRequestGuard::new(&self.open_requests);
        let mut res = callers.handle(req, from).await;
        // The request is open until its answer is written completely, which is when its body is dropped.
        let body = res.take_body();
        let len = body.len();
        if self.open_requests.leaving.load(Ordering::SeqCst) {
            res.insert_header(headers::CONNECTION, "close");
        }
        res.set_body(http_types::Body::from_reader(
            CountedBody {
                body,
                _guard: guard,
            },
            len,
        ));
        res
    }
}

impl Handler for Router {
    fn handle(&self, req: Request, from: SocketAddr) -> BoxFuture<'_, Response> {
        Box::pin(self.answer(req, from))
    }
}

/// Returns an answer with a short text.
fn text_response(status: StatusCode, text: &str) -> Response {
    let mut res = Response::new(status);
    res.set_body(text);
    res
}

/// Counts a request as open until dropped.
struct OpenRequestGuard(Arc<OpenRequests>);

impl OpenRequestGuard {
    fn new(open_requests: &Arc<OpenRequests>) -> OpenRequestGuard {
        open_requests.requests.fetch_add(1, Ordering::SeqCst);
        OpenRequestGuard(open_requests.clone())
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::SeqCst);
    }
}

/// The body of an answer, which keeps its request open.
struct CountedBody {
    body: http_types::Body,
    _guard: OpenRequestGuard,
}

impl futures_lite::AsyncRead for CountedBody {
    fn poll_read(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
        buf: &mut [u8],
    ) -> std::task::Poll<std::io::Result<usize>> {
        std::pin::Pin::new(&mut self.body).poll_read(cx, buf)
    }
}

impl futures_lite::AsyncBufRead for CountedBody {
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
