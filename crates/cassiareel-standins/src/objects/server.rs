//! The object API's HTTP interface.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use async_channel::Sender;
use cassiareel::wire::{read_body, BodyError, BoxFuture, Handler};
use http_types::{headers, mime, Body, Method, Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::json;
use smol::Timer;

use super::{
    faults::{CallClass, CallFault, Faults, RateLimits},
    interceptor::{CallCounts, Interceptor},
    store::{Metadata, Refusal, Store, StoredObject, WatchEvent, API_VERSION},
};
use crate::{
    channel_body::{BodyPart, ChannelBody},
    respond::{json_response, never_respond, path_segments, query_param, read_json, reset_halfway},
};

/// The maximum size of an object.
const MAX_OBJECT_BYTES: usize = 1 << 20;
/// The header with the store's era.
const ERA_HEADER: &str = "x-object-era";
/// The value of `Retry-After` during an outage.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The duration of a watch whose client sets no timeout.
const DEFAULT_WATCH_DURATION: Duration = Duration::from_secs(300);

/// The object API behind its listener.
#[derive(Debug)]
pub(super) struct Server {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    interceptor: Interceptor,
    store: Store,
    copy: Store,
    watchers: Vec<Watcher>,
}

/// A client that watches the objects of a kind.
#[derive(Debug)]
struct Watcher {
    kind: String,
    body_sender: Sender<BodyPart>,
}

/// The optional body of a deletion.
#[derive(Default, Deserialize)]
struct DeleteOptions {
    #[serde(default)]
    preconditions: Preconditions,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Preconditions {
    #[serde(default)]
    resource_version: Option<String>,
}

impl Server {
    pub(super) fn new(rates: RateLimits, seed: u64) -> Arc<Server> {
        Arc::new(Server {
            state: Mutex::new(State {
                interceptor: Interceptor::new(rates, seed),
                store: Store::default(),
                copy: Store::default(),
                watchers: Vec::new(),
            }),
        })
    }

    async fn answer(&self, mut req: Request) -> Response {
        let path = path_segments(&req);
        let path: Vec<_> = path.iter().map(String::as_str).collect();
        match &path[..] {
            ["apis", "cassiareel.dev", "v1", "namespaces", "default", kind, rest @ ..] => {
                let mut res = self.intercept(&mut req, kind, rest).await;
                // A watch has set the era in which it began.
                if res.header(ERA_HEADER).is_none() {
                    res.insert_header(ERA_HEADER, self.lock().store.era().to_string());
                }
                res
            }
            ["control", action] => self.control(&mut req, action).await,
            _ => status_object(StatusCode::NotFound, "NotFound", "no such path"),
        }
    }

    /// Checks a call against the rate limits, and dispatches it with its injected fault.
    async fn intercept(&self, req: &mut Request, kind: &str, rest: &[&str]) -> Response {
        let body = match read_body(req.take_body(), MAX_OBJECT_BYTES).await {
            Ok(body) => body,
            Err(err @ BodyError::TooLong { .. }) => {
                let code = StatusCode::PayloadTooLarge;
                return status_object(code, "RequestEntityTooLarge", &err.to_string());
            }
            Err(err) => {
                return status_object(StatusCode::BadRequest, "BadRequest", &err.to_string())
            }
        };
        let class = match req.method() {
            Method::Get if query_param(req, "watch").is_some() => CallClass::Watch,
            Method::Get => CallClass::Read,
            _ => CallClass::Write,
        };
        let call = format!("{} {kind}", req.method());
        let checked = self.lock().interceptor.check(class, call);
        let delay = self.lock().interceptor.faults.delay();
        let fault = match checked {
            Ok(fault) => fault,
            Err(throttled) => {
                return retry_later(StatusCode::TooManyRequests, throttled.retry_after)
            }
        };
        Timer::after(delay).await;
        match fault {
            Some(CallFault::Refused) => {
                retry_later(StatusCode::ServiceUnavailable, OUTAGE_RETRY_AFTER)
            }
            Some(CallFault::Failed) => status_object(
                StatusCode::InternalServerError,
                "InternalError",
                "injected fault",
            ),
            Some(CallFault::Hung) => never_respond().await,
            Some(CallFault::ResetBefore) => reset_halfway(Response::new(StatusCode::Ok)).await,
            Some(CallFault::ResetAfter) => {
                reset_halfway(self.dispatch(req, kind, rest, &body)).await
            }
            None => self.dispatch(req, kind, rest, &body),
        }
    }

    fn dispatch(&self, req: &Request, kind: &str, rest: &[&str], body: &[u8]) -> Response {
        let named_era = req.header(ERA_HEADER).map(|value| value.as_str());
        if named_era.is_some_and(|era| era != self.lock().store.era().to_string()) {
            let code = StatusCode::PreconditionFailed;
            return status_object(code, "Conflict", "the store is in another era");
        }
        match (req.method(), rest) {
            (Method::Get, []) if query_param(req, "watch").is_some() => self.watch(kind, req),
            (Method::Get, []) => self.list(kind),
            (Method::Post, []) => self.create(kind, body),
            (Method::Get, [name]) => self.get(kind, name),
            (Method::Put, [name]) => self.update(kind, name, body),
            (Method::Delete, [name]) => self.delete(kind, name, body),
            _ => status_object(
                StatusCode::MethodNotAllowed,
                "MethodNotAllowed",
                "no such method here",
            ),
        }
    }

    /// Handles the control paths with which tests and the demo inject faults and read counts.
    async fn control(&self, req: &mut Request, action: &str) -> Response {
        match (req.method(), action) {
            (Method::Get, "faults") => {
                json_response(StatusCode::Ok, &self.lock().interceptor.faults)
            }
            (Method::Put, "faults") => match read_json(req).await {
                Ok(faults) => {
                    self.set_faults(faults);
                    Response::new(StatusCode::NoContent)
                }
                Err(message) => status_object(StatusCode::BadRequest, "BadRequest", &message),
            },
            (Method::Get, "counts") => json_response(StatusCode::Ok, &self.call_counts()),
            (Method::Post, "copy") => {
                self.copy();
                Response::new(StatusCode::NoContent)
            }
            (Method::Post, "restore") => {
                self.restore();
                Response::new(StatusCode::NoContent)
            }
            (Method::Post, "drop-watches") => {
                self.drop_watches();
                Response::new(StatusCode::NoContent)
            }
            _ => status_object(StatusCode::NotFound, "NotFound", "no such control"),
        }
    }

    /// Replaces the injected faults. An outage also resets the connections of all watches.
    pub(super) fn set_faults(&self, faults: Faults) {
        self.lock().interceptor.faults = faults;
        if faults.outage.is_some() {
            self.drop_watches();
        }
    }

    /// Takes a copy of all objects.
    pub(super) fn copy(&self) {
        let mut state = self.lock();
        state.copy = state.store.clone();
    }

    /// Restores the last copy, and resets the connections of all watches.
    pub(super) fn restore(&self) {
        let mut state = self.lock();
        let State { store, copy, .. } = &mut *state;
        store.restore(copy);
        drop(state);
        self.drop_watches();
    }

    pub(super) fn call_counts(&self) -> CallCounts {
        let mut state = self.lock();
        state.watchers.retain(|w| !w.body_sender.is_closed());
        let open_watches = state.watchers.len() as u64;
        CallCounts {
            open_watches,
            ..state.interceptor.counts.clone()
        }
    }

    fn get(&self, kind: &str, name: &str) -> Response {
        let mut state = self.lock();
        let version = state.read_version();
        match state.store.get_at(kind, name, version) {
            Some(object) => json_response(StatusCode::Ok, object),
            None => refusal_response(Refusal::Missing, name),
        }
    }

    fn list(&self, kind: &str) -> Response {
        let mut state = self.lock();
        let version = state.read_version();
        let list = json!({
            "apiVersion": API_VERSION,
            "kind": "List",
            "metadata": {"resourceVersion": version.to_string()},
            "items": state.store.list_at(kind, version),
        });
        json_response(StatusCode::Ok, &list)
    }

    fn create(&self, kind: &str, body: &[u8]) -> Response {
        let object = match parse_object(body) {
            Ok(object) => object,
            Err(res) => return *res,
        };
        let name = object.metadata.name.clone();
        let written = self.write(kind, |store| store.create(kind, object));
        match written {
            Ok(object) => json_response(StatusCode::Created, &object),
            Err(refusal) => refusal_response(refusal, &name),
        }
    }

    fn update(&self, kind: &str, name: &str, body: &[u8]) -> Response {
        let object = match parse_object(body) {
            Ok(object) => object,
            Err(res) => return *res,
        };
        if object.metadata.name != name {
            let message = "metadata.name differs from the path";
            return status_object(StatusCode::BadRequest, "BadRequest", message);
        }
        match self.write(kind, |store| store.update(kind, object)) {
            Ok(object) => json_response(StatusCode::Ok, &object),
            Err(refusal) => refusal_response(refusal, name),
        }
    }

    fn delete(&self, kind: &str, name: &str, body: &[u8]) -> Response {
        let options: DeleteOptions = if body.is_empty() {
            DeleteOptions::default()
        } else {
            match serde_json::from_slice(body) {
                Ok(options) => options,
                Err(err) => {
                    return status_object(StatusCode::BadRequest, "BadRequest", &err.to_string());
                }
            }
        };
        let version = options.preconditions.resource_version;
        match self.write(kind, |store| store.delete(kind, name, version.as_deref())) {
            Ok(object) => json_response(StatusCode::Ok, &object),
            Err(refusal) => refusal_response(refusal, name),
        }
    }

    /// Runs a write and notifies the watchers of the kind.
    fn write<F>(&self, kind: &str, write: F) -> Result<StoredObject, Refusal>
    where
        F: FnOnce(&mut Store) -> Result<StoredObject, Refusal>,
    {
        let mut state = self.lock();
        let before = state.store.version();
        let object = write(&mut state.store)?;
        let events = state.store.changes_since(kind, before).unwrap_or_default();
        state.notify_watchers(kind, &events);
        Ok(object)
    }

    fn watch(&self, kind: &str, req: &Request) -> Response {
        let since = query_param(req, "resourceVersion").unwrap_or_default();
        let Ok(since) = since.parse::<u64>() else {
            return status_object(
                StatusCode::BadRequest,
                "BadRequest",
                "resourceVersion is no number",
            );
        };
        let limit = query_param(req, "timeoutSeconds")
            .and_then(|text| text.parse().ok())
            .map_or(DEFAULT_WATCH_DURATION, Duration::from_secs);
        let mut state = self.lock();
        let Some(events) = state.store.changes_since(kind, since) else {
            return status_object(
                StatusCode::Gone,
                "Expired",
                "the store does not have the changes since the resource version",
            );
        };
        let (sender, body) = ChannelBody::new(limit);
        if !events.is_empty() {
            let _ = sender.try_send(event_lines(&events));
        }
        state.watchers.retain(|w| !w.body_sender.is_closed());
        state.watchers.push(Watcher {
            kind: kind.to_owned(),
            body_sender: sender,
        });
        let mut res = Response::new(StatusCode::Ok);
        res.insert_header(ERA_HEADER, state.store.era().to_string());
        res.set_body(Body::from_reader(body, None));
        res.set_content_type(mime::JSON);
        res
    }

    /// Resets the connection of every watch.
    pub(super) fn drop_watches(&self) {
        for watcher in self.lock().watchers.drain(..) {
            let _ = watcher.body_sender.try_send(BodyPart::Reset);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

impl State {
    /// Returns the version at which a read is answered: the latest one, unless a stale replica
    /// answers.
    fn read_version(&mut self) -> u64 {
        let writes_behind = self.interceptor.draw_staleness();
        self.store.version().saturating_sub(writes_behind)
    }

    /// Sends events to the watchers of a kind.
    fn notify_watchers(&mut self, kind: &str, events: &[WatchEvent]) {
        let State {
            interceptor,
            watchers,
            ..
        } = self;
        let part = event_lines(events);
        watchers.retain(|watcher| {
            if watcher.kind != kind {
                return true;
            }
            if interceptor.draw_watch_drop() {
                let _ = watcher.body_sender.try_send(BodyPart::Reset);
                return false;
            }
            watcher.body_sender.try_send(part.clone()).is_ok()
        });
    }
}

impl Handler for Server {
    fn handle(&self, req: Request, _: SocketAddr) -> BoxFuture<'_, Response> {
        Box::pin(self.answer(req))
    }
}

/// Parses an object and checks its name.
fn parse_object(body: &[u8]) -> Result<StoredObject, Box<Response>> {
    let object: StoredObject = serde_json::from_slice(body)
        .map_err(|err| status_object(StatusCode::BadRequest, "BadRequest", &err.to_string()))?;
    let Metadata { name, .. } = &object.metadata;
    if name.is_empty() || name.contains('/') {
        let message = "metadata.name must be a path segment";
        return Err(status_object(StatusCode::UnprocessableEntity, "Invalid", message).into());
    }
    Ok(object)
}

/// Returns events in the form in which a watch sends them, one per line.
fn event_lines(events: &[WatchEvent]) -> BodyPart {
    let mut bytes = Vec::new();
    for event in events {
        serde_json::to_writer(&mut bytes, event).expect("writing to a vector does not fail");
        bytes.push(b'\n');
    }
    BodyPart::Bytes(bytes)
}

/// Returns the API's response to a refused call.
fn refusal_response(refusal: Refusal, name: &str) -> Response {
    match refusal {
        Refusal::Exists => status_object(StatusCode::Conflict, "AlreadyExists", name),
        Refusal::Missing => status_object(StatusCode::NotFound, "NotFound", name),
        Refusal::Stale => status_object(StatusCode::Conflict, "Conflict", name),
    }
}

/// Returns a refusal of a call without effect, with `Retry-After` rounded up to whole seconds.
fn retry_later(code: StatusCode, retry_after: Duration) -> Response {
    let mut res = status_object(code, "TooManyRequests", "ask again later");
    let seconds = retry_after.as_secs_f64().ceil().max(1.0) as u64;
    res.insert_header(headers::RETRY_AFTER, seconds.to_string());
    res
}

/// Returns a response with a `Status` object.
fn status_object(code: StatusCode, reason: &str, message: &str) -> Response {
    let body = json!({
        "kind": "Status",
        "apiVersion": "v1",
        "status": "Failure",
        "code": code as u16,
        "reason": reason,
        "message": message,
    });
    json_response(code, &body)
}
