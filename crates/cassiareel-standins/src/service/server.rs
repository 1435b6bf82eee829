//! The service's HTTP interface.

use std::{
    fmt,
    net::SocketAddr,
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc, Mutex, MutexGuard,
    },
    time::Duration,
};

use cassiareel::{
    backend::LoadReport,
    runtime::Spawner,
    wire::{read_body, BoxFuture, Handler},
};
use http_types::{Method, Request, Response, StatusCode};
use serde::Serialize;
use serde_json::{json, Value};
use smol::Timer;

use super::{CallFault, Faults, Ledger};
use crate::respond::{cut, hang, json, read_json, segments};

/// Longest body of an order, in bytes.
const BODY_LIMIT: usize = 1 << 20;
/// The header that names an order.
const KEY: &str = "idempotency-key";
/// The header that carries a call's name there and back.
const REQUEST_ID: &str = "x-request-id";
/// The header by which the service says that it did not run what it refuses.
const NOT_RUN: &str = "x-not-run";
/// Time after which an order runs whose caller was given up.
const LATE: Duration = Duration::from_millis(300);

/// A service behind its listener.
pub(super) struct Server {
    version: String,
    ledger: Ledger,
    spawner: Spawner,
    running: AtomicU32,
    state: Mutex<State>,
}

struct State {
    faults: Faults,
    random: fastrand::Rng,
    last: Option<Done>,
    reports: u64,
}

/// An order that ran, as it is answered.
#[derive(Clone, Debug, Serialize)]
struct Done {
    order: String,
    run: u32,
    version: String,
    #[serde(skip)]
    request: String,
}

impl fmt::Debug for Server {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Server").finish_non_exhaustive()
    }
}

impl Server {
    pub(super) fn new(version: &str, ledger: Ledger, seed: u64, spawner: Spawner) -> Arc<Server> {
        Arc::new(Server {
            version: version.to_owned(),
            ledger,
            spawner,
            running: AtomicU32::new(0),
            state: Mutex::new(State {
                faults: Faults::default(),
                random: fastrand::Rng::with_seed(seed),
                last: None,
                reports: 0,
            }),
        })
    }

    pub(super) fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    async fn answer(&self, mut req: Request) -> Response {
        let path = segments(&req);
        let path: Vec<_> = path.iter().map(String::as_str).collect();
        match (req.method(), &path[..]) {
            (Method::Get, ["orders", key]) => self.find(key),
            (Method::Get, ["load"]) => json(StatusCode::Ok, &self.load()),
            (Method::Get, ["health"]) => Response::new(StatusCode::Ok),
            (Method::Get, ["control", "ledger"]) => json(StatusCode::Ok, &self.ledger.entries()),
            (Method::Get, ["control", "faults"]) => json(StatusCode::Ok, &self.lock().faults),
            (Method::Put, ["control", "faults"]) => match read_json(&mut req).await {
                Ok(faults) => {
                    self.set_faults(faults);
                    Response::new(StatusCode::NoContent)
                }
                Err(why) => error(StatusCode::BadRequest, &why),
            },
            _ => {
                self.running.fetch_add(1, Ordering::Relaxed);
                let _running = Running(&self.running);
                self.take(req).await
            }
        }
    }

    /// Tells whether an order ran.
    fn find(&self, key: &str) -> Response {
        match self.ledger.entry(key) {
            Some(entry) => {
                let state = if entry.runs > 0 { "ran" } else { "received" };
                let found = json!({"order": key, "state": state, "runs": entry.runs});
                json(StatusCode::Ok, &found)
            }
            None => error(StatusCode::NotFound, "no such order"),
        }
    }

    fn load(&self) -> LoadReport {
        let mut state = self.lock();
        state.reports += 1;
        LoadReport {
            sequence: state.reports,
            running: self.running.load(Ordering::Relaxed),
            versions: vec![self.version.as_str().into()],
            ..LoadReport::default()
        }
    }

    /// Takes an order and lets its fault meet it.
    async fn take(&self, mut req: Request) -> Response {
        let body = match read_body(req.take_body(), BODY_LIMIT).await {
            Ok(body) => body,
            Err(err) => return error(StatusCode::BadRequest, &err.to_string()),
        };
        let header = |name| req.header(name).map(|value| value.as_str().to_owned());
        let request = header(REQUEST_ID).unwrap_or_default();
        let key = header(KEY).unwrap_or_else(|| request.clone());
        let (loss, delay) = self.draw();
        if loss == Some(CallFault::Refused) {
            let mut res = error(StatusCode::ServiceUnavailable, "injected fault: not run");
            res.insert_header(NOT_RUN, "1");
            return res;
        }
        self.ledger.receive(&key);
        Timer::after(delay).await;
        let number = number(&body);
        let number = number.as_deref();
        let run = || self.run(&key, number, &request);
        match loss {
            Some(CallFault::Failed) => error(StatusCode::InternalServerError, "injected fault"),
            Some(CallFault::Before) => cut(Response::new(StatusCode::Ok)).await,
            Some(CallFault::After) => cut(run().response()).await,
            Some(CallFault::Hung) => {
                run();
                hang().await
            }
            Some(CallFault::Late) => {
                self.run_late(key, number);
                cut(Response::new(StatusCode::Ok)).await
            }
            Some(CallFault::Crossed) => {
                let earlier = self.lock().last.clone();
                let own = run();
                earlier.unwrap_or(own).response()
            }
            Some(CallFault::Refused) | None => run().response(),
        }
    }

    fn draw(&self) -> (Option<CallFault>, Duration) {
        let mut state = self.lock();
        let draw = state.random.f64();
        let delay = Duration::from_millis(state.faults.delay_ms);
        (state.faults.draw(draw), delay)
    }

    fn run(&self, key: &str, number: Option<&str>, request: &str) -> Done {
        let done = Done {
            order: key.to_owned(),
            run: self.ledger.run(key, number),
            version: self.version.clone(),
            request: request.to_owned(),
        };
        self.lock().last = Some(done.clone());
        done
    }

    fn run_late(&self, key: String, number: Option<&str>) {
        let ledger = self.ledger.clone();
        let number = number.map(str::to_owned);
        let run = async move {
            Timer::after(LATE).await;
            ledger.run(&key, number.as_deref());
        };
        self.spawner.spawn(run).detach();
    }
}

impl Handler for Server {
    fn handle(&self, req: Request, _: SocketAddr) -> BoxFuture<'_, Response> {
        Box::pin(self.answer(req))
    }
}

impl Done {
    fn response(&self) -> Response {
        let mut res = json(StatusCode::Ok, self);
        res.insert_header(REQUEST_ID, self.request.as_str());
        res
    }
}

/// A call that runs, counted until dropped.
struct Running<'a>(&'a AtomicU32);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The number of an order, where its body is JSON with a field `order`.
fn number(body: &[u8]) -> Option<String> {
    let body: Value = serde_json::from_slice(body).ok()?;
    body["order"].as_str().map(str::to_owned)
}

fn error(status: StatusCode, why: &str) -> Response {
    json(status, &json!({ "error": why }))
}
