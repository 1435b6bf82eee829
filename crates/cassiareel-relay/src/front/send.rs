//! Sends a request once, to one backend server, and reads the head of its response.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cassiareel::{kernel::quota::Purpose, runtime::within};
use http::{header::HOST, response, HeaderValue, Method, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use slog::info;

use crate::{
    backends::Backend,
    clock::{self, Moment},
    metrics::Metrics,
    net::{self, Lease, SendError},
    protocol::{Answer, Dispatch, MemoryCopy},
    state::State,
};

use super::{
    limit::{record_limit, take_permit, Permit},
    request::Request,
};

/// Timeout for opening a connection to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Longest idle time of a kept connection for a request that may not be repeated: it must not be
/// lost on a connection that the backend server closes.
const MAX_IDLE_UNREPEATABLE: Duration = Duration::from_millis(900);

/// Largest body of a refusal, in bytes.
const MAX_REFUSAL_BYTES: usize = 64 << 10;

/// The id of no process.
const NO_PROCESS: &str = "none";

/// Outcome of one send.
#[derive(Debug)]
pub(super) enum SendOutcome {
    /// The head of a valid response.
    Head(Box<ResponseHead>),
    /// The backend server is unreachable; nothing was sent.
    Unreached(String),
    /// The backend server reports that it did not run the request; its status.
    NotRun(u16),
    /// The request may have run; no valid response arrived.
    Lost(String),
    /// No response arrived within the limit; the request may have run.
    TimedOut,
}

impl SendOutcome {
    /// Returns the name in logs and metrics.
    pub(super) fn name(&self) -> &'static str {
        match self {
            SendOutcome::Head(_) => "answered",
            SendOutcome::Unreached(_) => "unreached",
            SendOutcome::NotRun(_) => "not_run",
            SendOutcome::Lost(_) => "lost",
            SendOutcome::TimedOut => "late",
        }
    }

    /// Returns the status or the cause, for logs.
    fn detail(&self) -> String {
        match self {
            SendOutcome::Head(head) => head.parts.status.as_u16().to_string(),
            SendOutcome::Unreached(cause) | SendOutcome::Lost(cause) => cause.clone(),
            SendOutcome::NotRun(status) => status.to_string(),
            SendOutcome::TimedOut => String::new(),
        }
    }

    /// Returns the work time that the response reports, in hundredths of the usual one, for logs.
    fn work_percent(&self) -> Option<u32> {
        match self {
            SendOutcome::Head(head) => head.answer.load?.work_percent,
            _ => None,
        }
    }
}

/// The head of a response, and the connection from which its body is still to be read.
#[derive(Debug)]
pub(super) struct ResponseHead {
    /// Status and headers.
    pub parts: response::Parts,
    /// The facts that the headers carry.
    pub answer: Answer,
    /// The body.
    pub body: Incoming,
    /// The connection; dropping it cancels the request.
    pub lease: Lease,
}

impl ResponseHead {
    fn new(state: &State, head: http::Response<Incoming>, lease: Lease) -> ResponseHead {
        let (parts, body) = head.into_parts();
        ResponseHead {
            answer: state.protocol.read_answer(&parts),
            parts,
            body,
            lease,
        }
    }

    /// Returns the request to which the response belongs, by its id. A response without one can
    /// belong to no other request where the connection has carried none.
    fn owner(&self, request: &Request) -> Owner {
        match &self.answer.request {
            Some(id) if **id == *request.ask.id => Owner::Request,
            Some(_) => Owner::Other,
            None if self.lease.conn.is_kept() => Owner::Unknown,
            None => Owner::Request,
        }
    }
}

/// The request to which a response belongs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Owner {
    /// The one that was sent.
    Request,
    /// Another one.
    Other,
    /// The response does not say it: a faulty backend server may have written the response to an
    /// earlier request once more.
    Unknown,
}

/// What one send adds to its request.
#[derive(Clone, Debug, Default)]
pub(super) struct SendOptions {
    /// The last event that the caller has received.
    pub last_event: Option<u64>,
    /// The engine that is to keep a copy of the run's memory.
    pub backup: Option<Arc<Backend>>,
    /// The copy from which the run continues.
    pub copy: Option<MemoryCopy>,
    /// The name of the reservation that the engine made for the run.
    pub reservation: Option<Arc<str>>,
}

/// Sends a request to a backend server and waits up to `limit` for the head of its response.
pub(super) async fn send(
    state: &Arc<State>,
    request: &Request,
    member: &Backend,
    options: &SendOptions,
    limit: Duration,
    _permit: Permit,
) -> SendOutcome {
    let began = clock::now();
    let sent = within(limit, exchange(state, request, member, options))
        .await
        .unwrap_or(SendOutcome::TimedOut);
    let took = clock::now().saturating_sub(began);
    Metrics::count(&state.metrics.sends, sent.name());
    info!(state.log, "sent"; "request" => &*request.ask.id, "backend" => &*member.entry.id,
        "service" => &*request.service, "data_centre" => &*member.entry.data_centre,
        "outcome" => sent.name(), "detail" => sent.detail(),
        "backup" => options.backup.as_ref().map(|b| b.entry.id.to_string()),
        "from_copy" => options.copy.is_some(), "after" => options.last_event,
        "work_percent" => sent.work_percent(), "took_ms" => took.as_millis() as u64);
    sent
}

/// Sends a request and reads the head of its response, without a limit.
async fn exchange(
    state: &Arc<State>,
    request: &Request,
    member: &Backend,
    options: &SendOptions,
) -> SendOutcome {
    let idle = if request.route.kind.may_repeat() {
        Duration::MAX
    } else {
        MAX_IDLE_UNREPEATABLE
    };
    for reused in [true, false] {
        let taken = if reused {
            member.pool.take(idle, CONNECT_TIMEOUT).await
        } else {
            member.pool.open(CONNECT_TIMEOUT).await
        };
        let mut lease = match taken {
            Ok(lease) => lease,
            Err(err) => {
                if matches!(err, SendError::Refused) {
                    member.mark_ended();
                }
                return SendOutcome::Unreached(err.to_string());
            }
        };
        let sent_at = clock::now();
        request.sends.begin();
        match lease
            .conn
            .send(build_request(state, request, member, options))
            .await
        {
            Ok(head) => {
                let head = ResponseHead::new(state, head, lease);
                let outcome = attribute(state, request, member, head, sent_at).await;
                if matches!(outcome, SendOutcome::NotRun(_)) {
                    request.sends.undo();
                }
                return outcome;
            }
            Err(SendError::Lost { cause }) => return SendOutcome::Lost(cause),
            Err(err @ (SendError::NotSent { .. } | SendError::Refused)) => {
                request.sends.undo();
                // A kept connection was closed in the meantime; a new one shows whether the backend
                // server is alive.
                if !(reused && matches!(err, SendError::NotSent { .. })) {
                    return SendOutcome::Unreached(err.to_string());
                }
            }
        }
    }
    SendOutcome::Unreached("closed before the request was sent".to_owned())
}

/// Builds the request for a backend server.
fn build_request(
    state: &State,
    request: &Request,
    member: &Backend,
    options: &SendOptions,
) -> http::Request<Full<Bytes>> {
    let mut built = http::Request::new(Full::new(request.body.clone()));
    *built.method_mut() = request.method.clone();
    *built.uri_mut() = request.target.clone();
    let mut headers = request.headers.clone();
    if !headers.contains_key(HOST) {
        if let Ok(host) = HeaderValue::from_str(&request.ask.host) {
            headers.insert(HOST, host);
        }
    }
    let send = Dispatch {
        expected_process: member.entry.id.clone(),
        account: request.tenant.clone(),
        time_left: request.left(),
        priority: request.route.kind.is_stream().then_some(request.priority),
        last_event: options.last_event,
        backup: options.backup.as_ref().map(|b| b.entry.address),
        copy: options.copy.clone(),
        reservation: options.reservation.clone(),
    };
    state.protocol.write_dispatch(&mut headers, &send);
    *built.headers_mut() = headers;
    built
}

/// Accepts a response only where it belongs to the request. No header of any other is used.
async fn attribute(
    state: &Arc<State>,
    request: &Request,
    member: &Backend,
    head: ResponseHead,
    sent_at: Moment,
) -> SendOutcome {
    match head.owner(request) {
        Owner::Request => accept(state, member, head, sent_at),
        Owner::Other => SendOutcome::Lost("an answer of another request".to_owned()),
        Owner::Unknown if !head.answer.not_run => {
            SendOutcome::Lost("an answer without an id on a kept connection".to_owned())
        }
        // Whether or not it ran, it may be sent once more.
        Owner::Unknown if request.route.kind.may_repeat() => {
            SendOutcome::NotRun(head.parts.status.as_u16())
        }
        Owner::Unknown => {
            let status = head.parts.status.as_u16();
            let outcome = check_refusal(state, request, member, head, sent_at).await;
            info!(state.log, "refusal checked"; "request" => &*request.ask.id,
                "backend" => &*member.entry.id, "status" => status,
                "outcome" => outcome.name(), "detail" => outcome.detail());
            outcome
        }
    }
}

/// Finds out whether a refusal without an id belongs to a request that may not run twice.
///
/// Responses come in the order of their requests. A call behind the request is thus answered next
/// where the refusal was the request's own; otherwise, the request's true response is next.
async fn check_refusal(
    state: &Arc<State>,
    request: &Request,
    member: &Backend,
    refusal: ResponseHead,
    sent_at: Moment,
) -> SendOutcome {
    let next = match call_behind(state, member, refusal.body, refusal.lease).await {
        Ok(next) => next,
        Err(cause) => return SendOutcome::Lost(format!("a refusal without an id, then {cause}")),
    };
    if answers_call(&next, &refusal.parts) {
        record_head(state, member, &refusal.answer, &refusal.parts, sent_at);
        return SendOutcome::NotRun(refusal.parts.status.as_u16());
    }
    if next.answer.request.as_deref() != Some(&*request.ask.id) {
        return SendOutcome::Lost("refusals that can't be attributed".to_owned());
    }
    let mut next = next;
    // The answer to the call is still to come on this connection.
    next.answer.keep_alive = Some(Duration::ZERO);
    accept(state, member, next, sent_at)
}

/// Reports whether a response is one to the call that follows a refused request: it has no id and
/// is no second copy of the refusal.
fn answers_call(next: &ResponseHead, refusal: &response::Parts) -> bool {
    let for_call = [StatusCode::MISDIRECTED_REQUEST, StatusCode::BAD_REQUEST];
    let status = next.parts.status;
    let is_copy = status == refusal.status || !for_call.contains(&status);
    next.answer.request.is_none() && !(next.answer.not_run && is_copy)
}

/// Reads a response to its end, calls the backend server on the same connection, and returns the
/// head of what comes next. The call expects a process that does not exist: a backend server that
/// is full tells it from a request by status 421.
///
/// # Errors
///
/// Returns what failed.
async fn call_behind(
    state: &State,
    member: &Backend,
    body: Incoming,
    mut lease: Lease,
) -> Result<ResponseHead, String> {
    take_permit(state, member, Purpose::Ongoing).ok_or("no permit")?;
    net::read_body(body, MAX_REFUSAL_BYTES, &state.body_budget)
        .await
        .map_err(|err| err.to_string())?;
    lease
        .conn
        .wait_ready()
        .await
        .map_err(|err| err.to_string())?;
    let path = state.protocol.report_path();
    let mut call = net::build_request(member.entry.address, Method::GET, path, Bytes::new())
        .map_err(|err| err.to_string())?;
    state
        .protocol
        .write_expected_process(call.headers_mut(), NO_PROCESS);
    let head = lease.conn.send(call).await.map_err(|err| err.to_string())?;
    Ok(ResponseHead::new(state, head, lease))
}

/// Accepts a response that belongs to the request. A success without the signature of a run and a
/// switch of protocols count as lost responses.
fn accept(
    state: &Arc<State>,
    member: &Backend,
    head: ResponseHead,
    sent_at: Moment,
) -> SendOutcome {
    let (parts, answer) = (&head.parts, &head.answer);
    record_head(state, member, answer, parts, sent_at);
    if answer.not_run {
        return SendOutcome::NotRun(parts.status.as_u16());
    }
    if parts.status.is_informational() {
        return SendOutcome::Lost("a switch of protocols that was not requested".to_owned());
    }
    let is_signed_run = answer.signed && !answer.encoded && answer.request.is_some();
    if parts.status.is_success() && !is_signed_run {
        return SendOutcome::Lost("a success without a run's signature".to_owned());
    }
    SendOutcome::Head(Box::new(head))
}

/// Records what the head of a response says of its backend server.
fn record_head(
    state: &Arc<State>,
    member: &Backend,
    answer: &Answer,
    parts: &response::Parts,
    sent_at: Moment,
) {
    let now = clock::now();
    record_limit(state, member, answer, sent_at);
    if let Some(load) = answer.load {
        member.note_load(load, now);
    }
    record_backoff_requests(state, member, answer, now);
    member.note_received(now);
    if parts.status == StatusCode::MISDIRECTED_REQUEST {
        member.mark_ended();
    }
}

/// Records the backoff that a backend server requests in a response: that it is leaving, or for how
/// long it wants no requests from this node.
pub(super) fn record_backoff_requests(
    state: &State,
    member: &Backend,
    answer: &Answer,
    now: Moment,
) {
    if answer.leaving && member.backoff().mark_leaving() {
        info!(state.log, "backend is leaving"; "backend" => &*member.entry.id,
            "service" => &*member.entry.service);
    }
    if let Some(rest) = answer.retry_after {
        member.backoff().back_off(rest, now);
        info!(state.log, "backend requested backoff"; "backend" => &*member.entry.id,
            "service" => &*member.entry.service, "rest_ms" => rest.as_millis() as u64);
    }
}
