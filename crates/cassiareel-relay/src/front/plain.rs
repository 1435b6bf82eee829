//! Serves plain requests, whose response is passed on when it is complete.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cassiareel::{kernel::quota::Purpose, runtime::within};
use futures_lite::FutureExt;
use http::{header::CONTENT_LENGTH, response, HeaderMap, Response, StatusCode};
use slog::{info, warn};
use smol::Timer;

use super::{
    body::{full_body, Reply},
    choose::CandidateSet,
    limit::{log_no_permit, take_permit, Permit},
    loss::{self, LostRun},
    refusal::Refusal,
    request::Request,
    send::{send, ResponseHead, SendOptions, SendOutcome},
    suspect, trials,
};
use crate::{
    backends::{Backend, LoadGuard},
    clock::{self, Moment},
    kernel::{self, Shortage},
    model::RouteKind,
    net::read_body,
    protocol::{Load, HOP_BY_HOP_HEADERS},
    rollouts::MeasuredRun,
    state::State,
};

/// Largest response that is buffered, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Number of backend servers that may refuse a request or be unreachable before it is given up.
const MAX_REFUSALS: u32 = 4;

/// How long a caller should wait before it retries if no backend server is available.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Interval between checks whether a late attempt can be repeated elsewhere.
const REPEAT_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A repeatable request is sent elsewhere after its objective times this factor.
const RETRY_OBJECTIVE_FACTOR: f64 = 1.2;

/// A response that was read completely.
struct FullResponse {
    parts: response::Parts,
    body: Bytes,
    load: Option<Load>,
}

/// Outcome of one attempt.
enum AttemptOutcome {
    Answered(FullResponse),
    NotRun,
    Unreached,
    Lost,
    TimedOut,
}

impl AttemptOutcome {
    /// Returns why the run is given up, for logs.
    fn cause(&self) -> &'static str {
        match self {
            AttemptOutcome::TimedOut => "no answer in time",
            _ => "connection lost",
        }
    }
}

/// Serves a request whose response is passed on when it is complete.
pub(super) async fn serve(state: &Arc<State>, request: &Request) -> Result<Reply, Refusal> {
    let mut tried = Vec::new();
    let mut ran = 0;
    let mut refused = 0;
    let mut shortage = None;
    let mut may_send = false;
    let mut met_full = false;
    let mut failed: Option<FullResponse> = None;
    loop {
        let purpose = if ran == 0 {
            Purpose::New
        } else {
            Purpose::Repeat
        };
        let candidates = CandidateSet::new(state, request, &tried, purpose);
        let Some((member, wait)) = candidates.best_with_wait() else {
            shortage = candidates.is_limited().then_some(Shortage::Limit);
            break;
        };
        if met_full && !candidates.has_free_slot() {
            shortage = Some(Shortage::Time);
            break;
        }
        if wait > patience(state, request, request.age()) {
            shortage = Some(Shortage::Time);
            log_overloaded(state, request, &member, wait);
            break;
        }
        if !may_send && !admit_send(state, request) {
            shortage = Some(Shortage::Sends);
            break;
        }
        may_send = true;
        let is_first = tried.is_empty();
        if let Some(after) = resend_quarantine(state, request, is_first) {
            if ran == 0 {
                return Err(Refusal::Held { after });
            }
            break;
        }
        if !is_first && !state.take_retry(&request.service, false) {
            break;
        }
        let Some(permit) = take_permit(state, &member, purpose) else {
            if !is_first {
                state.refund_retry(&request.service);
            }
            continue;
        };
        tried.push(member.number);
        match try_once(state, request, &member, ran, permit).await {
            AttemptOutcome::Answered(answer) => {
                ran += 1;
                let should_retry = may_retry(request, &answer)
                    && ran < request.route.attempts
                    && request.has_time_to_run(state);
                if !should_retry {
                    return Ok(into_reply(answer));
                }
                failed = Some(answer);
            }
            AttemptOutcome::NotRun => {
                refused += 1;
                met_full |= note_if_full(state, request, &member);
            }
            AttemptOutcome::Unreached => {
                refused += 1;
                if !is_first {
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
        let is_over = request.left().is_zero() || !request.has_time_to_run(state);
        if is_over || ran >= request.route.attempts || refused >= MAX_REFUSALS {
            break;
        }
    }
    match failed {
        Some(answer) => Ok(into_reply(answer)),
        None if ran > 0 && request.left().is_zero() => Err(Refusal::Timeout),
        None if ran > 0 => Err(Refusal::UnknownOutcome),
        None => {
            let busy = (refused > 0).then_some(Shortage::Time);
            Err(rejection(state, request, shortage.or(busy)))
        }
    }
}

/// Counts a request and decides whether it may be sent while the service is contended.
fn admit_send(state: &State, request: &Request) -> bool {
    let (now, random) = (clock::now(), fastrand::f64());
    let (may_send, interval) = state.admission.with_load(&request.service, |load| {
        let may_send = load.sends.admit(now, random);
        (may_send, load.sends.send_interval())
    });
    if !may_send {
        info!(state.log, "sends bounded"; "request" => &*request.ask.id,
            "service" => &*request.service, "tenant" => request.tenant.as_deref(),
            "interval_ms" => interval.as_millis() as u64);
    }
    may_send
}

/// Reports whether a backend server that did not run a request reported that it is full, and records
/// that.
fn note_if_full(state: &State, request: &Request, member: &Backend) -> bool {
    let now = clock::now();
    let full = member.candidate(now, true).is_full();
    if full {
        state
            .admission
            .with_load(&request.service, |load| load.sends.record_full(now));
    }
    full
}

/// Returns how long a request is quarantined before a resend. The first send was already decided at
/// admission.
fn resend_quarantine(state: &State, request: &Request, is_first: bool) -> Option<Duration> {
    if is_first {
        return None;
    }
    suspect::hold_left(state, &request.ask.id, &request.content, &request.parts)
}

/// Returns how long a request of the given `age` may wait for requests that arrived before it.
fn patience(state: &State, request: &Request, age: Duration) -> Duration {
    let part = state.settings.load().admission.wait_part;
    let open_part = 1.0 - request.admitted.reserve;
    kernel::max_wait(request.route.objective, age, Duration::ZERO, part).mul_f64(open_part)
}

/// Returns the rejection of a request that did not run. If backend servers are short of something,
/// the caller's delay follows the load.
fn rejection(state: &State, request: &Request, shortage: Option<Shortage>) -> Refusal {
    let Some(shortage) = shortage else {
        let after = state.retry_after(&request.service, RETRY_AFTER);
        return Refusal::NoBackend { after };
    };
    if shortage == Shortage::Limit {
        log_no_permit(state, request);
    }
    let retry_after = request.record_rejection(state, shortage);
    Refusal::NoCapacity {
        after: state.retry_after(&request.service, retry_after),
    }
}

/// Logs that a request is not sent because the best backend server's queue is too long.
fn log_overloaded(state: &State, request: &Request, member: &Backend, wait: Duration) {
    info!(state.log, "backend queue too long"; "request" => &*request.ask.id,
        "service" => &*request.service, "tenant" => request.tenant.as_deref(),
        "backend" => &*member.entry.id,
        "wait_ms" => wait.as_millis() as u64,
        "patience_ms" => patience(state, request, request.age()).as_millis() as u64,
        "reserve" => request.admitted.reserve);
}

/// Sends a request once and reads the complete response.
async fn try_once(
    state: &Arc<State>,
    request: &Request,
    member: &Arc<Backend>,
    ran: u32,
    permit: Permit,
) -> AttemptOutcome {
    suspect::record_send(state, request);
    let place = LoadGuard::run(member, 0, 0);
    let sent_at = clock::now();
    let size = trials::plain_size(request);
    let (service, version) = (&member.entry.service, &member.entry.version);
    let trial = state
        .rollouts
        .begin_run(service, version, member.number, size, sent_at);
    let reading = async {
        match send(
            state,
            request,
            member,
            &SendOptions::default(),
            request.left(),
            permit,
        )
        .await
        {
            SendOutcome::Head(head) => read_response(state, request, *head).await,
            SendOutcome::NotRun(_) => AttemptOutcome::NotRun,
            SendOutcome::Unreached(_) => AttemptOutcome::Unreached,
            SendOutcome::Lost(_) => AttemptOutcome::Lost,
            SendOutcome::TimedOut => AttemptOutcome::TimedOut,
        }
    };
    let late = wait_until_late(state, request, member, ran);
    let outcome = reading.or(async {
        late.await;
        AttemptOutcome::TimedOut
    });
    let outcome = outcome.await;
    drop(place);
    let now = clock::now();
    count_usage(state, request, member, &outcome, sent_at);
    count_trial(trial.as_ref(), &outcome);
    match &outcome {
        AttemptOutcome::Answered(answer) => {
            let failed = answer.parts.status.is_server_error();
            let took = now.saturating_sub(sent_at);
            member.health().record_answer(failed, took);
            if !failed {
                request.record_run(state, Some(took));
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
                sent_at,
                first_event: None,
            };
            if matches!(outcome, AttemptOutcome::TimedOut) {
                request.record_run(state, None);
                loss::record_late_run(state, &lost).await;
            } else {
                loss::record_lost_run(state, &lost).await;
            }
        }
    }
    outcome
}

/// Counts the request as usage if it ran. It waited at the backend server for the time beyond the usual
/// time of service; when a run that was lost began is not known.
fn count_usage(
    state: &State,
    request: &Request,
    member: &Backend,
    outcome: &AttemptOutcome,
    sent_at: Moment,
) {
    if state.usage.is_none() {
        return;
    }
    let began = match outcome {
        AttemptOutcome::NotRun | AttemptOutcome::Unreached => return,
        AttemptOutcome::Lost | AttemptOutcome::TimedOut => sent_at,
        AttemptOutcome::Answered(_) => {
            let usual = member.health().service_time();
            let usual = usual.map_or(Duration::MAX, |ms| Duration::from_secs_f64(ms / 1000.0));
            clock::now().saturating_sub(usual).max(sent_at)
        }
    };
    request.count_usage(state, began);
}

/// Records what a response shows of its service's load. A late response, or one that leaves a queue
/// behind that makes others late, counts as a request that was not served, so that fewer are
/// admitted from then on.
fn record_load(
    state: &State,
    request: &Request,
    member: &Backend,
    load: Option<Load>,
    took: Duration,
) {
    let max_wait = patience(state, request, Duration::ZERO);
    let wait = member.candidate(clock::now(), true).expected_wait();
    if load.is_some() {
        state.admission.with_load(&request.service, |service| {
            service.sends.record_wait(wait, max_wait, clock::now());
        });
    }
    let late = match load {
        Some(load) if load.waiting == 0 => {
            member.health().record_service_time(took);
            false
        }
        Some(_) => wait > max_wait,
        None => took > request.route.objective,
    };
    if late {
        let claim = &request.admitted.claim;
        state.admission.note_unserved(&request.service, claim);
    }
}

/// Counts an attempt for the version that ran it.
fn count_trial(trial: Option<&Arc<MeasuredRun>>, outcome: &AttemptOutcome) {
    match outcome {
        AttemptOutcome::NotRun | AttemptOutcome::Unreached => {}
        AttemptOutcome::Lost => trials::record_loss(trial),
        AttemptOutcome::TimedOut => trials::record_failure(trial),
        AttemptOutcome::Answered(answer) if answer.parts.status.is_server_error() => {
            trials::record_failure(trial);
        }
        AttemptOutcome::Answered(_) => trials::record_response(trial),
    }
}

/// Waits until an attempt takes too long. One that can't be repeated elsewhere, since no backend server
/// or no retry is left or the node stops before the repeat could end, goes on until the request's time is
/// over.
async fn wait_until_late(state: &Arc<State>, request: &Request, member: &Backend, ran: u32) {
    Timer::after(attempt_timeout(request, ran)).await;
    while !request.left().is_zero() {
        let tried = [member.number];
        let candidates = CandidateSet::new(state, request, &tried, Purpose::Repeat);
        let may_repeat = request.has_time_to_run(state)
            && candidates.best().is_some()
            && state.may_retry(&request.service, false);
        if may_repeat {
            return;
        }
        Timer::after(REPEAT_POLL_INTERVAL.min(request.left())).await;
    }
}

/// Returns how long one attempt may take. An attempt that may be repeated elsewhere leaves time for
/// that.
fn attempt_timeout(request: &Request, ran: u32) -> Duration {
    let left = request.left();
    let last = ran + 1 >= request.route.attempts;
    if request.route.kind != RouteKind::Idempotent || last {
        return left;
    }
    left.min(request.route.objective.mul_f64(RETRY_OBJECTIVE_FACTOR))
}

/// Reads a response to its end, and keeps its connection.
async fn read_response(state: &State, request: &Request, head: ResponseHead) -> AttemptOutcome {
    let ResponseHead {
        parts,
        answer,
        body,
        lease,
    } = head;
    match read_body(body, MAX_RESPONSE_BYTES, &state.body_budget).await {
        Ok(body) => {
            lease.put_back(answer.keep_alive);
            AttemptOutcome::Answered(FullResponse {
                parts,
                body,
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

/// Reports whether another backend server may succeed where one failed.
fn may_retry(request: &Request, answer: &FullResponse) -> bool {
    request.route.kind == RouteKind::Idempotent && answer.parts.status.is_server_error()
}

/// Returns a backend server's own failure of a stream for the caller, or `None` if the failure did
/// not arrive completely.
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

/// Returns the response for the caller. A status that promises that nothing has run is replaced by
/// an unknown outcome, because the backend server did not report so explicitly.
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

/// Removes the headers that concern only the connection to the backend server.
pub(super) fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    headers
}
