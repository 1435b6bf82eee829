//! Requests whose answer is passed on when it is whole.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cassiareel::runtime::within;
use http::{header::CONTENT_LENGTH, response, HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use slog::{info, warn};

use super::{
    body::{full_body, Reply},
    choose::CandidateSet,
    loss::{self, LostRun},
    refusal::Refusal,
    request::Request,
    send::{send, ResponseHead, SendOptions, SendOutcome},
    suspect, trials,
};
use crate::{
    backends::{Backend, LoadGuard},
    clock,
    kernel::{self, Shortage},
    model::RouteKind,
    protocol::{Load, HOP_BY_HOP_HEADERS},
    rollouts::MeasuredRun,
    state::State,
};

/// The largest answer that is held, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Refusals of backend servers after which a request is given up.
const MAX_REFUSALS: u32 = 4;

/// When a caller may come back after all backend servers refused.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// The part of its objective after which a request that may be repeated is sent elsewhere.
const RETRY_OBJECTIVE_FACTOR: f64 = 1.2;

/// An answer that was read whole.
struct FullResponse {
    parts: response::Parts,
    body: Bytes,
    load: Option<Load>,
}

/// What came of one try.
enum AttemptOutcome {
    Answered(FullResponse),
    NotRun,
    Unreached,
    Lost,
    TimedOut,
}

impl AttemptOutcome {
    /// Why the run is given up, in logs.
    fn cause(&self) -> &'static str {
        match self {
            AttemptOutcome::TimedOut => "no answer in time",
            _ => "connection lost",
        }
    }
}

/// Serves a request whose answer is passed on whole.
pub(super) async fn serve(state: &Arc<State>, request: &Request) -> Result<Reply, Refusal> {
    let mut tried = Vec::new();
    let mut ran = 0;
    let mut refused = 0;
    let mut overloaded = false;
    let mut failed: Option<FullResponse> = None;
    loop {
        let Some((member, wait)) = CandidateSet::new(state, request, &tried).best_with_wait()
        else {
            break;
        };
        if wait > patience(state, request, request.age()) {
            overloaded = true;
            log_overloaded(state, request, &member, wait);
            break;
        }
        let first = tried.is_empty();
        if let Some(after) = resend_quarantine(state, request, first) {
            if ran == 0 {
                return Err(Refusal::Held { after });
            }
            break;
        }
        if !first && !state.take_retry(&request.service, false) {
            break;
        }
        tried.push(member.number);
        match try_once(state, request, &member, ran).await {
            AttemptOutcome::Answered(answer) => {
                ran += 1;
                let again = may_retry(request, &answer) && ran < request.route.attempts;
                if !again {
                    return Ok(into_reply(answer));
                }
                failed = Some(answer);
            }
            AttemptOutcome::NotRun => refused += 1,
            AttemptOutcome::Unreached => {
                refused += 1;
                if !first {
                    state.refund_retry(&request.service);
                }
            }
            AttemptOutcome::Lost if request.route.kind != RouteKind::Idempotent => {
                return Err(Refusal::UnknownOutcome);
            }
            AttemptOutcome::TimedOut if request.route.kind != RouteKind::Idempotent => {
                return Err(Refusal::Timeout);
            }
            AttemptOutcome::Lost | AttemptOutcome::TimedOut => ran += 1,
        }
        let over = request.left().is_zero();
        if over || ran >= request.route.attempts || refused >= MAX_REFUSALS {
            break;
        }
    }
    match failed {
        Some(answer) => Ok(into_reply(answer)),
        None if ran > 0 && request.left().is_zero() => Err(Refusal::Timeout),
        None if ran > 0 => Err(Refusal::UnknownOutcome),
        None => Err(rejection(state, request, overloaded || refused > 0)),
    }
}

/// How long a request is held back that was sent before. The first send was decided when it was let in.
fn resend_quarantine(state: &State, request: &Request, first: bool) -> Option<Duration> {
    if first {
        return None;
    }
    suspect::quarantine_left(state, &request.ask.id, &request.content)
}

/// How long a request that is `age` old may wait for those that came before.
fn patience(state: &State, request: &Request, age: Duration) -> Duration {
    let part = state.settings.load().admission.wait_part;
    let open_part = 1.0 - request.admitted.reserve;
    kernel::max_wait(request.route.objective, age, Duration::ZERO, part).mul_f64(open_part)
}

/// The refusal of a request that did not run: by a time that follows the load where backend servers
/// are busy.
fn rejection(state: &State, request: &Request, busy: bool) -> Refusal {
    if !busy {
        let after = state.retry_after(&request.service, RETRY_AFTER);
        return Refusal::NoBackend { after };
    }
    let retry_after = request.record_rejection(state, Shortage::Time);
    Refusal::NoCapacity {
        after: state.retry_after(&request.service, retry_after),
    }
}

/// Logs why a request is not sent.
fn log_overloaded(state: &State, request: &Request, member: &Backend, wait: Duration) {
    info!(state.log, "backend queue too long"; "request" => &*request.ask.id, "service" => &*request.service,
        "tenant" => request.tenant.as_deref(), "backend" => &*member.entry.id,
        "wait_ms" => wait.as_millis() as u64,
        "patience_ms" => patience(state, request, request.age()).as_millis() as u64,
        "reserve" => request.admitted.reserve);
}

/// Sends once and reads the whole answer.
async fn try_once(
    state: &Arc<State>,
    request: &Request,
    member: &Arc<Backend>,
    ran: u32,
) -> AttemptOutcome {
    let place = LoadGuard::run(member, 0, 0);
    let began = clock::now();
    let entry = &member.entry;
    let trial = state.rollouts.begin_run(
        &entry.service,
        &entry.version,
        trials::plain_size(request),
        began,
    );
    let limit = attempt_timeout(request, ran);
    let reading = async {
        match send(state, request, member, &SendOptions::default(), limit).await {
            SendOutcome::Head(head) => read_response(state, request, *head).await,
            SendOutcome::NotRun(_) => AttemptOutcome::NotRun,
            SendOutcome::Unreached(_) => AttemptOutcome::Unreached,
            SendOutcome::Lost(_) => AttemptOutcome::Lost,
            SendOutcome::TimedOut => AttemptOutcome::TimedOut,
        }
    };
    let outcome = within(limit, reading)
        .await
        .unwrap_or(AttemptOutcome::TimedOut);
    drop(place);
    let now = clock::now();
    count_trial(trial.as_ref(), &outcome);
    match &outcome {
        AttemptOutcome::Answered(answer) => {
            let failed = answer.parts.status.is_server_error();
            let took = now.saturating_sub(began);
            member.health().record_answer(failed, took);
            if !failed {
                suspect::record_success(state, request);
            }
            record_load(state, request, member, answer.load, took);
        }
        AttemptOutcome::NotRun => {}
        AttemptOutcome::Unreached => loss::record_lost_backend(state, member, now),
        AttemptOutcome::Lost | AttemptOutcome::TimedOut => {
            let lost = LostRun {
                request,
                member,
                cause: outcome.cause(),
                began,
                first: None,
            };
            loss::record_lost_run(state, &lost).await;
        }
    }
    outcome
}

/// Takes in what an answer shows of its service's load. One that was late, or left a queue behind
/// that makes others late, counts as one that was not served: less is let in from then on.
fn record_load(
    state: &State,
    request: &Request,
    member: &Backend,
    load: Option<Load>,
    took: Duration,
) {
    let late = match load {
        Some(load) if load.waiting == 0 => {
            member.health().record_service_time(took);
            false
        }
        Some(_) => {
            member.candidate(clock::now(), true).expected_wait()
                > patience(state, request, Duration::ZERO)
        }
        None => took > request.route.objective,
    };
    if late {
        let claim = &request.admitted.claim;
        state.admission.note_unserved(&request.service, claim);
    }
}

/// Counts a try for the version that it went to.
fn count_trial(trial: Option<&Arc<MeasuredRun>>, tried: &AttemptOutcome) {
    match tried {
        AttemptOutcome::NotRun | AttemptOutcome::Unreached => {}
        AttemptOutcome::Lost | AttemptOutcome::TimedOut => trials::record_failure(trial),
        AttemptOutcome::Answered(answer) if answer.parts.status.is_server_error() => {
            trials::record_failure(trial);
        }
        AttemptOutcome::Answered(_) => trials::record_response(trial),
    }
}

/// How long one try may take. One that may be repeated elsewhere leaves time for that.
fn attempt_timeout(request: &Request, ran: u32) -> Duration {
    let left = request.left();
    let last = ran + 1 >= request.route.attempts;
    if request.route.kind != RouteKind::Idempotent || last {
        return left;
    }
    left.min(request.route.objective.mul_f64(RETRY_OBJECTIVE_FACTOR))
}

/// Reads an answer to its end, and keeps its connection.
async fn read_response(state: &State, request: &Request, head: ResponseHead) -> AttemptOutcome {
    let ResponseHead {
        parts,
        answer,
        body,
        lease,
    } = head;
    let read = http_body_util::Limited::new(body, MAX_RESPONSE_BYTES).collect();
    match read.await {
        Ok(collected) => {
            lease.put_back(answer.keep_alive);
            AttemptOutcome::Answered(FullResponse {
                parts,
                body: collected.to_bytes(),
                load: answer.load,
            })
        }
        Err(err) => {
            warn!(state.log, "answer lost"; "request" => &*request.ask.id,
                "status" => parts.status.as_u16(), "cause" => %err);
            AttemptOutcome::Lost
        }
    }
}

/// Reports whether a backend server's failure may be another's success.
fn may_retry(request: &Request, answer: &FullResponse) -> bool {
    request.route.kind == RouteKind::Idempotent && answer.parts.status.is_server_error()
}

/// A backend server's own failure of a stream, as the caller gets it; `None` where it did not come
/// whole.
pub(super) async fn failure_reply(
    state: &State,
    request: &Request,
    head: ResponseHead,
) -> Option<Reply> {
    match within(request.left(), read_response(state, request, head)).await? {
        AttemptOutcome::Answered(answer) => Some(into_reply(answer)),
        _ => None,
    }
}

/// The answer as the caller gets it. A status that promises that nothing ran is not passed on where
/// the backend server did not say so.
fn into_reply(answer: FullResponse) -> Reply {
    let FullResponse { parts, body, .. } = answer;
    let not_run_statuses = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    if not_run_statuses.contains(&parts.status) {
        return Refusal::UnknownOutcome.reply();
    }
    let mut reply = Response::new(full_body(body));
    *reply.status_mut() = parts.status;
    *reply.headers_mut() = end_to_end(parts.headers);
    reply.headers_mut().remove(CONTENT_LENGTH);
    reply
}

/// Drops the headers that concern only the connection to the backend server.
pub(super) fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    headers
}
