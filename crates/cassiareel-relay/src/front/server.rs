//! Listening sockets: callers' requests, the load balancer's readiness check, and the metrics.

use std::{convert::Infallible, future::Future, io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_lite::FutureExt;
use http::{Response, StatusCode};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use slog::{debug, info, warn};
use smol::{net::TcpListener, net::TcpStream, Timer};
use smol_hyper::rt::FuturesIo;

use super::{
    activity::{Activity, CloseReason, MonitoredStream, OpenRequestGuard, OpenRequests},
    body::{empty_reply, full_body, Reply},
    handler::handle,
};
use crate::state::State;

/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Buffer space of a connection beyond the largest allowed head, in bytes, so that a head that is
/// slightly too large is read and rejected with its reason in the log.
const HEAD_MARGIN_BYTES: usize = 1 << 10;

/// The smallest buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// File descriptors that are reserved for other uses than callers' connections.
const RESERVED_FDS: u64 = 300;

/// Accepts and serves callers' connections until the task is dropped.
pub(crate) async fn serve_callers(state: Arc<State>, listener: TcpListener, open: OpenRequests) {
    let connections = Arc::new(());
    loop {
        let stream = accept(&state, &listener).await;
        let limit = state
            .settings
            .load()
            .limits
            .max_fds
            .saturating_sub(RESERVED_FDS)
            / 2;
        let open_count = Arc::strong_count(&connections) as u64;
        if open_count > limit {
            warn!(state.log, "connection limit reached"; "held" => open_count, "most" => limit);
            continue;
        }
        let connection_guard = connections.clone();
        let task = serve_caller(state.clone(), stream, open.clone());
        state
            .spawner
            .spawn(async move {
                task.await;
                drop(connection_guard);
            })
            .detach();
    }
}

/// Accepts the next connection. A failure to accept one, such as a lack of file descriptors, is
/// logged, and accepting is retried.
async fn accept(state: &State, listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(err) => {
                warn!(state.log, "connection not accepted"; "cause" => %err);
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves one connection of a caller.
async fn serve_caller(state: Arc<State>, stream: TcpStream, open: OpenRequests) {
    if let Err(err) = stream.set_nodelay(true) {
        debug!(state.log, "connection lost"; "cause" => %err);
        return;
    }
    let limits = state.limits();
    let activity = Arc::new(Activity::new(open));
    let service = {
        let state = state.clone();
        let activity = activity.clone();
        service_fn(move |request| {
            let guard = OpenRequestGuard::new(&activity);
            let state = state.clone();
            async move {
                let reply = handle(state, request).await;
                Ok::<Reply, Infallible>(guard.attach(reply))
            }
        })
    };
    let mut connection = Box::pin(
        http1::Builder::new()
            .max_buf_size((limits.header_bytes + HEAD_MARGIN_BYTES).max(MIN_BUFFER_BYTES))
            .serve_connection(
                FuturesIo::new(MonitoredStream::new(stream, activity.clone())),
                service,
            ),
    );
    let finished = async { Ok(connection.as_mut().await) };
    let overdue = async { Err(activity.wait_overdue(|| state.limits()).await) };
    let closing = async {
        loop {
            state.close_idle.listen().await;
            if !activity.is_reading_head() {
                return Err(CloseReason::Idle);
            }
        }
    };
    let ended = match finished.or(overdue).or(closing).await {
        Ok(ended) => ended,
        Err(CloseReason::Idle) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
        Err(CloseReason::Head) => {
            info!(state.log, "connection closed"; "cause" => "its head did not come in time",
                "limit_ms" => state.limits().header_time.as_millis() as u64);
            return;
        }
    };
    if let Err(err) = ended {
        debug!(state.log, "connection lost"; "cause" => %err);
    }
}

/// Answers the load balancer's readiness check.
pub(crate) async fn serve_readiness(state: Arc<State>, listener: TcpListener) {
    serve_fn(state, listener, |state, _| async move {
        if state.is_ready() {
            empty_reply(StatusCode::OK)
        } else {
            empty_reply(StatusCode::SERVICE_UNAVAILABLE)
        }
    })
    .await;
}

/// Serves the metrics.
pub(crate) async fn serve_metrics(state: Arc<State>, listener: TcpListener) {
    serve_fn(state, listener, |state, _| async move {
        Response::new(full_body(Bytes::from(state.metrics.text())))
    })
    .await;
}

/// Serves each request with the function `answer`.
pub(crate) async fn serve_fn<F, T>(state: Arc<State>, listener: TcpListener, answer: F)
where
    F: Fn(Arc<State>, http::Request<Incoming>) -> T + Clone + Send + Sync + 'static,
    T: Future<Output = Reply> + Send + 'static,
{
    loop {
        let stream = accept(&state, &listener).await;
        let answer = answer.clone();
        let task_state = state.clone();
        let task = async move {
            let service = service_fn(move |request| {
                let reply = answer(task_state.clone(), request);
                async move { Ok::<Reply, Infallible>(reply.await) }
            });
            let connection =
                http1::Builder::new().serve_connection(FuturesIo::new(stream), service);
            // A failure is ignored, since the other side retries.
            let _ = connection.await;
        };
        state.spawner.spawn(task).detach();
    }
}

/// Binds a listening socket.
pub(crate) async fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}
