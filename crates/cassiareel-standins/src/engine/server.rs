//! The engine's HTTP interface, and the tasks behind it.

use std::{
    fmt,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use async_channel::{Receiver, Sender};
use cassiareel::{
    backend::EngineCommand,
    wire::{read_body, BoxFuture, Handler},
};
use http_types::{headers, Body, Method, Request, Response, StatusCode};
use serde_json::json;
use smol::Timer;

use super::{
    batch::Outcome,
    end,
    state::{Refused, State},
    stream::{Reader, StreamCut},
    versions::Ordered,
    EngineOptions, Faults, Life, Stats,
};
use crate::{
    respond::{json, param, read_json, segments},
    weights,
};

/// Longest body of a request, in bytes.
const BODY_LIMIT: usize = 16 << 20;
/// Time before the engine asks the weight store again.
const FETCH_PAUSE: Duration = Duration::from_millis(200);

/// An engine behind its listener.
pub(super) struct Server {
    origin: Instant,
    life: Life,
    weights: Option<SocketAddr>,
    work: Sender<()>,
    arrived: Receiver<()>,
    fetch: Sender<String>,
    fetches: Receiver<String>,
    state: Mutex<State>,
}

impl fmt::Debug for Server {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Server").finish_non_exhaustive()
    }
}

impl Server {
    pub(super) fn new(options: EngineOptions, life: Life) -> Arc<Server> {
        let (work, arrived) = async_channel::bounded(1);
        let (fetch, fetches) = async_channel::unbounded();
        Arc::new(Server {
            origin: Instant::now(),
            life,
            weights: options.weight_store,
            work,
            arrived,
            fetch,
            fetches,
            state: Mutex::new(State::new(options)),
        })
    }

    /// Runs the batch step by step, and waits where there is no work.
    pub(super) async fn run(&self) {
        let mut due = Instant::now();
        loop {
            let step = self.lock().plan(self.now());
            let Some(step) = step else {
                let _ = self.arrived.recv().await;
                due = Instant::now();
                continue;
            };
            due = (due + step).max(Instant::now());
            Timer::at(due).await;
            let outcome = self.lock().commit(self.now());
            if outcome == Outcome::Dead {
                return end(&self.life);
            }
        }
    }

    /// Fetches versions one after the other.
    pub(super) async fn fetch(&self) {
        while let Ok(version) = self.fetches.recv().await {
            if let Some(addr) = self.weights {
                while weights::fetch(addr, &version).await.is_err() {
                    Timer::after(FETCH_PAUSE).await;
                }
            }
            self.lock().fetched(&version, self.now());
        }
    }

    /// Requests in the running batch.
    pub(super) fn running(&self) -> usize {
        self.lock().running()
    }

    /// Cuts every stream.
    pub(super) fn cut_streams(&self, how: StreamCut) {
        self.lock().cut(how);
    }

    pub(super) fn set_faults(&self, faults: Faults) {
        self.lock().set_faults(faults, self.now());
    }

    pub(super) fn stats(&self) -> Stats {
        self.lock().stats
    }

    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    async fn answer(&self, mut req: Request) -> Response {
        let path = segments(&req);
        let path: Vec<_> = path.iter().map(String::as_str).collect();
        let result = match (req.method(), &path[..]) {
            (Method::Post, ["v1", "completions"] | ["v1", "chat", "completions"]) => {
                self.start(&mut req).await
            }
            (Method::Get, ["v1", "streams", id]) => self.attach(id, &req),
            (Method::Delete, ["v1", "streams", id]) => {
                self.lock().cancel(id);
                Ok(Response::new(StatusCode::NoContent))
            }
            (Method::Get, ["load"]) => Ok(json(StatusCode::Ok, &self.lock().load(self.now()))),
            (Method::Get, ["cache", "events"]) => self.cache(&req),
            (Method::Post, ["orders"]) => self.order(&mut req).await,
            (Method::Get, ["health"]) => Ok(Response::new(StatusCode::Ok)),
            (method, ["control", what]) => self.control(method, what, &mut req).await,
            _ => Err(Refused::new(StatusCode::NotFound, "no such path")),
        };
        result.unwrap_or_else(|refused| refusal(&refused))
    }

    async fn start(&self, req: &mut Request) -> Result<Response, Refused> {
        let body = read_body(req.take_body(), BODY_LIMIT)
            .await
            .map_err(|err| Refused::new(StatusCode::BadRequest, err.to_string()))?;
        let reader = self.lock().start(req.url().path(), &body)?;
        let _ = self.work.try_send(());
        Ok(events(reader))
    }

    fn attach(&self, id: &str, req: &Request) -> Result<Response, Refused> {
        let from = number(req, "from")?.unwrap_or(0);
        let sent = number(req, "from_text")?.unwrap_or(0);
        let reader = self.lock().attach(id, from as usize, sent as usize)?;
        Ok(events(reader))
    }

    fn cache(&self, req: &Request) -> Result<Response, Refused> {
        let since = match param(req, "full") {
            Some(_) => None,
            None => Some(number(req, "since")?.unwrap_or(0)),
        };
        let events = self.lock().cache_events(since, self.now());
        Ok(json(StatusCode::Ok, &events))
    }

    async fn order(&self, req: &mut Request) -> Result<Response, Refused> {
        let order: EngineCommand = parse(req).await?;
        let ordered = self.lock().order(&order, self.now());
        match ordered {
            Ordered::Fetch(version) => drop(self.fetch.try_send(version)),
            Ordered::Done => {}
            Ordered::Old => {
                let why = format!("fencing number {} is old", order.fence);
                return Err(Refused::new(StatusCode::Conflict, why));
            }
        }
        Ok(Response::new(StatusCode::Accepted))
    }

    /// Faults and counts, for tests and the demo.
    async fn control(
        &self,
        method: Method,
        what: &str,
        req: &mut Request,
    ) -> Result<Response, Refused> {
        match (method, what) {
            (Method::Get, "faults") => Ok(json(StatusCode::Ok, &self.lock().faults)),
            (Method::Put, "faults") => {
                self.set_faults(parse(req).await?);
                Ok(Response::new(StatusCode::NoContent))
            }
            (Method::Get, "stats") => Ok(json(StatusCode::Ok, &self.stats())),
            (Method::Post, "cut") => {
                self.cut_streams(StreamCut::Reset);
                Ok(Response::new(StatusCode::NoContent))
            }
            (Method::Post, "kill") => {
                end(&self.life);
                Ok(Response::new(StatusCode::NoContent))
            }
            _ => Err(Refused::new(StatusCode::NotFound, "no such control")),
        }
    }
}

impl Handler for Server {
    fn handle(&self, req: Request, _: SocketAddr) -> BoxFuture<'_, Response> {
        Box::pin(self.answer(req))
    }
}

/// Reads a JSON body.
async fn parse<T>(req: &mut Request) -> Result<T, Refused>
where
    T: for<'de> serde::Deserialize<'de>,
{
    read_json(req)
        .await
        .map_err(|why| Refused::new(StatusCode::BadRequest, why))
}

/// Reads a number from a request's query.
fn number(req: &Request, name: &str) -> Result<Option<u64>, Refused> {
    let why = || Refused::new(StatusCode::BadRequest, format!("{name} is no number"));
    param(req, name)
        .map(|text| text.parse().map_err(|_| why()))
        .transpose()
}

/// A stream of events.
fn events(reader: Reader) -> Response {
    let mut res = Response::new(StatusCode::Ok);
    res.set_body(Body::from_reader(reader, None));
    res.insert_header(headers::CONTENT_TYPE, "text/event-stream");
    res
}

/// A refusal as a JSON error object.
fn refusal(refused: &Refused) -> Response {
    let error = json!({"message": refused.why, "type": "engine_error"});
    let mut res = json(refused.status, &json!({ "error": error }));
    if refused.status == StatusCode::ServiceUnavailable {
        res.insert_header(headers::RETRY_AFTER, "1");
    }
    res
}
