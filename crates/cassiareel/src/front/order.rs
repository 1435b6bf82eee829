//! Non-idempotent calls of plain services.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use http_types::{headers, Request, Response, StatusCode};
use sha2::{Digest, Sha256};
use slog::{info, Logger};

use super::{service::SERVER_ERROR, suspect, Outcome, Parts, Refusal};
use crate::{
    backend::{Call, CallError, HttpService, Inquiry, Service},
    kernel::{
        health,
        order::{self, EarlierCalls, Limits, QueryResult, Record, Reply},
        ticket::ShortDigest,
        BackendId,
    },
    orders::{self, Courier, Delivery},
    settings::{Identity, ResolvedPolicy, Route},
    wire::BoxFuture,
};

/// The header that names a non-idempotent call.
const KEY: &str = "idempotency-key";

/// Longest key, in bytes.
const KEY_BYTES: usize = 255;

/// Time that a caller is asked to wait before it repeats its call.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time to ask a service what became of an order.
const ASK: Duration = Duration::from_secs(2);

/// Media type of a body whose service named none.
const UNNAMED_MEDIA: &str = "application/octet-stream";

/// Makes a non-idempotent call.
pub(super) async fn call(
    parts: &Arc<Parts>,
    identity: &Identity,
    route: Route,
    policy: &ResolvedPolicy,
    call: Call,
    key: &str,
    log: Logger,
) -> Result<Response, Refusal> {
    if Record::is_key_expired(key, orders::now_ms(), policy.orders.expiry) {
        return Err(stale());
    }
    let Some(orders) = &parts.orders else {
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
        query_timeout: ASK,
        retry_delay: policy.retries.pause,
        max_sends: policy.retries.attempts,
    };
    let courier = Arc::new(Carrier {
        parts: parts.clone(),
        content: suspect::content(identity, &call),
        policy: policy.clone(),
        route,
        call,
        answer: policy.time.answer,
        refused: Arc::default(),
        log: log.clone(),
    });
    match orders.call(request, limits, courier, log).await {
        Some(reply) => response(reply),
        // The node stops before the call is answered: it may have been sent.
        None => Err(unknown("the node stops")),
    }
}

/// Takes the key of a non-idempotent call.
pub(super) fn key(req: &Request) -> Result<String, Refusal> {
    let header = req.header(KEY).ok_or_else(|| {
        let message = "a call of this service needs an Idempotency-Key, unique for each order";
        Refusal::invalid(KEY, message)
    })?;
    let key = header.as_str();
    let fits = (1..=KEY_BYTES).contains(&key.len()) && key.bytes().all(|b| b.is_ascii_graphic());
    if fits {
        return Ok(key.to_owned());
    }
    let message =
        format!("{key:?} is not 1 to {KEY_BYTES} printable ASCII characters without a space");
    Err(Refusal::invalid(KEY, message))
}

/// The digest by which a key stands for one call.
fn digest(call: &Call) -> String {
    let mut hash = Sha256::new();
    for part in [call.method.as_ref(), &call.path] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.update(&call.body);
    hex::encode(hash.finalize())
}

/// The caller's answer.
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
        Reply::Unknown => Err(unknown("the service's answer was lost")),
        Reply::KeyReused => {
            let message = "the key stands for an order with another body";
            Err(Refusal::new(StatusCode::UnprocessableEntity, message)
                .with_code("idempotency_key_reused"))
        }
    }
}

/// The refusal of an order that may have run.
fn unknown(why: &str) -> Refusal {
    let message = format!("the order may have run: {why}; send it again with the same key to ask");
    Refusal::busy(message, RETRY_AFTER)
        .with_code("order_unknown")
        .with_outcome(Outcome::Unknown)
}

/// The refusal of a key that states an age past which no record is kept.
fn stale() -> Refusal {
    let message = "the key is older than records are kept, so that the order may have run";
    Refusal::new(StatusCode::Gone, message)
        .with_code("key_expired")
        .with_outcome(Outcome::Unknown)
}

/// Carries one order to the backend servers of its route.
struct Carrier {
    parts: Arc<Parts>,
    /// The digest of what is ordered.
    content: ShortDigest,
    policy: ResolvedPolicy,
    route: Route,
    call: Call,
    answer: Duration,
    /// Backend servers that did not take it.
    refused: Arc<Mutex<Vec<BackendId>>>,
    log: Logger,
}

impl Courier for Carrier {
    fn send(&self, name: &str) -> BoxFuture<'static, Delivery> {
        let (parts, content) = (self.parts.clone(), self.content);
        if suspect::refusal(&parts, &self.policy, &content).is_some() {
            info!(
                self.log,
                "backend servers ended under the order, which is not sent"
            );
            return Box::pin(async { Delivery::NotSent });
        }
        let refused = self
            .refused
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .clone();
        let place = self.parts.chooser.choose(&self.route, &refused, &self.log);
        let Some(mut place) = place else {
            info!(self.log, "no backend server takes the order"; "excluded" => refused.join(" "));
            return Box::pin(async { Delivery::NotSent });
        };
        let call = Call {
            name: name.to_owned(),
            ..self.call.clone()
        };
        let answer = self.answer;
        let log = self.log.clone();
        let refused = self.refused.clone();
        Box::pin(async move {
            let service = HttpService::new(place.addr, answer);
            let answer = service.call(&call).await;
            place.note(match &answer {
                Ok(answer) if answer.status < SERVER_ERROR => health::Outcome::Success,
                Ok(_) => health::Outcome::Fault,
                Err(_) => health::Outcome::Lost,
            });
            suspect::take_in(&parts, content, &call.name, place.addr, &answer).await;
            match answer {
                Ok(answer) if answer.status < SERVER_ERROR => Delivery::Answered(order::Outcome {
                    status: answer.status,
                    mime: answer.media.unwrap_or_else(|| UNNAMED_MEDIA.to_owned()),
                    body: answer.body,
                }),
                Ok(answer) => {
                    info!(log, "order's answer says nothing"; "status" => answer.status);
                    Delivery::Lost
                }
                Err(CallError::NotRun { cause }) => {
                    info!(log, "order not taken"; "choice" => %place.addr, "cause" => cause);
                    let mut refused = refused.lock().unwrap_or_else(|e| e.into_inner());
                    refused.push(place.addr.to_string().into());
                    Delivery::NotSent
                }
                Err(CallError::Unknown { cause }) => {
                    info!(log, "order's answer lost"; "choice" => %place.addr, "cause" => cause);
                    Delivery::Lost
                }
            }
        })
    }

    fn ask(&self, name: &str) -> BoxFuture<'static, QueryResult> {
        let servers: Vec<SocketAddr> = self.route.servers.iter().map(|s| s.addr).collect();
        let name = name.to_owned();
        let log = self.log.clone();
        Box::pin(async move {
            for addr in servers {
                match HttpService::new(addr, ASK).ask(&name).await {
                    Ok(Inquiry::Ran { media, body }) => {
                        info!(log, "service knows the order"; "asked" => %addr);
                        return QueryResult::Ran(order::Outcome {
                            status: StatusCode::Ok.into(),
                            mime: media.unwrap_or_else(|| UNNAMED_MEDIA.to_owned()),
                            body,
                        });
                    }
                    Ok(Inquiry::Unsure) => return QueryResult::Inconclusive,
                    Err(err) => info!(log, "service not asked"; "asked" => %addr, "cause" => %err),
                }
            }
            QueryResult::Inconclusive
        })
    }
}
