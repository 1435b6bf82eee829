//! Non-idempotent calls of plain services.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use http_types::{headers, Request, Response, StatusCode};
use sha2::{Digest, Sha256};
use slog::{info, Logger};

use super::{service::MIN_SERVER_ERROR, suspect, FrontContext, Outcome, Refusal};
use crate::{
    backend::{Call, CallError, CallStatus, HttpService, Service},
    kernel::{
        health,
        order::{self, EarlierCalls, Limits, QueryResult, Record, Reply},
        ticket::ShortDigest,
        BackendId,
    },
    orders::{self, OrderClient, SendResult},
    settings::{Identity, ResolvedPolicy, Route},
    wire::BoxFuture,
};

/// The header with the idempotency key of a call.
const KEY_HEADER: &str = "idempotency-key";

/// Length limit of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Value of `Retry-After` in refusals of orders.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Timeout of a query to a service for the outcome of an order.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Media type of an answer without a `Content-Type` header.
const DEFAULT_MEDIA_TYPE: &str = "application/octet-stream";

/// Runs a non-idempotent call at most once, and returns its stored outcome if its key was used
/// before.
pub(super) async fn call(
    context: &Arc<FrontContext>,
    identity: &Identity,
    route: Route,
    policy: &ResolvedPolicy,
    call: Call,
    key: &str,
    log: Logger,
) -> Result<Response, Refusal> {
    if Record::is_key_expired(key, orders::now_ms(), policy.orders.expiry) {
        return Err(key_expired());
    }
    let Some(orders) = &context.orders else {
        return Err(Refusal::busy("this node keeps no orders", RETRY_AFTER));
    };
    let request = orders::Request {
        account: identity.account.clone(),
        caller: identity.caller.clone(),
        service: route.service.clone(),
        key: key.into(),
        digest: digest(&call).into(),
    };
    let limits = Limits {
        claim_timeout: policy.time.queue,
        answer_timeout: policy.time.answer,
        query_timeout: QUERY_TIMEOUT,
        retry_delay: policy.retries.pause,
        max_sends: policy.retries.attempts,
    };
    let courier = Arc::new(OrderCourier {
        context: context.clone(),
        content: suspect::call_digest(identity, &call),
        policy: policy.clone(),
        route,
        call,
        answer_timeout: policy.time.answer,
        rejected_by: Arc::default(),
        log: log.clone(),
    });
    match orders.call(request, limits, courier, log).await {
        Some(reply) => response(reply),
        // The node stops before the call is answered, and the call may have been sent.
        None => Err(may_have_run("the node stops")),
    }
}

/// Reads the idempotency key of a call.
pub(super) fn take_key(req: &Request) -> Result<String, Refusal> {
    let header = req.header(KEY_HEADER).ok_or_else(|| {
        let message = "a call of this service needs an Idempotency-Key, unique for each order";
        Refusal::invalid(KEY_HEADER, message)
    })?;
    let key = header.as_str();
    let is_valid =
        (1..=MAX_KEY_BYTES).contains(&key.len()) && key.bytes().all(|b| b.is_ascii_graphic());
    if is_valid {
        return Ok(key.to_owned());
    }
    let message =
        format!("{key:?} is not 1 to {MAX_KEY_BYTES} printable ASCII characters without a space");
    Err(Refusal::invalid(KEY_HEADER, message))
}

/// Returns the digest of a call, by which reuse of its key for another call is detected.
fn digest(call: &Call) -> String {
    let mut hash = Sha256::new();
    for part in [call.method.as_ref(), &call.path] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.update(&call.body);
    hex::encode(hash.finalize())
}

/// Turns an order's result into the answer to the caller.
fn response(reply: Reply) -> Result<Response, Refusal> {
    match reply {
        Reply::Outcome { outcome, repeat } => {
            let mut res = Response::new(outcome.status);
            res.insert_header("x-outcome", Outcome::Ran.name());
            if repeat {
                res.insert_header("x-repeat", "1");
            }
            res.set_body(outcome.body);
            res.insert_header(headers::CONTENT_TYPE, outcome.mime);
            Ok(res)
        }
        Reply::NotRun {
            earlier: EarlierCalls::NotRun,
        } => {
            let message = "the order was not run; send it again with the same key";
            Err(Refusal::busy(message, RETRY_AFTER))
        }
        Reply::NotRun {
            earlier: EarlierCalls::MayHaveRun,
        } => {
            let message = "this call was not run, and whether an earlier one with its key was \
                           can't be read now; send it again with the same key";
            Err(Refusal::busy(message, RETRY_AFTER).with_code("earlier_unread"))
        }
        Reply::SettledNotRun => {
            let message = "the order was settled as not run, which is final for its key";
            Err(Refusal::new(StatusCode::Conflict, message).with_code("settled_not_run"))
        }
        Reply::RanBefore => {
            let message = "the order ran; its outcome is not kept";
            Err(Refusal::new(StatusCode::Gone, message)
                .with_code("outcome_not_kept")
                .with_outcome(Outcome::Ran))
        }
        Reply::InProgress => {
            let message = "another call with this key is under way";
            Err(Refusal::busy(message, RETRY_AFTER)
                .with_code("in_progress")
                .with_outcome(Outcome::Unknown))
        }
        Reply::Unknown => Err(may_have_run("the service's answer was lost")),
        Reply::KeyReused => {
            let message = "the key stands for an order with another body";
            Err(Refusal::new(StatusCode::UnprocessableEntity, message)
                .with_code("idempotency_key_reused"))
        }
    }
}

/// Returns the refusal of an order that may have run.
fn may_have_run(why: &str) -> Refusal {
    let message = format!("the order may have run: {why}; send it again with the same key to ask");
    Refusal::busy(message, RETRY_AFTER)
        .with_code("order_unknown")
        .with_outcome(Outcome::Unknown)
}

/// Returns the refusal of a key whose timestamp is older than the time for which records are kept.
fn key_expired() -> Refusal {
    let message = "the key is older than records are kept, so that the order may have run";
    Refusal::new(StatusCode::Gone, message)
        .with_code("key_expired")
        .with_outcome(Outcome::Unknown)
}

/// Sends one order to the backend servers of its route.
struct OrderCourier {
    context: Arc<FrontContext>,
    /// The digest of the call, by which crashes are attributed to it.
    content: ShortDigest,
    policy: ResolvedPolicy,
    route: Route,
    call: Call,
    answer_timeout: Duration,
    /// Backend servers that rejected the order without running it.
    rejected_by: Arc<Mutex<Vec<BackendId>>>,
    log: Logger,
}

impl OrderClient for OrderCourier {
    fn send(&self, name: &str) -> BoxFuture<'static, SendResult> {
        let (context, content) = (self.context.clone(), self.content);
        if suspect::refusal(&context, &self.policy, &content).is_some() {
            info!(
                self.log,
                "order not sent: backend servers crashed while they ran it"
            );
            return Box::pin(async { SendResult::NotSent });
        }
        let rejected_by = self
            .rejected_by
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .clone();
        let guard = self
            .context
            .chooser
            .choose_for_call(&self.route, &rejected_by, &self.log);
        let Some(mut guard) = guard else {
            info!(self.log, "no backend server accepts the order";
                "excluded" => rejected_by.join(" "));
            return Box::pin(async { SendResult::NotSent });
        };
        let call = Call {
            id: name.to_owned(),
            ..self.call.clone()
        };
        let answer_timeout = self.answer_timeout;
        let log = self.log.clone();
        let rejected_by = self.rejected_by.clone();
        Box::pin(async move {
            let service = HttpService::new(guard.addr, answer_timeout);
            let sent = context.chooser.now();
            let answer = service.call(&call).await;
            if let Ok(answer) = &answer {
                context.chooser.record_limit(guard.addr, answer, sent);
            }
            guard.set_outcome(match &answer {
                Ok(answer) if answer.status < MIN_SERVER_ERROR => health::Outcome::Success,
                Ok(_) => health::Outcome::Fault,
                Err(_) => health::Outcome::Lost,
            });
            suspect::record_call(&context, content, &call.id, guard.addr, &answer).await;
            match answer {
                Ok(answer) if answer.status < MIN_SERVER_ERROR => {
                    SendResult::Answered(order::Outcome {
                        status: answer.status,
                        mime: answer
                            .media_type
                            .unwrap_or_else(|| DEFAULT_MEDIA_TYPE.to_owned()),
                        body: answer.body.to_vec(),
                    })
                }
                Ok(answer) => {
                    info!(log, "service answered the order with a server error; outcome unknown";
                        "status" => answer.status);
                    SendResult::Lost
                }
                Err(CallError::NotRun { cause }) => {
                    info!(log, "backend server did not run the order";
                        "choice" => %guard.addr, "cause" => cause);
                    let mut rejected_by = rejected_by.lock().unwrap_or_else(|e| e.into_inner());
                    rejected_by.push(guard.addr.to_string().into());
                    SendResult::NotSent
                }
                Err(CallError::Unknown { cause }) => {
                    info!(log, "answer to the order lost";
                        "choice" => %guard.addr, "cause" => cause);
                    SendResult::Lost
                }
            }
        })
    }

    fn query(&self, name: &str) -> BoxFuture<'static, QueryResult> {
        let servers: Vec<SocketAddr> = self.route.servers.iter().map(|s| s.addr).collect();
        let name = name.to_owned();
        let log = self.log.clone();
        Box::pin(async move {
            for addr in servers {
                match HttpService::new(addr, QUERY_TIMEOUT).query(&name).await {
                    Ok(CallStatus::Ran { media_type, body }) => {
                        info!(log, "service reports that the order ran"; "asked" => %addr);
                        return QueryResult::Ran(order::Outcome {
                            status: StatusCode::Ok.into(),
                            mime: media_type.unwrap_or_else(|| DEFAULT_MEDIA_TYPE.to_owned()),
                            body: body.to_vec(),
                        });
                    }
                    Ok(CallStatus::Inconclusive) => return QueryResult::Inconclusive,
                    Err(err) => info!(log, "query for the order's outcome failed";
                        "asked" => %addr, "cause" => %err),
                }
            }
            QueryResult::Inconclusive
        })
    }
}
