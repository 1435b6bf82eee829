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

/// ServerLimits on what a client may hold of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Connections at one time; more are answered with 503 and closed.
    pub max_connections: usize,
    /// Bytes of a request's head, in its headers' names and values; at most [`MAX_HEAD_BYTES`].
    pub max_head_bytes: usize,
    /// Time for a request's head to arrive whole.
    pub head_timeout: Duration,
    /// Time for one write to make progress before the client counts as gone.
    pub write_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> ServerLimits {
        ServerLimits {
            max_connections: 4096,
            max_head_bytes: MAX_HEAD_BYTES,
            head_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(30),
        }
    }
}

/// Tells the bounds that count at the moment.
pub type ServerLimitsSource = Arc<dyn Fn() -> ServerLimits + Send + Sync>;

/// The longest head that the HTTP library reads, in bytes.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Answers requests.
pub trait Handler: Send + Sync {
    /// Answers one request from the client at `from`.
    fn handle(&self, req: Request, from: SocketAddr) -> BoxFuture<'_, Response>;
}

/// A running server; dropping it stops accepting and drops its connections.
#[derive(Debug)]
pub struct ServerHandle {
    /// The bound address.
    pub addr: SocketAddr,
    accept: smol::Task<()>,
}

impl ServerHandle {
    /// Stops accepting; connections already open go on.
    pub fn stop_accepting(self) {
        drop(self.accept);
    }
}

/// Serves a listener, within fixed bounds, until the returned value is dropped or its executor is.
///
/// # Errors
///
/// Fails when the listener has no address.
pub fn serve(
    spawner: &Spawner,
    listener: TcpListener,
    bounds: ServerLimits,
    handler: Arc<dyn Handler>,
) -> io::Result<ServerHandle> {
    serve_with_source(spawner, listener, Arc::new(move || bounds), handler)
}

/// Serves a listener like [`serve`], within bounds that may change.
///
/// # Errors
///
/// Fails when the listener has no address.
pub fn serve_with_source(
    spawner: &Spawner,
    listener: TcpListener,
    source: ServerLimitsSource,
    handler: Arc<dyn Handler>,
) -> io::Result<ServerHandle> {
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
            let bounds = source();
            let full = slot.taken > bounds.max_connections;
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
    Ok(ServerHandle { addr, accept })
}

/// Serves the requests of one connection, one after the other.
async fn converse(
    stream: TcpStream,
    from: SocketAddr,
    bounds: ServerLimits,
    handler: &dyn Handler,
) {
    let _ = stream.set_nodelay(true);
    loop {
        let head = async { Some(decode(stream.clone()).await) }
            .or(async {
                Timer::after(bounds.head_timeout).await;
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
        if head_bytes(&req) > bounds.max_head_bytes {
            let why = format!(
                "the head is longer than the limit of {} bytes",
                bounds.max_head_bytes
            );
            return refuse(stream, StatusCode::RequestHeaderFieldsTooLarge, &why).await;
        }
        if let Some(why) = bad_length(req.header(headers::CONTENT_LENGTH)) {
            return refuse(stream, StatusCode::BadRequest, why).await;
        }
        let method = req.method();
        let close = wants_close(req.header(headers::CONNECTION));
        let mut res = handler.handle(req, from).await;
        if res.status() == StatusCode::BadRequest {
            // A body that was cut, or is none, leaves it open where the next request begins.
            res.insert_header(headers::CONNECTION, "close");
        }
        let close = close || wants_close(res.header(headers::CONNECTION));
        if !write(&stream, res, method, bounds.write_timeout).await {
            return;
        }
        // What the handler left unread would be taken for the next head.
        let unread = io::copy((&mut rest).take(MOST_UNREAD), &mut io::sink()).await;
        if close || unread.map_or(true, |n| n == MOST_UNREAD) {
            return linger(&stream).await;
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

/// The bytes of a request's target, header names and values.
fn head_bytes(req: &Request) -> usize {
    let headers: usize = req
        .iter()
        .flat_map(|(name, values)| {
            values
                .iter()
                .map(move |v| name.as_str().len() + v.as_str().len())
        })
        .sum();
    headers + req.url().as_str().len()
}

/// Answers a request that could not be read, and closes.
async fn refuse(stream: TcpStream, status: StatusCode, why: &str) {
    let status = if why.contains(LONG_HEAD) {
        StatusCode::RequestHeaderFieldsTooLarge
    } else if status.is_server_error() && status != StatusCode::ServiceUnavailable {
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
    if write(&stream, res, Method::Get, LINGER).await {
        linger(&stream).await;
    }
}

/// Closes the sending side and takes what the client still sends for a while.
///
/// A socket that is closed with bytes unread resets its connection, and the client could lose the
/// answer that was just written.
async fn linger(stream: &TcpStream) {
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let rest = async {
        let _ = io::copy(stream.clone().take(MOST_LINGER), &mut io::sink()).await;
    };
    let late = async {
        Timer::after(LINGER).await;
    };
    rest.or(late).await;
}

/// What is wrong with a request's length. The HTTP library takes the last of several lengths, and
/// signs before the digits; whoever sent the request through another reader may mean another body.
fn bad_length(header: Option<&headers::HeaderValues>) -> Option<&'static str> {
    let header = header?;
    let mut lengths = header.iter().map(headers::HeaderValue::as_str);
    let first = lengths.next()?;
    if lengths.any(|length| length != first) {
        return Some("the request has two Content-Length headers that differ");
    }
    let digits = !first.is_empty() && first.bytes().all(|byte| byte.is_ascii_digit());
    (!digits).then_some("the Content-Length header is no number")
}

/// Reports whether a `Connection` header asks to close.
fn wants_close(header: Option<&headers::HeaderValues>) -> bool {
    header.is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"))
}

/// Words of the HTTP library's error for a head past [`MAX_HEAD_BYTES`].
const LONG_HEAD: &str = "Head byte length";

/// Bytes of a request's body that are read for nothing to keep its connection.
const MOST_UNREAD: u64 = 64 * 1024;

/// Bytes that are taken from a client after the last answer on its connection.
const MOST_LINGER: u64 = 64 << 20;

/// Time that a client has to read its last answer.
const LINGER: Duration = Duration::from_secs(1);

/// Bytes of a response encoded before a write.
const WRITE_BUFFER: usize = 4 * 1024;

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
