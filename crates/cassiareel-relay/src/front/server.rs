//! Listening sockets: callers, the balancer's question, and the metrics.

use std::{
    convert::Infallible,
    future::Future,
    io,
    net::SocketAddr,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    time::Duration,
};

use bytes::Bytes;
use futures_lite::FutureExt;
use http::{Response, StatusCode};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use slog::{debug, warn};
use smol::{net::TcpListener, net::TcpStream, Timer};
use smol_hyper::rt::FuturesIo;

use super::{
    body::{empty, whole, Reply},
    handler::handle,
};
use crate::state::State;

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Bytes beyond the largest head that a connection may buffer.
const SPARE_BYTES: usize = 1 << 10;

/// The smallest buffer that the HTTP library takes.
const LEAST_BUFFER: usize = 8 << 10;

/// Descriptors that are kept for other things than connections of callers.
const SPARE_FDS: u64 = 300;

/// The time between looks at idle connections.
const IDLE_LOOK: Duration = Duration::from_secs(2);

/// Requests that callers wait for, to know when a node may end.
#[derive(Clone, Debug, Default)]
pub(crate) struct Open(Arc<AtomicUsize>);

impl Open {
    /// How many requests were read and are not answered.
    pub(crate) fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Serves callers until the listener fails for good.
pub(crate) async fn serve_callers(state: Arc<State>, listener: TcpListener, open: Open) {
    let connections = Arc::new(());
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                warn!(state.log, "connection not accepted"; "cause" => %err);
                Timer::after(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let most = state
            .settings
            .load()
            .limits
            .max_fds
            .saturating_sub(SPARE_FDS)
            / 2;
        let held = Arc::strong_count(&connections) as u64;
        if held > most {
            warn!(state.log, "connection refused"; "held" => held, "most" => most);
            continue;
        }
        let held = connections.clone();
        let task = serve_caller(state.clone(), stream, open.clone());
        state
            .spawner
            .spawn(async move {
                task.await;
                drop(held);
            })
            .detach();
    }
}

/// Serves one connection of a caller.
async fn serve_caller(state: Arc<State>, stream: TcpStream, open: Open) {
    if let Err(err) = stream.set_nodelay(true) {
        debug!(state.log, "connection lost"; "cause" => %err);
        return;
    }
    let limits = state
        .catalog()
        .map_or_else(Default::default, |catalog| catalog.limits());
    let activity = Arc::new(AtomicUsize::new(0));
    let service = {
        let state = state.clone();
        let activity = activity.clone();
        service_fn(move |request| {
            activity.fetch_add(1, Ordering::Relaxed);
            let busy = Busy::new(&open, &activity);
            let state = state.clone();
            async move {
                let reply = handle(state, request).await;
                Ok::<Reply, Infallible>(keep_busy(reply?, busy))
            }
        })
    };
    let mut connection = Box::pin(
        http1::Builder::new()
            .max_buf_size((limits.header_bytes + SPARE_BYTES).max(LEAST_BUFFER))
            .serve_connection(FuturesIo::new(stream), service),
    );
    let idle = idle_for(activity, limits.idle_time + IDLE_LOOK);
    let ended = {
        let whole = async { Some(connection.as_mut().await) };
        let idle = async {
            idle.await;
            None
        };
        whole.or(idle).await
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(err) = ended {
        debug!(state.log, "connection lost"; "cause" => %err);
    }
}

/// Returns when no request came for `limit`.
async fn idle_for(activity: Arc<AtomicUsize>, limit: Duration) {
    let mut seen = 0;
    let mut idle = Duration::ZERO;
    while idle < limit {
        Timer::after(IDLE_LOOK).await;
        let now = activity.load(Ordering::Relaxed);
        // An odd count stands for an open request.
        let busy = now % 2 == 1 || now != seen;
        idle = if busy {
            Duration::ZERO
        } else {
            idle + IDLE_LOOK
        };
        seen = now;
    }
}

/// Counts a request as open until its answer was written or dropped.
struct Busy {
    open: Open,
    activity: Arc<AtomicUsize>,
}

impl Busy {
    fn new(open: &Open, activity: &Arc<AtomicUsize>) -> Busy {
        open.0.fetch_add(1, Ordering::Relaxed);
        Busy {
            open: open.clone(),
            activity: activity.clone(),
        }
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.open.0.fetch_sub(1, Ordering::Relaxed);
        self.activity.fetch_add(1, Ordering::Relaxed);
    }
}

/// Holds a request open until its body is gone.
fn keep_busy(reply: Reply, busy: Busy) -> Reply {
    use http_body_util::BodyExt;
    reply.map(|body| {
        body.map_frame(move |frame| {
            let _held = &busy;
            frame
        })
        .boxed_unsync()
    })
}

/// Answers the balancer's question whether the node is ready.
pub(crate) async fn serve_ready(state: Arc<State>, listener: TcpListener) {
    serve_simple(state, listener, |state, _| async move {
        let mut reply = Response::new(empty());
        if !state.is_ready() {
            *reply.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        reply
    })
    .await;
}

/// Answers with the metrics.
pub(crate) async fn serve_metrics(state: Arc<State>, listener: TcpListener) {
    serve_simple(state, listener, |state, _| async move {
        Response::new(whole(Bytes::from(state.metrics.text())))
    })
    .await;
}

/// Answers each request by one function.
pub(crate) async fn serve_simple<F, T>(state: Arc<State>, listener: TcpListener, answer: F)
where
    F: Fn(Arc<State>, http::Request<Incoming>) -> T + Clone + Send + Sync + 'static,
    T: Future<Output = Reply> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_PAUSE).await;
            continue;
        };
        let answer = answer.clone();
        let served = state.clone();
        let task = async move {
            let service = service_fn(move |request| {
                let reply = answer(served.clone(), request);
                async move { Ok::<Reply, Infallible>(reply.await) }
            });
            let connection =
                http1::Builder::new().serve_connection(FuturesIo::new(stream), service);
            // Whoever asked asks again.
            let _ = connection.await;
        };
        state.spawner.spawn(task).detach();
    }
}

/// Opens a listening socket.
pub(crate) async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}
