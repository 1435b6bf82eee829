//! Calls to plain services.

use std::time::Duration;

use bytes::Bytes;
use http_types::{headers, Request, Response, StatusCode};
use slog::{info, Logger};

use super::{suspect, FrontContext, Outcome, Refusal};
use crate::{
    backend::{Answer, Call, CallError, HttpService, Service},
    kernel::{health, moves, ticket::ShortDigest},
    peer::CountedRequest,
    settings::Route,
    wire,
};

/// Lowest status that marks a failure of the service. It leaves open whether the call ran.
pub(super) const MIN_SERVER_ERROR: u16 = 500;

/// Value of `Retry-After` in refusals.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Calls a plain service once and returns its answer.
///
/// `answer_timeout` is the time for the service's complete answer, and `content` the digest of the
/// call, by which crashes are attributed to it.
pub(super) async fn call(
    context: &FrontContext,
    route: &Route,
    answer_timeout: Duration,
    call: &Call,
    content: ShortDigest,
    watch: &CountedRequest,
    log: &Logger,
) -> Result<Answer, Refusal> {
    let Some(mut guard) = context.chooser.choose_for_call(route, &[], log) else {
        return Err(Refusal::busy(
            "no backend server can take the call now",
            RETRY_AFTER,
        ));
    };
    let service = HttpService::new(guard.addr, answer_timeout);
    let sent = context.chooser.now();
    let answer = service.call(call).await;
    if let Ok(answer) = &answer {
        context.chooser.record_limit(guard.addr, answer, sent);
    }
    let server = guard.addr.to_string();
    let outcome = match &answer {
        Ok(answer) if answer.status >= MIN_SERVER_ERROR => health::Outcome::Fault,
        Ok(_) => health::Outcome::Success,
        Err(_) => health::Outcome::Lost,
    };
    guard.set_outcome(outcome);
    suspect::record_call(context, content, &call.id, guard.addr, &answer).await;
    match outcome {
        health::Outcome::Success => watch.record_answer(1, &server),
        _ => watch.record_outcome(moves::Outcome::Error, &server),
    }
    answer.map_err(|err| {
        info!(log, "call lost"; "cause" => %err);
        match err {
            CallError::NotRun { .. } => Refusal::busy(err.to_string(), RETRY_AFTER),
            CallError::Unknown { .. } => {
                Refusal::new(StatusCode::BadGateway, err.to_string()).with_outcome(Outcome::Unknown)
            }
        }
    })
}

/// Builds the call to a service from a caller's request.
pub(super) fn read_call(req: &Request, path: &str, request_id: &str, body: Bytes) -> Call {
    let query = req
        .url()
        .query()
        .map_or_else(String::new, |q| format!("?{q}"));
    Call {
        method: req.method(),
        path: format!("{path}{query}"),
        media_type: req
            .header(headers::CONTENT_TYPE)
            .map(|value| value.as_str().to_owned()),
        body,
        id: request_id.to_owned(),
    }
}

/// Turns a service's answer into the answer to the caller.
pub(super) fn response(answer: Answer) -> Response {
    let mut res = Response::new(answer.status);
    res.insert_header("x-outcome", Outcome::Ran.name());
    res.set_body(wire::bytes_body(answer.body));
    if let Some(media_type) = answer.media_type {
        res.insert_header(headers::CONTENT_TYPE, media_type);
    }
    res
}
