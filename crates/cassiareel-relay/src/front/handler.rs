//! Handles one request: reads it, checks it, routes it, and logs what came of it.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_lite::{stream, FutureExt};
use http::{
    header::{CONNECTION, CONTENT_LENGTH},
    request, HeaderValue, Response,
};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use slog::info;
use smol::Timer;

use super::{
    body::{self, Cut, Reply},
    generation::{End, Generation},
    plain::{self, end_to_end},
    refusal::Refusal,
    request::Request,
};
use crate::{
    clock::{self, Moment},
    kernel::Lookup,
    metrics::Metrics,
    model::{Ask, Route, ServiceId},
    state::State,
};

/// The longest time that a body may take to arrive.
const BODY_TIME: Duration = Duration::from_secs(10);

/// How long a request may wait for fresh word before a key or a path is called unknown.
const FRESH_WAIT: Duration = Duration::from_millis(400);

/// When a caller may come back to a node that has just started.
const STARTING: Duration = Duration::from_millis(500);

/// When a caller may come back to a node that has lost its word on keys, in parts of the time for
/// which keys hold. Callers spread over it, so that they don't return together.
const UNTRUSTED: std::ops::Range<f64> = 0.2..0.4;

/// When a caller may come back to another node.
const ELSEWHERE: Duration = Duration::from_millis(20);

/// The usual time of a stream that does not tell its size.
const STREAM_TIME: Duration = Duration::from_millis(6000);

/// The time in which an engine reads one token of a prompt.
const READ_TOKEN: Duration = Duration::from_micros(240);

/// The time in which an engine generates one token.
const WRITE_TOKEN: Duration = Duration::from_micros(5300);

/// The time that a plain request may take where the route allows more.
const PLAIN_TIME: Duration = Duration::from_millis(4300);

/// Time kept back from the grace for the process's own end.
const LAST_MOMENT: Duration = Duration::from_millis(300);

/// The time for a request that names no deadline.
const NO_DEADLINE: Duration = Duration::from_secs(60);

/// Handles one request of a caller.
pub(super) async fn handle(
    state: Arc<State>,
    request: http::Request<Incoming>,
) -> Result<Reply, Infallible> {
    let arrived = clock::now();
    let (parts, body) = request.into_parts();
    let mut reply = match accept(&state, parts, body, arrived).await {
        Ok(request) => serve(&state, request).await,
        Err((ask, refusal)) => {
            log_answer(&state, ask.as_ref(), arrived, refusal.name());
            refusal.reply()
        }
    };
    if state.is_leaving() {
        let close = HeaderValue::from_static("close");
        reply.headers_mut().insert(CONNECTION, close);
    }
    Ok(reply)
}

/// Reads, checks and routes a request.
async fn accept(
    state: &State,
    parts: request::Parts,
    body: Incoming,
    arrived: Moment,
) -> Result<Request, (Option<Ask>, Refusal)> {
    let ask = match state.dialect.read_ask(&parts) {
        Ok(ask) => ask,
        Err(err) => {
            info!(state.log, "request not understood"; "cause" => %err);
            return Err((None, Refusal::BadRequest));
        }
    };
    // The body is read before any refusal, so that the connection can be kept.
    let body = match read_body(state, &ask, body).await {
        Ok(body) => body,
        Err(refusal) => return Err((Some(ask), refusal)),
    };
    let (route, tenant) = match authorize(state, &ask, arrived).await {
        Ok(found) => found,
        Err(refusal) => return Err((Some(ask), refusal)),
    };
    if !has_time(state, &route, &ask) {
        let after = ELSEWHERE;
        return Err((Some(ask), Refusal::NoPlace { after }));
    }
    let limit = ask.deadline.unwrap_or(NO_DEADLINE).min(route.timeout);
    Ok(Request {
        service: choose_service(&route),
        headers: state.dialect.clean(&parts.headers),
        method: parts.method,
        target: origin_form(parts.uri),
        body,
        route,
        tenant,
        arrived,
        end: arrived + limit,
        ask,
    })
}

/// Reports whether a node that is about to end has time for a request of a route.
fn has_time(state: &State, route: &Route, ask: &Ask) -> bool {
    let Some(left) = state.grace_left(clock::now()) else {
        return true;
    };
    let usual = if route.kind.is_stream() {
        stream_time(ask)
    } else {
        PLAIN_TIME
    };
    left >= usual.min(route.timeout) + LAST_MOMENT
}

/// The usual time of a stream from its arrival to its end.
fn stream_time(ask: &Ask) -> Duration {
    let prompt = &ask.prompt;
    if prompt.output == 0 {
        return STREAM_TIME;
    }
    let output = prompt.footprint() - prompt.input;
    READ_TOKEN.mul_f64(prompt.input as f64) + WRITE_TOKEN.mul_f64(output as f64)
}

/// Reads the whole body.
async fn read_body(state: &State, ask: &Ask, body: Incoming) -> Result<Bytes, Refusal> {
    let most = state
        .catalog()
        .map_or_else(Default::default, |catalog| catalog.limits())
        .body_bytes;
    let limit = ask.deadline.unwrap_or(BODY_TIME).min(BODY_TIME);
    let read = async {
        let read = Limited::new(body, most).collect().await;
        read.map(|read| read.to_bytes()).map_err(|err| {
            if err.is::<http_body_util::LengthLimitError>() {
                Refusal::TooLarge
            } else {
                Refusal::BadRequest
            }
        })
    };
    let late = async {
        Timer::after(limit).await;
        Err(Refusal::SlowBody)
    };
    read.or(late).await
}

/// Finds the route and the client account, by word on the configuration that is fresh enough.
async fn authorize(
    state: &State,
    ask: &Ask,
    arrived: Moment,
) -> Result<(Arc<Route>, Option<Arc<str>>), Refusal> {
    let starting = Refusal::NotInformed { after: STARTING };
    let part = UNTRUSTED.start + fastrand::f64() * (UNTRUSTED.end - UNTRUSTED.start);
    let untrusted = Refusal::NotInformed {
        after: state.settings.load().bounds.revoke.mul_f64(part),
    };
    let mut catalog = state.catalog().ok_or(starting)?;
    let mut found = catalog.find(&ask.host, &ask.path, ask.key.as_deref());
    if !matches!(found, Lookup::Found { .. }) {
        // A newer version may know the path or the key: a refusal needs as fresh a word.
        let since = arrived.saturating_sub(state.fresh_enough());
        if !state.wait_fresh(since, FRESH_WAIT).await {
            return Err(untrusted);
        }
        catalog = state.catalog().ok_or(starting)?;
        found = catalog.find(&ask.host, &ask.path, ask.key.as_deref());
    }
    match found {
        Lookup::Found { route, tenant, .. } => {
            if tenant.is_some() && !state.authority().holds(clock::now()) {
                return Err(untrusted);
            }
            Ok((route, tenant))
        }
        Lookup::NoRoute => Err(Refusal::NoRoute),
        Lookup::UnknownKey => Err(Refusal::UnknownKey),
    }
}

/// Draws one of the route's services by their weights.
fn choose_service(route: &Route) -> ServiceId {
    let total: u32 = route.targets.iter().map(|target| target.weight).sum();
    let mut drawn = fastrand::u32(0..total.max(1));
    for target in &route.targets {
        if drawn < target.weight {
            return target.service.clone();
        }
        drawn -= target.weight;
    }
    route
        .targets
        .first()
        .map_or_else(|| ServiceId::from(""), |target| target.service.clone())
}

/// Path and query alone, as sent.
fn origin_form(uri: http::Uri) -> http::Uri {
    match uri.into_parts().path_and_query {
        Some(path) => http::Uri::from(path),
        None => http::Uri::from_static("/"),
    }
}

/// Serves a request that was accepted.
async fn serve(state: &Arc<State>, request: Request) -> Reply {
    state.count_request(&request.service);
    state.metrics.open.inc();
    let guard = OpenGuard(state.clone());
    if request.route.kind.is_stream() {
        return serve_stream(state, Arc::new(request), guard).await;
    }
    match plain::serve(state, &request).await {
        Ok(reply) => {
            let outcome = if reply.status().is_success() {
                "served"
            } else {
                "failed"
            };
            log_request(state, &request, outcome);
            reply
        }
        Err(refusal) => {
            log_request(state, &request, refusal.name());
            refusal.reply()
        }
    }
}

/// Serves an event stream: the head goes out with the first event.
async fn serve_stream(state: &Arc<State>, request: Arc<Request>, guard: OpenGuard) -> Reply {
    let mut generation = Generation::new(state.clone(), request.clone());
    let first = match generation.next().await {
        Ok(Some(event)) => event,
        Ok(None) | Err(_) if generation.take_failure().is_some() => {
            log_request(state, &request, "failed");
            return Refusal::Unknown.reply();
        }
        Ok(None) => {
            log_request(state, &request, End::Broken.name());
            return End::Broken.refusal().reply();
        }
        Err(end) => {
            log_request(state, &request, end.name());
            return end.refusal().reply();
        }
    };
    let Some(head) = generation.take_head() else {
        return Refusal::Unknown.reply();
    };
    log_request(state, &request, "streaming");
    let rest = Rest {
        generation,
        request,
        state: state.clone(),
        first: Some(first.bytes),
        _guard: guard,
    };
    let chunks = stream::unfold(Some(rest), |rest| async move {
        let mut rest = rest?;
        match rest.next().await {
            Ok(Some(chunk)) => Some((Ok(chunk), Some(rest))),
            Ok(None) => None,
            Err(cut) => Some((Err(cut), None)),
        }
    });
    let mut reply = Response::new(body::stream(chunks));
    *reply.status_mut() = head.status;
    *reply.headers_mut() = end_to_end(head.headers);
    reply.headers_mut().remove(CONTENT_LENGTH);
    reply
}

/// The rest of a stream, after its first event.
struct Rest {
    generation: Generation,
    request: Arc<Request>,
    state: Arc<State>,
    first: Option<Bytes>,
    _guard: OpenGuard,
}

impl Rest {
    async fn next(&mut self) -> Result<Option<Bytes>, Cut> {
        if let Some(first) = self.first.take() {
            return Ok(Some(first));
        }
        match self.generation.next().await {
            Ok(Some(event)) => Ok(Some(event.bytes)),
            Ok(None) => {
                log_request(&self.state, &self.request, "completed");
                Ok(None)
            }
            Err(end) => {
                log_request(&self.state, &self.request, end.name());
                Err(Cut { cause: end.name() })
            }
        }
    }
}

/// Counts a request as open while it lives.
struct OpenGuard(Arc<State>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.metrics.open.dec();
    }
}

/// Logs and counts what came of a request.
fn log_request(state: &State, request: &Request, outcome: &str) {
    Metrics::count(&state.metrics.answers, outcome);
    let age = request.age();
    state.metrics.latency.observe(age.as_secs_f64());
    info!(state.log, "request"; "request" => &*request.ask.id, "route" => &request.route.name,
        "service" => &*request.service, "tenant" => request.tenant.as_deref(),
        "outcome" => outcome, "age_ms" => age.as_millis() as u64);
}

/// Logs a request that was refused before it was routed.
fn log_answer(state: &State, ask: Option<&Ask>, arrived: Moment, outcome: &str) {
    Metrics::count(&state.metrics.answers, outcome);
    let now = clock::now();
    let confirmed = state.authority().age(now);
    info!(state.log, "request"; "request" => ask.map(|ask| ask.id.to_string()),
        "outcome" => outcome,
        "age_ms" => now.saturating_sub(arrived).as_millis() as u64,
        "config_version" => state.catalog().map(|catalog| catalog.version()),
        "config_age_ms" => confirmed.map(|age| age.as_millis() as u64));
}
