//! The callers' endpoints.

use std::{net::SocketAddr, sync::Arc};

use futures_lite::io::BufReader;
use http_types::{headers, Body, Method, Request, Response, StatusCode};
use serde_json::json;
use slog::{info, o};

use super::{
    answer::Shape,
    choose::Arrival,
    generate::{Driver, Signal},
    order,
    resume::{self, Tickets},
    service, suspect, Endpoint, Parts, Prompt, Refusal,
};
use crate::{
    kernel::{moves, routing, RequestId},
    peer::Watch,
    settings::{Identity, ResolvedPolicy, Route, Scope, ServiceKind, Snapshot},
    wire::{self, BodyError, BoxFuture, Handler},
};

/// Bytes of an answer held for a caller that reads slowly.
const OUT_BYTES: usize = 4 * 1024;

/// Bytes of an answer taken from the held ones at a time.
const OUT_READ: usize = 2 * 1024;

/// The header by which a caller names its request, and that its answer carries.
const REQUEST_ID: &str = "x-request-id";

/// Longest name of a request, in bytes.
const REQUEST_ID_BYTES: usize = 128;

/// Serves callers.
pub struct Front {
    parts: Arc<Parts>,
}

impl Front {
    /// A front that works with a node's parts.
    pub fn new(parts: Arc<Parts>) -> Front {
        Front { parts }
    }

    async fn answer(&self, mut req: Request) -> Response {
        let name = match request_name(&req) {
            Ok(name) => name,
            Err(refusal) => return refusal.response(),
        };
        let mut res = match self.dispatch(&mut req, &name).await {
            Ok(res) => res,
            Err(refusal) => {
                info!(self.parts.log, "refused"; "request" => &name, "path" => req.url().path(),
                    "refusal" => refusal.body().to_string());
                refusal.response()
            }
        };
        res.insert_header(REQUEST_ID, name);
        res
    }

    async fn dispatch(&self, req: &mut Request, name: &str) -> Result<Response, Refusal> {
        let snapshot = self.parts.settings.load_full();
        let identity = identify(&snapshot, req)?;
        let path = req.url().path().to_owned();
        match (req.method(), path.as_str()) {
            (Method::Get, "/v1/models") => Ok(models(&snapshot, &identity)),
            (Method::Post, "/v1/completions") => {
                self.generate(req, name, &snapshot, &identity, Endpoint::Completions)
                    .await
            }
            (Method::Post, "/v1/chat/completions") => {
                self.generate(req, name, &snapshot, &identity, Endpoint::Chat)
                    .await
            }
            (_, path) => match path.strip_prefix("/services/") {
                Some(rest) => self.serve(req, name, &snapshot, &identity, rest).await,
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
        name: &str,
        snapshot: &Snapshot,
        identity: &Identity,
        endpoint: Endpoint,
    ) -> Result<Response, Refusal> {
        let body = self.body(req, snapshot).await?;
        let prompt = Prompt::parse(endpoint, &body)?;
        let tickets = Tickets::new(snapshot, identity, &prompt);
        let resumed = tickets.resumed(req, &prompt)?;
        let route = route(snapshot, identity, &prompt.model, ServiceKind::Model)?;
        let (route, watch) = match &resumed {
            // The version is pinned for the answer's life, whatever a move has chosen since, and
            // the answer is counted where it began.
            Some(from) => {
                let watch = self.parts.moves.unwatched(&route.service);
                let pinned = snapshot.pinned_route(identity, &prompt.model, &from.ticket.version);
                (pinned.ok_or_else(|| resume::gone(&from.ticket))?, watch)
            }
            None => self.watch(snapshot, identity, route, req.url().path(), name),
        };
        let policy = self.policy(snapshot, identity, &route);
        let id: RequestId = match &resumed {
            Some(from) => from.ticket.generation.clone(),
            None => format!("g-{:016x}", fastrand::u64(..)).into(),
        };
        let log = self.parts.log.new(
            o!("request" => name.to_owned(), "generation" => id.to_string(),
            "account" => identity.account.to_string(), "caller" => identity.caller.to_string(),
            "service" => route.service.to_string()),
        );
        if let Some(refusal) = suspect::refusal(&self.parts, &policy, &tickets.content()) {
            return Err(refusal);
        }
        let chooser = &self.parts.chooser;
        let prefix = routing::block_hashes(&prompt.text);
        let arrival = Arrival {
            identity,
            route: &route,
            path: endpoint.path(),
            ask: chooser.ask(prefix.clone(), prompt.text.len(), 0, prompt.tokens),
            runs: resumed.is_some(),
        };
        let admitted = chooser.admit(arrival).await?;
        let (reader, out) = match prompt.stream {
            true => {
                let (reader, writer) = piper::pipe(OUT_BYTES);
                (Some(reader), Some(writer))
            }
            false => (None, None),
        };
        let (signal, signals) = async_channel::bounded(2);
        let shape = Shape::new(name, &prompt.model, endpoint);
        let driver = Driver {
            id,
            shape: shape.clone(),
            prompt,
            route,
            watch,
            parts: self.parts.clone(),
            policy,
            log,
            out,
            signal,
            tickets,
            resumed,
            admitted,
            prefix,
        };
        self.parts.spawner.spawn(driver.run()).detach();
        match reader {
            Some(reader) => streamed(reader, &signals).await,
            None => gathered(&shape, &signals).await,
        }
    }

    /// Gives a request its version by the moves in force.
    fn watch(
        &self,
        snapshot: &Snapshot,
        identity: &Identity,
        route: Route,
        path: &str,
        request: &str,
    ) -> (Route, Watch) {
        let centre = &self.parts.data_centre;
        let moves = &self.parts.moves;
        moves.watch(snapshot, identity, route, path, request, centre)
    }

    /// The policy of a caller's requests on a route.
    fn policy(&self, snapshot: &Snapshot, identity: &Identity, route: &Route) -> ResolvedPolicy {
        snapshot.tree.resolve(&Scope {
            service: Some(&route.service),
            version: Some(&route.version),
            account: Some(&identity.account),
            caller: Some(&identity.caller),
            ..self.parts.scope()
        })
    }

    /// Reads a request's whole body, within the bounds of the node's data centre.
    async fn body(&self, req: &mut Request, snapshot: &Snapshot) -> Result<Vec<u8>, Refusal> {
        let bounds = snapshot.tree.resolve(&self.parts.scope()).bounds;
        let limit = usize::try_from(bounds.body).unwrap_or(usize::MAX);
        wire::read_body_within(req.take_body(), limit, bounds.body_time)
            .await
            .map_err(|err| body_refusal(&err))
    }

    async fn serve(
        &self,
        req: &mut Request,
        name: &str,
        snapshot: &Snapshot,
        identity: &Identity,
        rest: &str,
    ) -> Result<Response, Refusal> {
        let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
        let route = route(snapshot, identity, service, ServiceKind::Plain)?;
        let (route, watch) = self.watch(snapshot, identity, route, path, name);
        let log = self.parts.log.new(o!("request" => name.to_owned(),
            "account" => identity.account.to_string(), "caller" => identity.caller.to_string(),
            "service" => route.service.to_string()));
        let body = self.body(req, snapshot).await?;
        let call = service::read(req, &format!("/{path}"), name, body);
        let content = suspect::content(identity, &call);
        let policy = self.policy(snapshot, identity, &route);
        if !snapshot.is_idempotent(&route.service, &call.path) && !is_safe(call.method) {
            let key = order::key(req)?;
            let parts = &self.parts;
            let answer = order::call(parts, identity, route, &policy, call, &key, log).await;
            // The backend server is not known here: an order is one incident in any case.
            match &answer {
                Ok(res) if !res.status().is_server_error() => watch.whole(1, ""),
                Err(refusal) if !refusal.is_unknown() => {}
                _ => watch.end(moves::Outcome::Error, &key),
            }
            return answer;
        }
        if let Some(refusal) = suspect::refusal(&self.parts, &policy, &content) {
            return Err(refusal);
        }
        service::call(&self.parts, &route, &call, content, &watch, &log)
            .await
            .map(service::response)
    }
}

impl Handler for Front {
    fn handle(&self, req: Request, _from: SocketAddr) -> BoxFuture<'_, Response> {
        Box::pin(self.answer(req))
    }
}

/// Reports whether a method only looks (RFC 9110, section 9.2.1).
fn is_safe(method: Method) -> bool {
    matches!(method, Method::Get | Method::Head | Method::Options)
}

/// Turns a body that could not be read into a refusal.
fn body_refusal(err: &BodyError) -> Refusal {
    let status = match err {
        BodyError::TooLong { .. } => StatusCode::PayloadTooLarge,
        BodyError::Slow { .. } => StatusCode::RequestTimeout,
        BodyError::Truncated { .. } | BodyError::Broken { .. } => StatusCode::BadRequest,
    };
    Refusal::new(status, err.to_string())
}

/// Takes the caller's name of the request, or makes one.
fn request_name(req: &Request) -> Result<String, Refusal> {
    let Some(header) = req.header(REQUEST_ID) else {
        return Ok(format!("r-{:016x}", fastrand::u64(..)));
    };
    let name = header.as_str();
    let fits =
        (1..=REQUEST_ID_BYTES).contains(&name.len()) && name.bytes().all(|b| b.is_ascii_graphic());
    if fits {
        return Ok(name.to_owned());
    }
    Err(Refusal::invalid(
        REQUEST_ID,
        format!(
            "{name:?} is not 1 to {REQUEST_ID_BYTES} printable ASCII characters without a space"
        ),
    ))
}

/// Finds the caller by its key.
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

/// Finds where a caller's requests for a service go.
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

/// Lists the models that a caller may use.
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

/// Begins a streamed answer when its first tokens are there.
async fn streamed(
    reader: piper::Reader,
    signals: &async_channel::Receiver<Signal>,
) -> Result<Response, Refusal> {
    match signals.recv().await {
        Ok(Signal::Refused(refusal)) => Err(refusal),
        Ok(Signal::Began | Signal::Complete { .. }) => {
            let mut res = Response::new(StatusCode::Ok);
            let body = BufReader::with_capacity(OUT_READ, reader);
            res.set_body(Body::from_reader(body, None));
            res.insert_header(headers::CONTENT_TYPE, "text/event-stream");
            res.insert_header(headers::CACHE_CONTROL, "no-cache");
            Ok(res)
        }
        Err(_) => Err(stopped()),
    }
}

/// Waits for an answer that is not streamed.
async fn gathered(
    shape: &Shape,
    signals: &async_channel::Receiver<Signal>,
) -> Result<Response, Refusal> {
    loop {
        match signals.recv().await {
            Ok(Signal::Began) => {}
            Ok(Signal::Refused(refusal)) => return Err(refusal),
            Ok(Signal::Complete {
                text,
                reason,
                usage,
            }) => {
                let mut res = Response::new(StatusCode::Ok);
                res.set_body(shape.whole(&text, reason, usage));
                res.set_content_type(http_types::mime::JSON);
                return Ok(res);
            }
            Err(_) => return Err(stopped()),
        }
    }
}

/// The refusal of a generation whose driver ended without a word, as at a node's stop.
fn stopped() -> Refusal {
    Refusal::busy("the node stops", std::time::Duration::from_secs(1))
}
