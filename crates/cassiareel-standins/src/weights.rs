/*!
A stand-in for the weight store, with a rate limit that all readers share.

`GET /weights` lists the versions and their sizes as JSON, `GET /weights/{version}` returns the
bytes.
*/

use std::{
    collections::BTreeMap,
    future::Future,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll},
    time::{Duration, Instant},
};

use cassiareel::{
    runtime::Runtime,
    wire::{
        bind_listener, send, serve, BoxFuture, CallTimeouts, Handler, ServerHandle, ServerLimits,
    },
};
use futures_lite::{
    io::{self, BufReader},
    AsyncRead,
};
use http_types::{Body, Method, Request, Response, StatusCode, Url};
use serde_json::json;
use smol::Timer;

use crate::{
    respond::{json_response, path_segments},
    token_bucket::TokenBucket,
};

/// The number of bytes that a reader reserves at a time.
const CHUNK_BYTES: usize = 64 << 10;

/// A running weight store. Dropping it kills it.
#[derive(Debug)]
pub struct WeightStore {
    server_handle: ServerHandle,
    _runtime: Runtime,
}

impl WeightStore {
    /// Starts a store of versions with these sizes in bytes, which sends `rate` bytes per second to
    /// all its readers together.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    ///
    /// # Examples
    ///
    /// ```
    /// use cassiareel_standins::weights::{fetch, WeightStore};
    ///
    /// let store = WeightStore::start([("draft@v1".to_owned(), 1_000)].into(), 1e9).unwrap();
    /// assert_eq!(smol::block_on(fetch(store.addr(), "draft@v1")), Ok(1_000));
    /// assert!(smol::block_on(fetch(store.addr(), "draft@v2")).is_err());
    /// ```
    pub fn start(sizes: BTreeMap<String, usize>, rate: f64) -> io::Result<WeightStore> {
        let listener = bind_listener(([127, 0, 0, 1], 0).into())?;
        let runtime = Runtime::new("weights", 1);
        let server = Arc::new(Server {
            started: Instant::now(),
            sizes,
            bucket: Mutex::new(TokenBucket::new(rate, CHUNK_BYTES as f64)),
        });
        let handler = Arc::new(WeightHandler(server));
        let server_handle = serve(
            &runtime.spawner(),
            listener,
            ServerLimits::default(),
            handler,
        )?;
        Ok(WeightStore {
            server_handle,
            _runtime: runtime,
        })
    }

    /// Returns the address on which the weight store listens.
    pub fn addr(&self) -> SocketAddr {
        self.server_handle.addr
    }
}

/// Fetches a version and returns its size in bytes.
///
/// # Errors
///
/// Fails with a message when the version cannot be fetched completely.
pub async fn fetch(addr: SocketAddr, version: &str) -> Result<usize, String> {
    let mut url = Url::parse(&format!("http://{addr}/weights/")).map_err(|err| err.to_string())?;
    if let Ok(mut path) = url.path_segments_mut() {
        path.pop_if_empty().push(version);
    }
    let req = Request::new(Method::Get, url);
    let mut res = send(addr, req, CallTimeouts::new(Duration::from_secs(10)))
        .await
        .map_err(|err| err.to_string())?;
    if res.status() != StatusCode::Ok {
        return Err(format!(
            "the weight store answered with status {}",
            res.status()
        ));
    }
    let body = res.take_body();
    let announced = body.len();
    let received = io::copy(body, io::sink())
        .await
        .map_err(|err| err.to_string())?;
    match announced {
        Some(announced) if announced as u64 == received => Ok(announced),
        _ => Err(format!(
            "the body ended after {received} of {announced:?} bytes"
        )),
    }
}

struct Server {
    started: Instant,
    sizes: BTreeMap<String, usize>,
    bucket: Mutex<TokenBucket>,
}

struct WeightHandler(Arc<Server>);

impl Server {
    /// Reserves a chunk, and returns the time until it may be sent.
    fn reserve_chunk(&self, bytes: usize) -> Duration {
        let mut bucket = self.bucket.lock().expect("no holder panics");
        bucket.reserve(bytes as f64, self.started.elapsed())
    }
}

impl WeightHandler {
    fn answer(&self, req: &Request) -> Response {
        let path = path_segments(req);
        let path: Vec<_> = path.iter().map(String::as_str).collect();
        match (req.method(), &path[..]) {
            (Method::Get, ["weights"]) => json_response(StatusCode::Ok, &self.0.sizes),
            (Method::Get, ["weights", version]) => match self.0.sizes.get(*version) {
                Some(&size) => {
                    let paced = PacedReader::new(self.0.clone(), size);
                    let mut res = Response::new(StatusCode::Ok);
                    let reader = BufReader::with_capacity(CHUNK_BYTES, paced);
                    res.set_body(Body::from_reader(reader, Some(size)));
                    res
                }
                None => json_response(StatusCode::NotFound, &json!({"error": "no such version"})),
            },
            _ => json_response(StatusCode::NotFound, &json!({"error": "no such path"})),
        }
    }
}

impl Handler for WeightHandler {
    fn handle(&self, req: Request, _: SocketAddr) -> BoxFuture<'_, Response> {
        Box::pin(async move { self.answer(&req) })
    }
}

/// Reads zeros at the rate of the store.
struct PacedReader {
    server: Arc<Server>,
    remaining: usize,
    granted: usize,
    delay: Option<Timer>,
}

impl PacedReader {
    fn new(server: Arc<Server>, remaining: usize) -> PacedReader {
        PacedReader {
            server,
            remaining,
            granted: 0,
            delay: None,
        }
    }
}

impl AsyncRead for PacedReader {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if this.remaining > 0 && this.granted == 0 {
            this.granted = this.remaining.min(CHUNK_BYTES);
            this.delay = Some(Timer::after(this.server.reserve_chunk(this.granted)));
        }
        if let Some(delay) = &mut this.delay {
            if Pin::new(delay).poll(cx).is_pending() {
                return Poll::Pending;
            }
            this.delay = None;
        }
        let n = this.granted.min(out.len());
        out[..n].fill(0);
        this.granted -= n;
        this.remaining -= n;
        Poll::Ready(Ok(n))
    }
}
