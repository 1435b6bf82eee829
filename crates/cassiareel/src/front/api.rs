//! The endpoints for callers.

use std::{future, net::SocketAddr, sync::Arc, time::Duration};

use async_channel::Receiver;
use bytes::Bytes;
use futures_lite::{io::BufReader, FutureExt};
use http_types::{headers, Body, Method, Request, Response, StatusCode};
use serde_json::json;
use slog::{info, o};

use super::{
    answer::AnswerFormat,
    choose::IncomingRequest,
    generate::{Driver, Signal},
    order,
    resume::{self, TicketIssuer},
    service, suspect, Endpoint, FrontContext, Outcome, Prompt, Refusal,
};
use crate::{
    kernel::{moves, routing, RequestId},
    peer::CountedRequest,
    settings::{Identity, ResolvedPolicy, Route, Scope, ServiceKind, Snapshot},
    wire::{self, BodyError, BoxFuture, Handler},
};

/// Bytes of an answer that are buffered for a caller that reads slowly.
const PIPE_BYTES: usize = 4 * 1024;

/// Bytes that are read from the buffered answer at a time.
const READ_BYTES: usize = 2 * 1024;

/// The header with the request id, in requests and answers.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Length limit of a request id, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// Value of `Retry-After` in refusals of a node that stops.
const STOP_RETRY_AFTER: Duration = Duration::from_secs(1);

/// After this time, a caller may retry a request whose body found no memory.
const MEMORY_RETRY: Duration = Duration::from_secs(1);

/// Serves the requests of callers.
pub struct CallerApi {
    context: Arc<FrontContext>,
    /// Closed at the end of a planned stop.
    stopped: Option<Receiver<()>>,
}

impl CallerApi {
    /// Creates the interface with a node's context.
    pub fn new(context: Arc<FrontContext>) -> CallerApi {
        CallerApi {
            context,
            stopped: None,
        }
    }

    /// Sets the channel whose closing ends the requests that have no answer yet: they get status 504.
    pub fn with_stop(mut self, stopped: Receiver<()>) -> CallerApi {
        self.stopped = Some(stopped);
        self
    }

    async fn answer(&self, mut req: Request) -> Response {
        let request_id = match take_request_id(&req) {
            Ok(id) => id,
            Err(refusal) => return refusal.response(),
        };
        let answered = self
            .dispatch(&mut req, &request_id)
            .or(self.wait_for_stop());
        let mut res = match answered.await {
            Ok(res) => res,
            Err(refusal) => {
                info!(self.context.log, "refused"; "request" => &request_id,
                    "path" => req.url().path(), "refusal" => refusal.body().to_string());
                refusal.response()
            }
        };
        res.insert_header(REQUEST_ID_HEADER, request_id);
        res
    }

    /// Waits until the node has stopped, and returns the refusal of a request that may have run by then.
    async fn wait_for_stop(&self) -> Result<Response, Refusal> {
        match &self.stopped {
            // Nothing is sent on the channel, so this waits until it is closed.
            Some(stopped) => drop(stopped.recv().await),
            None => future::pending().await,
        }
        let message = "the node stopped before the answer";
        Err(Refusal::new(StatusCode::GatewayTimeout, message)
            .with_code("node_stopped")
            .with_outcome(Outcome::Unknown))
    }

    async fn dispatch(&self, req: &mut Request, request_id: &str) -> Result<Response, Refusal> {
        if self.stopped.as_ref().is_some_and(Receiver::is_closed) {
            return Err(node_stopping());
        }
        let snapshot = self.context.settings.load_full();
        let identity = identify(&snapshot, req)?;
        let path = req.url().path().to_owned();
        match (req.method(), path.as_str()) {
            (Method::Get, "/v1/models") => Ok(models(&snapshot, &identity)),
            (Method::Post, "/v1/completions") => {
                self.generate(req, request_id, &snapshot, &identity, Endpoint::Completions)
                    .await
            }
            (Method::Post, "/v1/chat/completions") => {
                self.generate(req, request_id, &snapshot, &identity, Endpoint::Chat)
                    .await
            }
            (_, path) => match path.strip_prefix("/services/") {
                Some(rest) => {
                    self.call_service(req, request_id, &snapshot, &identity, rest)
                        .await
                }
                None => Err(Refusal::new(
                    StatusCode::NotFound,
                    format!("there is nothing at {} {path}", req.method()),
                )),
            },
        }
    }

    async fn generate(
        &self,
        req: &mut Request,
        request_id: &str,
        snapshot: &Snapshot,
        identity: &Identity,
        endpoint: Endpoint,
    ) -> Result<Response, Refusal> {
        let body = self.read_request_body(req, snapshot).await?;
        let prompt = Prompt::parse(endpoint, &body)?;
        let tickets = TicketIssuer::new(snapshot, identity, &prompt);
        let resumed = tickets.resumed(req, &prompt)?;
        let route = route(snapshot, identity, &prompt.model, ServiceKind::Model)?;
        let (route, watch) = match &resumed {
            // The version is pinned for the whole answer, whatever moves have started since, and
            // the answer is counted at the node where it started.
            Some(from) => {
                let watch = self.context.shared.uncounted(&route.service);
                let pinned = snapshot.pinned_route(identity, &prompt.model, &from.ticket.version);
                (
                    pinned.ok_or_else(|| resume::version_gone(&from.ticket))?,
                    watch,
                )
            }
            None => self.assign_version(snapshot, identity, route, req.url().path(), request_id),
        };
        let policy = self.policy(snapshot, identity, &route);
        let id: RequestId = match &resumed {
            Some(from) => from.ticket.generation.clone(),
            None => format!("g-{:016x}", fastrand::u64(..)).into(),
        };
        let log = self.context.log.new(
            o!("request" => request_id.to_owned(), "generation" => id.to_string(),
            "account" => identity.account.to_string(), "caller" => identity.caller.to_string(),
            "service" => route.service.to_string()),
        );
        if let Some(refusal) = suspect::refusal(&self.context, &policy, &tickets.content_digest()) {
            return Err(refusal);
        }
        let parts = suspect::part_keys(&prompt);
        if let Some(refusal) = suspect::part_refusal(&self.context, &log, &parts) {
            return Err(refusal);
        }
        let chooser = &self.context.chooser;
        let prefix = routing::block_hashes(&prompt.text);
        let incoming = IncomingRequest {
            identity,
            route: &route,
            path: endpoint.path(),
            routing: chooser.routing_request(
                prefix.clone(),
                prompt.text.len(),
                0,
                prompt.max_tokens,
            ),
            is_running: resumed.is_some(),
        };
        let admitted = chooser.admit(incoming).await?;
        let (reader, out) = match prompt.stream {
            true => {
                let (reader, writer) = piper::pipe(PIPE_BYTES);
                (Some(reader), Some(writer))
            }
            false => (None, None),
        };
        let (signal, signals) = async_channel::bounded(2);
        let format = AnswerFormat::new(request_id, &prompt.model, endpoint);
        let driver = Driver {
            id,
            format: format.clone(),
            prompt,
            parts,
            route,
            watch,
            context: self.context.clone(),
            policy,
            log,
            out,
            signal,
            tickets,
            resumed,
            admitted,
            prefix,
        };
        self.context.spawner.spawn(driver.run()).detach();
        match reader {
            Some(reader) => stream_answer(reader, &signals).await,
            None => collect_answer(&format, &signals).await,
        }
    }

    /// Assigns a request its version according to the moves in force.
    fn assign_version(
        &self,
        snapshot: &Snapshot,
        identity: &Identity,
        route: Route,
        path: &str,
        request_id: &str,
    ) -> (Route, CountedRequest) {
        let data_centre = &self.context.data_centre;
        let shared = &self.context.shared;
        shared.assign_version(snapshot, identity, route, path, request_id, data_centre)
    }

    /// Resolves the policy for a caller's requests on a route.
    fn policy(&self, snapshot: &Snapshot, identity: &Identity, route: &Route) -> ResolvedPolicy {
        snapshot.tree.resolve(&Scope {
            service: Some(&route.service),
            version: Some(&route.version),
            account: Some(&identity.account),
            caller: Some(&identity.caller),
            ..self.context.scope()
        })
    }

    /// Reads a request's whole body within the data centre's limits on size and time.
    async fn read_request_body(
        &self,
        req: &mut Request,
        snapshot: &Snapshot,
    ) -> Result<Bytes, Refusal> {
        let bounds = snapshot.tree.resolve(&self.context.scope()).bounds;
        let limit = usize::try_from(bounds.body).unwrap_or(usize::MAX);
        wire::read_body_within(req.take_body(), limit, bounds.body_time)
            .await
            .map_err(|err| body_refusal(&err))
    }

    async fn call_service(
        &self,
        req: &mut Request,
        request_id: &str,
        snapshot: &Snapshot,
        identity: &Identity,
        rest: &str,
    ) -> Result<Response, Refusal> {
        let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
        let route = route(snapshot, identity, service, ServiceKind::Plain)?;
        let (route, watch) = self.assign_version(snapshot, identity, route, path, request_id);
        let log = self.context.log.new(o!("request" => request_id.to_owned(),
            "account" => identity.account.to_string(), "caller" => identity.caller.to_string(),
            "service" => route.service.to_string()));
        let body = self.read_request_body(req, snapshot).await?;
        let call = service::read_call(req, &format!("/{path}"), request_id, body);
        let content = suspect::call_digest(identity, &call);
        let policy = self.policy(snapshot, identity, &route);
        if !snapshot.is_idempotent(&route.service, &call.path) && !is_safe(call.method) {
            let key = order::take_key(req)?;
            let context = &self.context;
            let answer = order::call(context, identity, route, &policy, call, &key, log).await;
            // The backend server is not known here. The key stands in for it, so that each order
            // counts as one incident.
            match &answer {
                Ok(res) if !res.status().is_server_error() => watch.record_answer(1, ""),
                Err(refusal) if !refusal.is_unknown() => {}
                _ => watch.record_outcome(moves::Outcome::Error, &key),
            }
            return answer;
        }
        if let Some(refusal) = suspect::refusal(&self.context, &policy, &content) {
            return Err(refusal);
        }
        let answer_timeout = policy.time.answer;
        let answer = service::call(
            &self.context,
            &route,
            answer_timeout,
            &call,
            content,
            &watch,
            &log,
        );
        answer.await.map(service::response)
    }
}

impl Handler for CallerApi {
    fn handle(&self, req: Request, _from: SocketAddr) -> BoxFuture<'_, Response> {
        Box::pin(self.answer(req))
    }
}

/// Reports whether a method is safe (RFC 9110, section 9.2.1).
fn is_safe(method: Method) -> bool {
    matches!(method, Method::Get | Method::Head | Method::Options)
}

/// Returns the refusal of a request whose body could not be read.
fn body_refusal(err: &BodyError) -> Refusal {
    let status = match err {
        BodyError::NoMemory => return Refusal::busy(err.to_string(), MEMORY_RETRY),
        BodyError::TooLong { .. } => StatusCode::PayloadTooLarge,
        BodyError::TimedOut { .. } => StatusCode::RequestTimeout,
        BodyError::Truncated { .. } | BodyError::Io { .. } => StatusCode::BadRequest,
    };
    Refusal::new(status, err.to_string())
}

/// Reads the request id that the caller set, or generates one.
fn take_request_id(req: &Request) -> Result<String, Refusal> {
    let Some(header) = req.header(REQUEST_ID_HEADER) else {
        return Ok(format!("r-{:016x}", fastrand::u64(..)));
    };
    let name = header.as_str();
    let is_valid = (1..=MAX_REQUEST_ID_BYTES).contains(&name.len())
        && name.bytes().all(|b| b.is_ascii_graphic());
    if is_valid {
        return Ok(name.to_owned());
    }
    Err(Refusal::invalid(
        REQUEST_ID_HEADER,
        format!(
            "{name:?} is not 1 to {MAX_REQUEST_ID_BYTES} printable ASCII characters without a space"
        ),
    ))
}

/// Authenticates the caller by its key.
fn identify(snapshot: &Snapshot, req: &Request) -> Result<Identity, Refusal> {
    let refusal = |message: &str| {
        Refusal::new(StatusCode::Unauthorized, message).with_code("invalid_api_key")
    };
    let header = req
        .header(headers::AUTHORIZATION)
        .ok_or_else(|| refusal("no key: send `Authorization: Bearer KEY`"))?;
    let key = header
        .as_str()
        .strip_prefix("Bearer ")
        .ok_or_else(|| refusal("the authorization is not `Bearer KEY`"))?;
    snapshot
        .identify(key.trim())
        .cloned()
        .ok_or_else(|| refusal("the key is not known"))
}

/// Finds the route of a caller's requests to a service.
fn route(
    snapshot: &Snapshot,
    identity: &Identity,
    service: &str,
    kind: ServiceKind,
) -> Result<Route, Refusal> {
    snapshot
        .route(identity, service)
        .filter(|route| route.kind == kind)
        .ok_or_else(|| {
            let message = format!("{service:?} does not exist or is not among your services");
            Refusal::new(StatusCode::NotFound, message).with_code("model_not_found")
        })
}

/// Returns the list of models that a caller may use.
fn models(snapshot: &Snapshot, identity: &Identity) -> Response {
    let services = &snapshot.tree.services;
    let data: Vec<serde_json::Value> = services
        .keys()
        .filter_map(|name| snapshot.route(identity, name))
        .filter(|route| route.kind == ServiceKind::Model)
        .map(|route| json!({"id": &*route.service, "object": "model", "created": 0, "owned_by": "cassiareel"}))
        .collect();
    let mut res = Response::new(StatusCode::Ok);
    res.set_body(json!({"object": "list", "data": data}).to_string());
    res.set_content_type(http_types::mime::JSON);
    res
}

/// Starts a streamed response once the first tokens have arrived.
async fn stream_answer(
    reader: piper::Reader,
    signals: &async_channel::Receiver<Signal>,
) -> Result<Response, Refusal> {
    match signals.recv().await {
        Ok(Signal::Refused(refusal)) => Err(refusal),
        Ok(Signal::Started | Signal::Complete { .. }) => {
            let mut res = Response::new(StatusCode::Ok);
            let body = BufReader::with_capacity(READ_BYTES, reader);
            res.set_body(Body::from_reader(body, None));
            res.insert_header(headers::CONTENT_TYPE, "text/event-stream");
            res.insert_header(headers::CACHE_CONTROL, "no-cache");
            Ok(res)
        }
        Err(_) => Err(node_stopping()),
    }
}

/// Waits for the complete answer of a request that is not streamed.
async fn collect_answer(
    format: &AnswerFormat,
    signals: &async_channel::Receiver<Signal>,
) -> Result<Response, Refusal> {
    loop {
        match signals.recv().await {
            Ok(Signal::Started) => {}
            Ok(Signal::Refused(refusal)) => return Err(refusal),
            Ok(Signal::Complete {
                text,
                reason,
                usage,
            }) => {
                let mut res = Response::new(StatusCode::Ok);
                res.set_body(format.full_body(&text, reason, usage));
                res.set_content_type(http_types::mime::JSON);
                return Ok(res);
            }
            Err(_) => return Err(node_stopping()),
        }
    }
}

/// Returns the refusal of a request that a node which stops does not start, or of a generation whose
/// driver was dropped without a signal.
fn node_stopping() -> Refusal {
    Refusal::busy("the node stops", STOP_RETRY_AFTER)
}
