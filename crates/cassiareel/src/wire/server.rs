//! Serving of HTTP connections, with bounds and an answer to each bad head.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    time::Duration,
};

use async_h1::server::{decode, Encoder};
use futures_lite::{io, AsyncReadExt, AsyncWriteExt, FutureExt};
use http_types::{headers, Method, Request, Response, StatusCode};
use smol::{
    net::{TcpListener, TcpStream},
    Timer,
};

use super::BoxFuture;
use crate::runtime::Spawner;

/// Bounds on what a client may hold of a server.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Connections at one time; more are answered with 503 and closed.
    pub connections: usize,
    /// Time for a request's head to arrive whole.
    pub head: Duration,
    /// Time for one write to make progress before the client counts as gone.
    pub write: Duration,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            connections: 4096,
            head: Duration::from_secs(10),
            write: Duration::from_secs(30),
        }
    }
}

/// Answers requests.
pub trait Handler: Send + Sync {
    /// Answers one request from the client at `from`.
    fn handle(&self, req: Request, from: SocketAddr) -> BoxFuture<'_, Response>;
}

/// A running server; dropping it stops accepting and drops its connections.
#[derive(Debug)]
pub struct Served {
    /// The bound address.
    pub addr: SocketAddr,
    accept: smol::Task<()>,
}

impl Served {
    /// Stops accepting; connections already open go on.
    pub fn stop_accepting(self) {
        drop(self.accept);
    }
}

/// Serves a listener until the returned value is dropped or its executor is.
///
/// # Errors
///
/// Fails when the listener has no address.
pub fn serve(
    spawner: &Spawner,
    listener: TcpListener,
    bounds: Bounds,
    handler: Arc<dyn Handler>,
) -> io::Result<Served> {
    let addr = listener.local_addr()?;
    let connections = Arc::new(AtomicUsize::new(0));
    let tasks = spawner.clone();
    let accept = spawner.spawn(async move {
        loop {
            let Ok((stream, from)) = listener.accept().await else {
                // Out of descriptors, most likely: give connections time to end.
                Timer::after(Duration::from_millis(10)).await;
                continue;
            };
            let slot = Slot::new(&connections);
            let full = slot.taken > bounds.connections;
            let handler = handler.clone();
            tasks
                .spawn(async move {
                    let _slot = slot;
                    if full {
                        refuse(
                            stream,
                            StatusCode::ServiceUnavailable,
                            "too many connections",
                        )
                        .await;
                    } else {
                        converse(stream, from, bounds, &*handler).await;
                    }
                })
                .detach();
        }
    });
    Ok(Served { addr, accept })
}

/// Serves the requests of one connection, one after the other.
async fn converse(stream: TcpStream, from: SocketAddr, bounds: Bounds, handler: &dyn Handler) {
    let _ = stream.set_nodelay(true);
    loop {
        let head = async { Some(decode(stream.clone()).await) }
            .or(async {
                Timer::after(bounds.head).await;
                None
            })
            .await;
        let (req, mut rest) = match head {
            Some(Ok(Some(parts))) => parts,
            Some(Ok(None)) => return,
            Some(Err(err)) => return refuse(stream, err.status(), &err.to_string()).await,
            None => {
                return refuse(
                    stream,
                    StatusCode::RequestTimeout,
                    "no whole request in time",
                )
                .await
            }
        };
        let method = req.method();
        let close = wants_close(req.header(headers::CONNECTION));
        let res = handler.handle(req, from).await;
        let close = close || wants_close(res.header(headers::CONNECTION));
        if !write(&stream, res, method, bounds.write).await || close {
            return;
        }
        // What the handler left unread would be taken for the next head.
        if io::copy(&mut rest, &mut io::sink()).await.is_err() {
            return;
        }
    }
}

/// Writes a response; false when the client is gone or too slow.
async fn write(stream: &TcpStream, res: Response, method: Method, limit: Duration) -> bool {
    let mut encoder = Encoder::new(res, method);
    let mut stream = stream.clone();
    let mut buf = vec![0; WRITE_BUFFER];
    loop {
        let n = match encoder.read(&mut buf).await {
            Ok(0) => return true,
            Ok(n) => n,
            Err(_) => return false,
        };
        let written = async { stream.write_all(&buf[..n]).await.is_ok() }
            .or(async {
                Timer::after(limit).await;
                false
            })
            .await;
        if !written {
            return false;
        }
    }
}

/// Answers a request that could not be read, and closes.
async fn refuse(stream: TcpStream, status: StatusCode, why: &str) {
    let status = if status.is_server_error() && status != StatusCode::ServiceUnavailable {
        StatusCode::BadRequest
    } else {
        status
    };
    let mut res = Response::new(status);
    res.insert_header(headers::CONNECTION, "close");
    res.set_content_type(http_types::mime::JSON);
    res.set_body(
        serde_json::json!({"error": {"message": why, "type": "invalid_request_error", "code": null, "param": null}})
            .to_string(),
    );
    write(&stream, res, Method::Get, Duration::from_secs(1)).await;
}

/// Reports whether a `Connection` header asks to close.
fn wants_close(header: Option<&headers::HeaderValues>) -> bool {
    header.is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"))
}

/// Bytes of a response encoded before a write.
const WRITE_BUFFER: usize = 8 * 1024;

/// A place among a server's connections, given back when dropped.
struct Slot {
    count: Arc<AtomicUsize>,
    taken: usize,
}

impl Slot {
    fn new(count: &Arc<AtomicUsize>) -> Slot {
        Slot {
            count: count.clone(),
            taken: count.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}
