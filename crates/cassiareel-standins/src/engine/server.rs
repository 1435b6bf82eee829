//! The engine's HTTP interface, and the task that runs its batch.

use std::{
    collections::HashMap,
    fmt,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use cassiareel::{
    backend::LoadReport,
    wire::{read_body, BoxFuture, Handler},
};
use http_types::{headers, Body, Method, Response, StatusCode};
use serde_json::json;
use smol::Timer;

use super::{
    batch::{Batch, Job, Outcome},
    end,
    model::{token_bytes, Model},
    request::{count_tokens, Request},
    stream::{Cut, Stream},
    text::Text,
    EngineOptions, Life,
};
use crate::respond::{json, param, segments};

/// Longest body of a request, in bytes.
const BODY_LIMIT: usize = 16 << 20;

/// An engine behind its listener.
pub(super) struct Server {
    options: EngineOptions,
    origin: Instant,
    life: Life,
    work: async_channel::Sender<()>,
    arrived: async_channel::Receiver<()>,
    state: Mutex<State>,
}

impl fmt::Debug for Server {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Server").finish_non_exhaustive()
    }
}

/// What changes while the engine runs.
#[derive(Default)]
struct State {
    batch: Batch,
    streams: HashMap<String, Arc<Stream>>,
    token_time: Duration,
    reports: u64,
}

impl Server {
    pub(super) fn new(options: EngineOptions, life: Life) -> Arc<Server> {
        let (work, arrived) = async_channel::bounded(1);
        Arc::new(Server {
            options,
            origin: Instant::now(),
            life,
            work,
            arrived,
            state: Mutex::default(),
        })
    }

    /// Runs the batch step by step, and waits where there is no work.
    pub(super) async fn run(&self) {
        let mut due = Instant::now();
        loop {
            let Some(step) = self.plan() else {
                let _ = self.arrived.recv().await;
                due = Instant::now();
                continue;
            };
            due = (due + step).max(Instant::now());
            Timer::at(due).await;
            if self.commit(step) == Outcome::Overflow {
                return end(&self.life);
            }
        }
    }

    /// Requests in the running batch.
    pub(super) fn running(&self) -> usize {
        self.lock().batch.running()
    }

    /// Cuts every stream.
    pub(super) fn cut_streams(&self, how: Cut) {
        self.lock()
            .streams
            .values()
            .for_each(|stream| stream.cut(how));
    }

    fn plan(&self) -> Option<Duration> {
        let now = self.now();
        let mut state = self.lock();
        let grace = self.options.capacity.grace;
        state
            .streams
            .retain(|_, stream| !stream.is_cut() && !stream.is_forgotten(now, grace));
        state
            .batch
            .plan(&self.options.speed, &self.options.capacity, now)
    }

    fn commit(&self, step: Duration) -> Outcome {
        let now = self.now();
        let mut state = self.lock();
        state.token_time = step;
        state.batch.commit(&self.options.capacity, now)
    }

    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    async fn answer(&self, mut req: http_types::Request) -> Response {
        let path = segments(&req);
        let path: Vec<_> = path.iter().map(String::as_str).collect();
        match (req.method(), &path[..]) {
            (Method::Post, ["v1", "completions"] | ["v1", "chat", "completions"]) => {
                match read_body(req.take_body(), BODY_LIMIT).await {
                    Ok(body) => self.start(&body),
                    Err(err) => refuse(StatusCode::BadRequest, &err.to_string()),
                }
            }
            (Method::Get, ["v1", "streams", id]) => self.attach(id, &req),
            (Method::Delete, ["v1", "streams", id]) => self.cancel(id),
            (Method::Get, ["load"]) => json(StatusCode::Ok, &self.load()),
            (Method::Get, ["health"]) => Response::new(StatusCode::Ok),
            _ => refuse(StatusCode::NotFound, "no such path"),
        }
    }

    fn start(&self, body: &[u8]) -> Response {
        let request = match Request::parse(body) {
            Ok(request) => request,
            Err(err) => return refuse(StatusCode::BadRequest, &err),
        };
        let prompt = match request.text() {
            Ok(prompt) => prompt,
            Err(err) => return refuse(StatusCode::BadRequest, &err),
        };
        if !self.options.versions.contains(&request.model) {
            return refuse(StatusCode::NotFound, "the version is not loaded");
        }
        self.submit(&request, &prompt)
    }

    fn submit(&self, request: &Request, prompt: &str) -> Response {
        let id = request.request_id.clone().unwrap_or_else(fresh_id);
        let prior = &request.prior_token_ids;
        let text = Text::new(request.stops(), request.prior_text_bytes);
        let tokens = count_tokens(prompt);
        let stream = Arc::new(Stream::new(id.clone(), tokens, prior.clone(), text));
        let mut stopped = false;
        for &token in prior {
            let Some(bytes) = token_bytes(token) else {
                return refuse(StatusCode::BadRequest, "no such token in the vocabulary");
            };
            stopped = stopped || stream.replay(bytes);
        }
        let Some(reader) = stream.attach(prior.len(), request.prior_text_bytes) else {
            return refuse(StatusCode::BadRequest, "prior text is past prior tokens");
        };
        let mut state = self.lock();
        if state.streams.contains_key(&id) {
            return refuse(StatusCode::BadRequest, "the request id is in use");
        }
        let job = Job {
            stream: stream.clone(),
            model: Model::new(&request.model, prompt),
            position: prior.len() as u32,
            limit: request.limit(),
            ignore_eos: request.ignore_eos,
            unread: tokens + prior.len() as u32,
            priority: request.priority,
        };
        if !stopped && !state.batch.submit(job, &self.options.capacity) {
            let mut res = refuse(StatusCode::ServiceUnavailable, "the engine is full");
            res.insert_header(headers::RETRY_AFTER, "1");
            return res;
        }
        state.streams.insert(id, stream);
        let _ = self.work.try_send(());
        events(Body::from_reader(reader, None))
    }

    fn attach(&self, id: &str, req: &http_types::Request) -> Response {
        let number = |name| param(req, name).map_or(Some(0), |text| text.parse().ok());
        let (Some(from), Some(sent)) = (number("from"), number("from_text")) else {
            return refuse(StatusCode::BadRequest, "from and from_text are numbers");
        };
        let Some(stream) = self.lock().streams.get(id).cloned() else {
            return refuse(StatusCode::NotFound, "there is no such stream");
        };
        match stream.attach(from, sent) {
            Some(reader) => events(Body::from_reader(reader, None)),
            None => refuse(StatusCode::BadRequest, "the stream has not come that far"),
        }
    }

    fn cancel(&self, id: &str) -> Response {
        let mut state = self.lock();
        if let Some(stream) = state.streams.remove(id) {
            stream.cut(Cut::Reset);
            state.batch.remove(id);
        }
        Response::new(StatusCode::NoContent)
    }

    fn load(&self) -> LoadReport {
        let mut state = self.lock();
        state.reports += 1;
        LoadReport {
            sequence: state.reports,
            running: state.batch.running() as u32,
            waiting: state.batch.waiting() as u32,
            used_tokens: state.batch.used(),
            total_tokens: self.options.capacity.tokens,
            token_ms: state.token_time.as_secs_f64() * 1e3,
            age_ms: 0,
            versions: self
                .options
                .versions
                .iter()
                .map(|v| v.as_str().into())
                .collect(),
            leaving: false,
        }
    }
}

impl Handler for Server {
    fn handle(&self, req: http_types::Request, _: SocketAddr) -> BoxFuture<'_, Response> {
        Box::pin(self.answer(req))
    }
}

/// A name for a stream whose caller gave none.
fn fresh_id() -> String {
    format!("cmpl-{:016x}", fastrand::u64(..))
}

/// A stream of events.
fn events(body: Body) -> Response {
    let mut res = Response::new(StatusCode::Ok);
    res.set_body(body);
    res.insert_header(headers::CONTENT_TYPE, "text/event-stream");
    res
}

/// A refusal before anything ran.
fn refuse(status: StatusCode, why: &str) -> Response {
    json(
        status,
        &json!({"error": {"message": why, "type": "engine_error"}}),
    )
}
