//! Handles one request of a caller: serves it if it is admitted, and logs the outcome.

use std::{future::Future, panic::AssertUnwindSafe, sync::Arc};

use bytes::Bytes;
use futures_lite::{stream, FutureExt};
use http::{
    header::{CONNECTION, CONTENT_LENGTH},
    HeaderValue, Response,
};
use hyper::body::Incoming;
use slog::{error, info, Logger};

use super::{
    admit::admit,
    body::{self, BodyAborted, Reply},
    content,
    generation::Generation,
    plain::{self, end_to_end},
    refusal::Refusal,
    request::Request,
    stream_error::StreamError,
};
use crate::{
    clock::{self, Moment},
    kernel::Event,
    metrics::Metrics,
    model::RequestHead,
    state::State,
};

/// The outcomes of requests that were refused for want of capacity.
const CAPACITY_REFUSALS: [&str; 2] = ["no_room", "no_place"];

/// Handles one request of a caller.
pub(super) async fn handle(state: Arc<State>, request: http::Request<Incoming>) -> Reply {
    let log = state.log.clone();
    answer_panic(&log, answer(state, request)).await
}

/// Returns the answer that `answering` produces, or a failure if it panics: the request may have run.
pub(super) async fn answer_panic<F>(log: &Logger, answering: F) -> Reply
where
    F: Future<Output = Reply>,
{
    let answer = AssertUnwindSafe(answering).catch_unwind().await;
    answer.unwrap_or_else(|_| {
        // The panic hook has written the message and the place to standard error.
        error!(log, "request handler panicked");
        Refusal::UnknownOutcome.reply()
    })
}

/// Admits and serves a request.
async fn answer(state: Arc<State>, request: http::Request<Incoming>) -> Reply {
    let arrived = clock::now();
    let (parts, body) = request.into_parts();
    let mut reply = match admit(&state, parts, body, arrived).await {
        Ok(request) => serve(&state, request).await,
        Err((ask, refusal)) => {
            log_unrouted(&state, ask.as_ref(), arrived, refusal.name());
            refusal.reply()
        }
    };
    if state.is_leaving() {
        let close = HeaderValue::from_static("close");
        reply.headers_mut().insert(CONNECTION, close);
    }
    reply
}

/// Serves a request that was admitted.
async fn serve(state: &Arc<State>, request: Request) -> Reply {
    state.count_request(&request.service);
    state.metrics.open_requests.inc();
    let guard = OpenMetricGuard(state.clone());
    if request.route.kind.is_stream() {
        return serve_stream(state, Arc::new(request), guard).await;
    }
    let serving = plain::serve(state, &request);
    let stopping = async {
        state.wait_requests_end().await;
        Err(request.stop_refusal())
    };
    match serving.or(stopping).await {
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

/// Serves an event stream. The head is sent with the first event.
async fn serve_stream(state: &Arc<State>, request: Arc<Request>, guard: OpenMetricGuard) -> Reply {
    let beginning = begin_stream(state, &request);
    let stopping = async {
        state.wait_requests_end().await;
        let refusal = request.stop_refusal();
        log_request(state, &request, refusal.name());
        Err(refusal.reply())
    };
    let (mut generation, first) = match beginning.or(stopping).await {
        Ok(begun) => begun,
        Err(reply) => return reply,
    };
    let Some(head) = generation.take_head() else {
        log_request(state, &request, Refusal::UnknownOutcome.name());
        return Refusal::UnknownOutcome.reply();
    };
    log_request(state, &request, "streaming");
    let tail = StreamTail {
        generation,
        request,
        state: state.clone(),
        first: Some(first.bytes),
        _guard: guard,
    };
    let chunks = stream::unfold(Some(tail), |tail| async move {
        let mut tail = tail?;
        match tail.next().await {
            Ok(Some(chunk)) => Some((Ok(chunk), Some(tail))),
            Ok(None) => None,
            Err(aborted) => Some((Err(aborted), None)),
        }
    });
    let mut reply = Response::new(body::stream_body(chunks));
    *reply.status_mut() = head.status;
    *reply.headers_mut() = end_to_end(head.headers);
    reply.headers_mut().remove(CONTENT_LENGTH);
    reply
}

/// Waits for the first event of a stream.
///
/// # Errors
///
/// Fails with the answer to a stream that ended before.
async fn begin_stream(
    state: &Arc<State>,
    request: &Arc<Request>,
) -> Result<(Generation, Event), Reply> {
    let mut generation = Generation::new(state.clone(), request.clone());
    match generation.next().await {
        Ok(Some(event)) => Ok((generation, event)),
        Ok(None) => Err(fail_stream(state, request, generation, StreamError::Broken).await),
        Err(err) => Err(fail_stream(state, request, generation, err).await),
    }
}

/// Answers a stream that ended before its first event: with the engine's own failure, if there is
/// one.
async fn fail_stream(
    state: &State,
    request: &Request,
    mut generation: Generation,
    err: StreamError,
) -> Reply {
    if let Some(failure) = generation.take_failure() {
        if let Some(reply) = plain::failure_reply(state, request, *failure).await {
            log_request(state, request, "failed");
            return reply;
        }
    }
    log_request(state, request, err.name());
    err.refusal().reply()
}

/// The part of a stream after its head, beginning with the first event.
struct StreamTail {
    generation: Generation,
    request: Arc<Request>,
    state: Arc<State>,
    first: Option<Bytes>,
    _guard: OpenMetricGuard,
}

impl StreamTail {
    async fn next(&mut self) -> Result<Option<Bytes>, BodyAborted> {
        if let Some(first) = self.first.take() {
            return Ok(Some(first));
        }
        match self.generation.next().await {
            Ok(Some(event)) => Ok(Some(event.bytes)),
            Ok(None) => {
                log_request(&self.state, &self.request, "completed");
                Ok(None)
            }
            Err(err) => {
                log_request(&self.state, &self.request, err.name());
                Err(BodyAborted { cause: err.name() })
            }
        }
    }
}

/// Counts a request as open in the metrics until it is dropped.
struct OpenMetricGuard(Arc<State>);

impl Drop for OpenMetricGuard {
    fn drop(&mut self) {
        self.0.metrics.open_requests.dec();
    }
}

/// Logs and counts the outcome of a request.
fn log_request(state: &State, request: &Request, outcome: &str) {
    Metrics::count(&state.metrics.answers, outcome);
    if CAPACITY_REFUSALS.contains(&outcome) {
        state.record_refusal(&request.service);
    }
    let age = request.age();
    state.metrics.latency.observe(age.as_secs_f64());
    info!(state.log, "request"; "request" => &*request.ask.id, "route" => &request.route.name,
        "service" => &*request.service, "tenant" => request.tenant.as_deref(),
        "content" => content::short_hex(&request.content), "outcome" => outcome,
        "age_ms" => age.as_millis() as u64);
}

/// Logs and counts the outcome of a request that was rejected before it was routed.
fn log_unrouted(state: &State, ask: Option<&RequestHead>, arrived: Moment, outcome: &str) {
    Metrics::count(&state.metrics.answers, outcome);
    let now = clock::now();
    let confirmed = state.authority().age(now);
    info!(state.log, "request"; "request" => ask.map(|ask| ask.id.to_string()),
        "outcome" => outcome,
        "age_ms" => now.saturating_sub(arrived).as_millis() as u64,
        "config_version" => state.catalog().map(|catalog| catalog.version()),
        "config_age_ms" => confirmed.map(|age| age.as_millis() as u64));
}
