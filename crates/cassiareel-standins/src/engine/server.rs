//! The engine's HTTP interface, and the tasks that run its batch and fetch versions.

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
    state::{Rejection, State},
    stop,
    stream::{Reader, StreamCut},
    versions::CommandOutcome,
    EngineOptions, Faults, RuntimeSlot, Stats,
};
use crate::{
    respond::{json_response, path_segments, query_param, read_json},
    weights,
};

/// The maximum size of a request body.
const MAX_BODY_BYTES: usize = 16 << 20;
/// The delay before a failed fetch from the weight store is retried.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(200);

/// An engine behind its listener.
pub(super) struct Server {
    started: Instant,
    runtime_slot: RuntimeSlot,
    weight_store: Option<SocketAddr>,
    work_sender: Sender<()>,
    work_receiver: Receiver<()>,
    fetch_sender: Sender<String>,
    fetch_receiver: Receiver<String>,
    state: Mutex<State>,
}

impl fmt::Debug for Server {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Server").finish_non_exhaustive()
    }
}

impl Server {
    pub(super) fn new(options: EngineOptions, runtime_slot: RuntimeSlot) -> Arc<Server> {
        let (work_sender, work_receiver) = async_channel::bounded(1);
        let (fetch_sender, fetch_receiver) = async_channel::unbounded();
        Arc::new(Server {
            started: Instant::now(),
            runtime_slot,
            weight_store: options.weight_store,
            work_sender,
            work_receiver,
            fetch_sender,
            fetch_receiver,
            state: Mutex::new(State::new(options)),
        })
    }

    /// Runs the steps of the batch, and waits for requests when there are none.
    pub(super) async fn run_batch(&self) {
        let mut due = Instant::now();
        loop {
            let step = self.lock().plan_step(self.now());
            let Some(step) = step else {
                let _ = self.work_receiver.recv().await;
                due = Instant::now();
                continue;
            };
            due = (due + step).max(Instant::now());
            Timer::at(due).await;
            let outcome = self.lock().run_step(self.now());
            if outcome == Outcome::Crashed {
                return stop(&self.runtime_slot);
            }
        }
    }

    /// Fetches requested versions one after the other.
    pub(super) async fn fetch_versions(&self) {
        while let Ok(version) = self.fetch_receiver.recv().await {
            if let Some(addr) = self.weight_store {
                while weights::fetch(addr, &version).await.is_err() {
                    Timer::after(FETCH_RETRY_DELAY).await;
                }
            }
            self.lock().mark_fetched(&version, self.now());
        }
    }

    /// Returns the number of requests in the running batch.
    pub(super) fn running(&self) -> usize {
        self.lock().running()
    }

    /// Cuts every stream.
    pub(super) fn cut_streams(&self, how: StreamCut) {
        self.lock().cut_streams(how);
    }

    pub(super) fn set_faults(&self, faults: Faults) {
        self.lock().set_faults(faults, self.now());
    }

    pub(super) fn stats(&self) -> Stats {
        self.lock().stats
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    async fn answer(&self, mut req: Request) -> Response {
        let path = path_segments(&req);
        let path: Vec<_> = path.iter().map(String::as_str).collect();
        let result = match (req.method(), &path[..]) {
            (Method::Post, ["v1", "completions"] | ["v1", "chat", "completions"]) => {
                self.start_stream(&mut req).await
            }
            (Method::Get, ["v1", "streams", id]) => self.attach(id, &req),
            (Method::Delete, ["v1", "streams", id]) => {
                self.lock().cancel(id);
                Ok(Response::new(StatusCode::NoContent))
            }
            (Method::Get, ["load"]) => Ok(json_response(
                StatusCode::Ok,
                &self.lock().load_report(self.now()),
            )),
            (Method::Get, ["cache", "events"]) => self.cache_events(&req),
            (Method::Post, ["orders"]) => self.run_command(&mut req).await,
            (Method::Get, ["health"]) => Ok(Response::new(StatusCode::Ok)),
            (method, ["control", action]) => self.control(method, action, &mut req).await,
            _ => Err(Rejection::new(StatusCode::NotFound, "no such path")),
        };
        result.unwrap_or_else(|rejection| error_response(&rejection))
    }

    async fn start_stream(&self, req: &mut Request) -> Result<Response, Rejection> {
        let body = read_body(req.take_body(), MAX_BODY_BYTES)
            .await
            .map_err(|err| Rejection::new(StatusCode::BadRequest, err.to_string()))?;
        let reader = self.lock().start(req.url().path(), &body)?;
        let _ = self.work_sender.try_send(());
        Ok(event_stream(reader))
    }

    fn attach(&self, id: &str, req: &Request) -> Result<Response, Rejection> {
        let from = numeric_param(req, "from")?.unwrap_or(0);
        let sent = numeric_param(req, "from_text")?.unwrap_or(0);
        let reader = self.lock().attach(id, from as usize, sent as usize)?;
        Ok(event_stream(reader))
    }

    fn cache_events(&self, req: &Request) -> Result<Response, Rejection> {
        let since = match query_param(req, "full") {
            Some(_) => None,
            None => Some(numeric_param(req, "since")?.unwrap_or(0)),
        };
        let events = self.lock().cache_events(since, self.now());
        Ok(json_response(StatusCode::Ok, &events))
    }

    async fn run_command(&self, req: &mut Request) -> Result<Response, Rejection> {
        let command: EngineCommand = parse_body(req).await?;
        let outcome = self.lock().run_command(&command, self.now());
        match outcome {
            CommandOutcome::Fetch(version) => drop(self.fetch_sender.try_send(version)),
            CommandOutcome::Done => {}
            CommandOutcome::Stale => {
                let message = format!("fencing number {} is old", command.fence);
                return Err(Rejection::new(StatusCode::Conflict, message));
            }
        }
        Ok(Response::new(StatusCode::Accepted))
    }

    /// Handles the control paths with which tests and the demo inject faults and read counts.
    async fn control(
        &self,
        method: Method,
        action: &str,
        req: &mut Request,
    ) -> Result<Response, Rejection> {
        match (method, action) {
            (Method::Get, "faults") => Ok(json_response(StatusCode::Ok, &self.lock().faults)),
            (Method::Put, "faults") => {
                self.set_faults(parse_body(req).await?);
                Ok(Response::new(StatusCode::NoContent))
            }
            (Method::Get, "stats") => Ok(json_response(StatusCode::Ok, &self.stats())),
            (Method::Post, "cut") => {
                self.cut_streams(StreamCut::Reset);
                Ok(Response::new(StatusCode::NoContent))
            }
            (Method::Post, "kill") => {
                stop(&self.runtime_slot);
                Ok(Response::new(StatusCode::NoContent))
            }
            _ => Err(Rejection::new(StatusCode::NotFound, "no such control")),
        }
    }
}

impl Handler for Server {
    fn handle(&self, req: Request, _: SocketAddr) -> BoxFuture<'_, Response> {
        Box::pin(self.answer(req))
    }
}

/// Parses a JSON body.
async fn parse_body<T>(req: &mut Request) -> Result<T, Rejection>
where
    T: for<'de> serde::Deserialize<'de>,
{
    read_json(req)
        .await
        .map_err(|message| Rejection::new(StatusCode::BadRequest, message))
}

/// Parses a number from a request's query.
fn numeric_param(req: &Request, name: &str) -> Result<Option<u64>, Rejection> {
    let bad_request = || Rejection::new(StatusCode::BadRequest, format!("{name} is no number"));
    query_param(req, name)
        .map(|text| text.parse().map_err(|_| bad_request()))
        .transpose()
}

/// Returns a response that streams events.
fn event_stream(reader: Reader) -> Response {
    let mut res = Response::new(StatusCode::Ok);
    res.set_body(Body::from_reader(reader, None));
    res.insert_header(headers::CONTENT_TYPE, "text/event-stream");
    res
}

/// Returns a rejection as a JSON error object.
fn error_response(rejection: &Rejection) -> Response {
    let error = json!({"message": rejection.message, "type": "engine_error"});
    let mut res = json_response(rejection.status, &json!({ "error": error }));
    if rejection.status == StatusCode::ServiceUnavailable {
        res.insert_header(headers::RETRY_AFTER, "1");
    }
    res
}
