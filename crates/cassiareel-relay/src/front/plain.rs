//! Requests whose answer is passed on when it is whole.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cassiareel::runtime::within;
use http::{header::CONTENT_LENGTH, response, HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use slog::{info, warn};

use super::{
    body::{full_body, Reply},
    choose::Choice,
    loss::{self, LostRun},
    refusal::Refusal,
    request::Request,
    send::{send, Extra, Head, Sent},
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
const ANSWER_BYTES: usize = 16 << 20;

/// Refusals of backend servers after which a request is given up.
const MOST_REFUSALS: u32 = 4;

/// When a caller may come back after all backend servers refused.
const COME_BACK: Duration = Duration::from_millis(250);

/// The part of its objective after which a request that may be repeated is sent elsewhere.
const IMPATIENCE: f64 = 1.2;

/// An answer that was read whole.
struct Whole {
    parts: response::Parts,
    body: Bytes,
    load: Option<Load>,
}

/// What came of one try.
enum Tried {
    Answered(Whole),
    NotRun,
    Unreached,
    Lost,
    Late,
}

impl Tried {
    /// Why the run is given up, in logs.
    fn cause(&self) -> &'static str {
        match self {
            Tried::Late => "no answer in time",
            _ => "connection lost",
        }
    }
}

/// Serves a request whose answer is passed on whole.
pub(super) async fn serve(state: &Arc<State>, request: &Request) -> Result<Reply, Refusal> {
    let mut tried = Vec::new();
    let mut ran = 0;
    let mut refused = 0;
    let mut crowded = false;
    let mut failed: Option<Whole> = None;
    loop {
        let Some((member, wait)) = Choice::new(state, request, &tried).best_with_wait() else {
            break;
        };
        if wait > patience(state, request, request.age()) {
            crowded = true;
            log_crowded(state, request, &member, wait);
            break;
        }
        let first = tried.is_empty();
        if let Some(after) = held_after(state, request, first) {
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
            Tried::Answered(answer) => {
                ran += 1;
                let again = may_retry(request, &answer) && ran < request.route.attempts;
                if !again {
                    return Ok(pass_on(answer));
                }
                failed = Some(answer);
            }
            Tried::NotRun => refused += 1,
            Tried::Unreached => {
                refused += 1;
                if !first {
                    state.refund_retry(&request.service);
                }
            }
            Tried::Lost if request.route.kind != RouteKind::Idempotent => {
                return Err(Refusal::Unknown);
            }
            Tried::Late if request.route.kind != RouteKind::Idempotent => {
                return Err(Refusal::Timeout);
            }
            Tried::Lost | Tried::Late => ran += 1,
        }
        let over = request.left().is_zero();
        if over || ran >= request.route.attempts || refused >= MOST_REFUSALS {
            break;
        }
    }
    match failed {
        Some(answer) => Ok(pass_on(answer)),
        None if ran > 0 && request.left().is_zero() => Err(Refusal::Timeout),
        None if ran > 0 => Err(Refusal::Unknown),
        None => Err(turn_away(state, request, crowded || refused > 0)),
    }
}

/// How long a request is held back that was sent before. The first send was decided when it was let in.
fn held_after(state: &State, request: &Request, first: bool) -> Option<Duration> {
    if first {
        return None;
    }
    suspect::held(state, &request.ask.id, &request.content)
}

/// How long a request that is `age` old may wait for those that came before.
fn patience(state: &State, request: &Request, age: Duration) -> Duration {
    let part = state.settings.load().admission.wait_part;
    let open = 1.0 - request.admitted.reserve;
    kernel::max_wait(request.route.objective, age, Duration::ZERO, part).mul_f64(open)
}

/// The refusal of a request that did not run: by a time that follows the load where backend servers
/// are busy.
fn turn_away(state: &State, request: &Request, busy: bool) -> Refusal {
    if !busy {
        let after = state.retry_after(&request.service, COME_BACK);
        return Refusal::NoPlace { after };
    }
    let usual = request.turn_away(state, Shortage::Time);
    Refusal::NoRoom {
        after: state.retry_after(&request.service, usual),
    }
}

/// Logs why a request is not sent.
fn log_crowded(state: &State, request: &Request, member: &Backend, wait: Duration) {
    info!(state.log, "too busy"; "request" => &*request.ask.id, "service" => &*request.service,
        "tenant" => request.tenant.as_deref(), "backend" => &*member.entry.id,
        "wait_ms" => wait.as_millis() as u64,
        "patience_ms" => patience(state, request, request.age()).as_millis() as u64,
        "reserve" => request.admitted.reserve);
}

/// Sends once and reads the whole answer.
async fn try_once(state: &Arc<State>, request: &Request, member: &Arc<Backend>, ran: u32) -> Tried {
    let place = LoadGuard::run(member, 0, 0);
    let began = clock::now();
    let entry = &member.entry;
    let trial = state.rollouts.begin_run(
        &entry.service,
        &entry.version,
        trials::plain(request),
        began,
    );
    let limit = try_limit(request, ran);
    let reading = async {
        match send(state, request, member, &Extra::default(), limit).await {
            Sent::Head(head) => read(state, request, *head).await,
            Sent::NotRun(_) => Tried::NotRun,
            Sent::Unreached(_) => Tried::Unreached,
            Sent::Lost(_) => Tried::Lost,
            Sent::Late => Tried::Late,
        }
    };
    let outcome = within(limit, reading).await.unwrap_or(Tried::Late);
    drop(place);
    let now = clock::now();
    count_version(trial.as_ref(), &outcome);
    match &outcome {
        Tried::Answered(answer) => {
            let failed = answer.parts.status.is_server_error();
            let took = now.saturating_sub(began);
            member.health().record_answer(failed, took);
            if !failed {
                suspect::survived(state, request);
            }
            weigh(state, request, member, answer.load, took);
        }
        Tried::NotRun => {}
        Tried::Unreached => loss::note(state, member, now),
        Tried::Lost | Tried::Late => {
            let lost = LostRun {
                request,
                member,
                cause: outcome.cause(),
                began,
                first: None,
            };
            loss::note_run(state, &lost).await;
        }
    }
    outcome
}

/// Takes in what an answer shows of its service's load. One that was late, or left a queue behind
/// that makes others late, counts as one that was not served: less is let in from then on.
fn weigh(state: &State, request: &Request, member: &Backend, load: Option<Load>, took: Duration) {
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
fn count_version(trial: Option<&Arc<MeasuredRun>>, tried: &Tried) {
    match tried {
        Tried::NotRun | Tried::Unreached => {}
        Tried::Lost | Tried::Late => trials::fail(trial),
        Tried::Answered(answer) if answer.parts.status.is_server_error() => trials::fail(trial),
        Tried::Answered(_) => trials::answer(trial),
    }
}

/// How long one try may take. One that may be repeated elsewhere leaves time for that.
fn try_limit(request: &Request, ran: u32) -> Duration {
    let left = request.left();
    let last = ran + 1 >= request.route.attempts;
    if request.route.kind != RouteKind::Idempotent || last {
        return left;
    }
    left.min(request.route.objective.mul_f64(IMPATIENCE))
}

/// Reads an answer to its end, and keeps its connection.
async fn read(state: &State, request: &Request, head: Head) -> Tried {
    let Head {
        parts,
        answer,
        body,
        lease,
    } = head;
    let read = http_body_util::Limited::new(body, ANSWER_BYTES).collect();
    match read.await {
        Ok(collected) => {
            lease.put_back(answer.keep_alive);
            Tried::Answered(Whole {
                parts,
                body: collected.to_bytes(),
                load: answer.load,
            })
        }
        Err(err) => {
            warn!(state.log, "answer lost"; "request" => &*request.ask.id,
                "status" => parts.status.as_u16(), "cause" => %err);
            Tried::Lost
        }
    }
}

/// Reports whether a backend server's failure may be another's success.
fn may_retry(request: &Request, answer: &Whole) -> bool {
    request.route.kind == RouteKind::Idempotent && answer.parts.status.is_server_error()
}

/// A backend server's own failure of a stream, as the caller gets it; `None` where it did not come
/// whole.
pub(super) async fn pass_failure(state: &State, request: &Request, head: Head) -> Option<Reply> {
    match within(request.left(), read(state, request, head)).await? {
        Tried::Answered(answer) => Some(pass_on(answer)),
        _ => None,
    }
}

/// The answer as the caller gets it. A status that promises that nothing ran is not passed on where
/// the backend server did not say so.
fn pass_on(answer: Whole) -> Reply {
    let Whole { parts, body, .. } = answer;
    let promises = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    if promises.contains(&parts.status) {
        return Refusal::Unknown.reply();
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
