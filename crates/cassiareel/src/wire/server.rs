//! The HTTP server, with limits on clients and an answer to each invalid head.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    time::Duration,
};

use async_channel::{Receiver, Sender};
use async_h1::server::{decode, Encoder};
use futures_lite::{io, AsyncReadExt, AsyncWriteExt, FutureExt};
use http_types::{headers, Method, Request, Response, StatusCode};
use smol::{
    net::{TcpListener, TcpStream},
    Timer,
};

use super::{body::poll_repeatedly, request_stream::RequestStream, BoxFuture};
use crate::runtime::{within, Spawner};

/// Limits on the resources that clients may use at a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Number of open connections; further ones are answered with 503 and closed.
    pub max_connections: usize,
    /// Bytes of a request's target, header names and header values; at most [`MAX_HEAD_BYTES`].
    pub max_head_bytes: usize,
    /// Time for a complete request head to arrive.
    pub head_timeout: Duration,
    /// Time for one write to complete, after which the client is considered disconnected.
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

/// A function that returns the limits currently in force.
pub type ServerLimitsSource = Arc<dyn Fn() -> ServerLimits + Send + Sync>;

/// Size limit of the heads that the HTTP library reads, in bytes.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Handles requests.
pub trait Handler: Send + Sync {
    /// Returns the response to one request from the client at `from`.
    fn handle(&self, req: Request, from: SocketAddr) -> BoxFuture<'_, Response>;
}

/// A running server; dropping it stops accepting and closes the connections that wait for a request.
#[derive(Debug)]
pub struct ServerHandle {
    /// The bound address.
    pub addr: SocketAddr,
    accept: smol::Task<()>,
    open: OpenConnections,
}

impl ServerHandle {
    /// Stops accepting connections, and returns those already open, which are still served.
    pub fn stop_accepting(self) -> OpenConnections {
        let ServerHandle { accept, open, .. } = self;
        drop(accept);
        open
    }
}

/// The open connections of a server that accepts no more. Dropping it closes them like
/// [`OpenConnections::close`].
#[derive(Debug)]
pub struct OpenConnections {
    count: Arc<AtomicUsize>,
    /// Closing it ends the wait for further requests.
    reading: Sender<()>,
}

impl OpenConnections {
    /// Closes each connection when it waits for a request, so that none is read any more.
    pub fn close(&self) {
        self.reading.close();
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }
}

/// Serves a listener with fixed limits, until the returned value or its executor is dropped.
///
/// # Errors
///
/// Returns an error if the listener's address can't be read.
pub fn serve(
    spawner: &Spawner,
    listener: TcpListener,
    limits: ServerLimits,
    handler: Arc<dyn Handler>,
) -> io::Result<ServerHandle> {
    serve_with_source(spawner, listener, Arc::new(move || limits), handler)
}

/// Serves a listener like [`serve`], with limits that may change between connections.
///
/// # Errors
///
/// Returns an error if the listener's address can't be read.
pub fn serve_with_source(
    spawner: &Spawner,
    listener: TcpListener,
    source: ServerLimitsSource,
    handler: Arc<dyn Handler>,
) -> io::Result<ServerHandle> {
    let addr = listener.local_addr()?;
    let connections = Arc::new(AtomicUsize::new(0));
    let (reading, closed) = async_channel::bounded(1);
    let open = OpenConnections {
        count: connections.clone(),
        reading,
    };
    let tasks = spawner.clone();
    let accept = spawner.spawn(async move {
        loop {
            let Ok((stream, from)) = listener.accept().await else {
                // Most likely out of file descriptors: wait for connections to close.
                Timer::after(Duration::from_millis(10)).await;
                continue;
            };
            let slot = ConnectionSlot::new(&connections);
            let limits = source();
            let full = slot.open_connections > limits.max_connections;
            let handler = handler.clone();
            let closed = closed.clone();
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
                        serve_connection(stream, from, limits, &*handler, &closed).await;
                    }
                })
                .detach();
        }
    });
    Ok(ServerHandle { addr, accept, open })
}

/// Serves the requests of one connection in sequence, until `closed` is closed.
async fn serve_connection(
    stream: TcpStream,
    from: SocketAddr,
    limits: ServerLimits,
    handler: &dyn Handler,
    closed: &Receiver<()>,
) {
    let _ = stream.set_nodelay(true);
    let requests = RequestStream::new(stream.clone());
    loop {
        requests.set_body_length(None);
        let head = async { Some(decode(requests.clone()).await) }
            .or(async {
                Timer::after(limits.head_timeout).await;
                None
            })
            .or(async {
                // Nothing is sent on the channel, so this waits until it is closed.
                let _ = closed.recv().await;
                Some(Ok(None))
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
        if head_bytes(&req) > limits.max_head_bytes {
            let problem = format!(
                "the head is longer than the limit of {} bytes",
                limits.max_head_bytes
            );
            return refuse(stream, StatusCode::RequestHeaderFieldsTooLarge, &problem).await;
        }
        if let Some(problem) = content_length_problem(req.header(headers::CONTENT_LENGTH)) {
            return refuse(stream, StatusCode::BadRequest, problem).await;
        }
        requests.set_body_length(req.header(headers::CONTENT_LENGTH).and_then(|_| req.len()));
        let method = req.method();
        let close = wants_close(req.header(headers::CONNECTION));
        let mut res = handler.handle(req, from).await;
        if res.status() == StatusCode::BadRequest {
            // After a truncated or malformed body, the start of the next request is unknown.
            res.insert_header(headers::CONNECTION, "close");
        }
        let close = close || wants_close(res.header(headers::CONNECTION));
        if !write(&stream, res, method, limits.write_timeout).await {
            return;
        }
        // A rest of the body that the handler did not read would be parsed as the next head.
        let mut sink = io::sink();
        let rest = io::copy((&mut rest).take(MAX_DRAINED_BYTES), &mut sink);
        let drained = within(LINGER_TIMEOUT, poll_repeatedly(rest)).await;
        if close || !matches!(drained, Some(Ok(n)) if n < MAX_DRAINED_BYTES) {
            return linger(&stream).await;
        }
    }
}

/// Writes a response. Returns false if the client has disconnected or is too slow.
async fn write(stream: &TcpStream, res: Response, method: Method, limit: Duration) -> bool {
    let mut encoder = Encoder::new(res, method);
    let mut stream = stream.clone();
    let mut buf = vec![0; WRITE_BUFFER_BYTES];
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

/// Returns the number of bytes in a request's target, header names and header values.
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

/// Answers a request that is not handled, and closes the connection.
async fn refuse(stream: TcpStream, status: StatusCode, problem: &str) {
    let status = if problem.contains(HEAD_TOO_LONG_MESSAGE) {
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
        serde_json::json!({"error": {"message": problem, "type": "invalid_request_error", "code": null, "param": null}})
            .to_string(),
    );
    if write(&stream, res, Method::Get, LINGER_TIMEOUT).await {
        linger(&stream).await;
    }
}

/// Closes the sending side, and discards for a while what the client still sends.
///
/// Closing a socket with unread bytes resets its connection, and the client could lose the answer
/// that was just written.
async fn linger(stream: &TcpStream) {
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let rest = async {
        let _ = io::copy(stream.clone().take(MAX_LINGER_BYTES), &mut io::sink()).await;
    };
    let late = async {
        Timer::after(LINGER_TIMEOUT).await;
    };
    rest.or(late).await;
}

/// Returns the reason why the `Content-Length` of a request is invalid, or none if it is valid.
///
/// The HTTP library uses the last of several lengths and accepts a sign before the digits. A proxy
/// that parses them differently would see another body in the same request.
fn content_length_problem(header: Option<&headers::HeaderValues>) -> Option<&'static str> {
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

/// Part of the HTTP library's error message for a head longer than [`MAX_HEAD_BYTES`].
const HEAD_TOO_LONG_MESSAGE: &str = "Head byte length";

/// Bytes of a request's body that are read and discarded to keep the connection open.
const MAX_DRAINED_BYTES: u64 = 64 * 1024;

/// Bytes that are read and discarded after the last answer on a connection.
const MAX_LINGER_BYTES: u64 = 64 << 20;

/// Time for a client to read the last answer on its connection, or to send the rest of a body after it.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Size of the buffer into which a response is encoded before each write.
const WRITE_BUFFER_BYTES: usize = 4 * 1024;

/// An open connection in a server's count, which is decremented on drop.
struct ConnectionSlot {
    count: Arc<AtomicUsize>,
    open_connections: usize,
}

impl ConnectionSlot {
    fn new(count: &Arc<AtomicUsize>) -> ConnectionSlot {
        ConnectionSlot {
            count: count.clone(),
            open_connections: count.fetch_add(1, Ordering::SeqCst) + 1,
        }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::SeqCst);
    }
}
