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
use crate::respond::{json_response, never_respond, path_segments, read_json, reset_halfway};

/// The maximum size of an order's body.
const MAX_BODY_BYTES: usize = 1 << 20;
/// The header with the key of an order.
const ORDER_KEY_HEADER: &str = "idempotency-key";
/// The header with the id of a call, which the answer repeats.
const REQUEST_ID_HEADER: &str = "x-request-id";
/// The header of a refusal that states that the order did not run.
const NOT_RUN_HEADER: &str = "x-not-run";
const REQUEST_LIMIT_HEADER: &str = "x-request-limit";
/// The delay after which an order runs whose connection was reset by [`CallFault::RunLate`].
const LATE_RUN_DELAY: Duration = Duration::from_millis(300);

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
    last_result: Option<OrderResult>,
    report_count: u64,
}

/// The answer to an order that ran.
#[derive(Clone, Debug, Serialize)]
struct OrderResult {
    order: String,
    run: u32,
    version: String,
    #[serde(skip)]
    request_id: String,
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
                last_result: None,
                report_count: 0,
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
        let path = path_segments(&req);
        let path: Vec<_> = path.iter().map(String::as_str).collect();
        match (req.method(), &path[..]) {
            (Method::Get, ["orders", key]) => self.order_status(key),
            (Method::Get, ["load"]) => json_response(StatusCode::Ok, &self.load()),
            (Method::Get, ["health"]) => Response::new(StatusCode::Ok),
            (Method::Get, ["control", "ledger"]) => {
                json_response(StatusCode::Ok, &self.ledger.entries())
            }
            (Method::Get, ["control", "faults"]) => {
                json_response(StatusCode::Ok, &self.lock().faults)
            }
            (Method::Put, ["control", "faults"]) => match read_json(&mut req).await {
                Ok(faults) => {
                    self.set_faults(faults);
                    Response::new(StatusCode::NoContent)
                }
                Err(message) => error(StatusCode::BadRequest, &message),
            },
            _ => {
                self.running.fetch_add(1, Ordering::Relaxed);
                let _running = RunningGuard(&self.running);
                let limit = self.lock().faults.request_limit;
                let mut res = self.handle_order(req).await;
                if let Some(limit) = limit {
                    res.insert_header(REQUEST_LIMIT_HEADER, limit.to_string());
                }
                res
            }
        }
    }

    /// Returns whether an order was received or ran.
    fn order_status(&self, key: &str) -> Response {
        match self.ledger.entry(key) {
            Some(entry) => {
                let state = if entry.runs > 0 { "ran" } else { "received" };
                let found = json!({"order": key, "state": state, "runs": entry.runs});
                json_response(StatusCode::Ok, &found)
            }
            None => error(StatusCode::NotFound, "no such order"),
        }
    }

    fn load(&self) -> LoadReport {
        let mut state = self.lock();
        state.report_count += 1;
        LoadReport {
            sequence: state.report_count,
            running: self.running.load(Ordering::Relaxed),
            versions: vec![self.version.as_str().into()],
            ..LoadReport::default()
        }
    }

    /// Runs an order with its injected fault.
    async fn handle_order(&self, mut req: Request) -> Response {
        let body = match read_body(req.take_body(), MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(err) => return error(StatusCode::BadRequest, &err.to_string()),
        };
        let header = |name| req.header(name).map(|value| value.as_str().to_owned());
        let request_id = header(REQUEST_ID_HEADER).unwrap_or_default();
        let key = header(ORDER_KEY_HEADER).unwrap_or_else(|| request_id.clone());
        let (fault, delay) = self.draw();
        if fault == Some(CallFault::Refused) {
            let mut res = error(StatusCode::ServiceUnavailable, "injected fault: not run");
            res.insert_header(NOT_RUN_HEADER, "1");
            return res;
        }
        self.ledger.record_received(&key);
        Timer::after(delay).await;
        let number = order_number(&body);
        let number = number.as_deref();
        let run = || self.run_order(&key, number, &request_id);
        match fault {
            Some(CallFault::Failed) => error(StatusCode::InternalServerError, "injected fault"),
            Some(CallFault::ResetBefore) => reset_halfway(Response::new(StatusCode::Ok)).await,
            Some(CallFault::ResetAfter) => reset_halfway(run().response()).await,
            Some(CallFault::Hung) => {
                run();
                never_respond().await
            }
            Some(CallFault::RunLate) => {
                self.run_later(key, number);
                reset_halfway(Response::new(StatusCode::Ok)).await
            }
            Some(CallFault::EarlierAnswer) => {
                let earlier = self.lock().last_result.clone();
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

    fn run_order(&self, key: &str, number: Option<&str>, request_id: &str) -> OrderResult {
        let result = OrderResult {
            order: key.to_owned(),
            run: self.ledger.record_run(key, number),
            version: self.version.clone(),
            request_id: request_id.to_owned(),
        };
        self.lock().last_result = Some(result.clone());
        result
    }

    fn run_later(&self, key: String, number: Option<&str>) {
        let ledger = self.ledger.clone();
        let number = number.map(str::to_owned);
        let run = async move {
            Timer::after(LATE_RUN_DELAY).await;
            ledger.record_run(&key, number.as_deref());
        };
        self.spawner.spawn(run).detach();
    }
}

impl Handler for Server {
    fn handle(&self, req: Request, _: SocketAddr) -> BoxFuture<'_, Response> {
        Box::pin(self.answer(req))
    }
}

impl OrderResult {
    fn response(&self) -> Response {
        let mut res = json_response(StatusCode::Ok, self);
        res.insert_header(REQUEST_ID_HEADER, self.request_id.as_str());
        res
    }
}

/// Counts a call as running until dropped.
struct RunningGuard<'a>(&'a AtomicU32);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns the number of an order, if its body is JSON with a string field `order`.
fn order_number(body: &[u8]) -> Option<String> {
    let body: Value = serde_json::from_slice(body).ok()?;
    body["order"].as_str().map(str::to_owned)
}

fn error(status: StatusCode, message: &str) -> Response {
    json_response(status, &json!({ "error": message }))
}
