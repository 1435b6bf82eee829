//! Plain services over HTTP.

use std::{net::SocketAddr, time::Duration};

use async_trait::async_trait;
use http_types::{headers, Method, Request, StatusCode, Url};
use serde::Deserialize;

use super::{Answer, Call, CallError, CallStatus, Service};
use crate::wire::{self, CallTimeouts, SendError};

/// Largest answer of a plain service, in bytes.
const ANSWER_LIMIT: usize = 1 << 20;

/// The header by which a service says that it did not run a call it refuses.
const NOT_RUN: &str = "x-not-run";

/// The header that carries a call's name on each hop.
const REQUEST_ID: &str = "x-request-id";

/// A plain service's backend server that speaks HTTP.
#[derive(Clone, Copy, Debug)]
pub struct HttpService {
    addr: SocketAddr,
    limits: CallTimeouts,
}

impl HttpService {
    /// A service at an address, whose answer may take `head` to begin.
    pub fn new(addr: SocketAddr, head: Duration) -> HttpService {
        HttpService {
            addr,
            limits: CallTimeouts::new(head),
        }
    }

    fn request(&self, call: &Call) -> Result<Request, CallError> {
        let url = format!("http://{}{}", self.addr, call.path);
        let url = Url::parse(&url).map_err(|err| CallError::NotRun {
            cause: format!("{url:?} is not a URL: {err}"),
        })?;
        let mut req = Request::new(call.method, url);
        req.set_body(call.body.clone());
        let media_type = call
            .media_type
            .as_deref()
            .unwrap_or("application/octet-stream");
        req.insert_header(headers::CONTENT_TYPE, media_type);
        req.insert_header("idempotency-key", call.id.as_str());
        req.insert_header(REQUEST_ID, call.id.as_str());
        Ok(req)
    }
}

#[async_trait]
impl Service for HttpService {
    async fn call(&self, call: &Call) -> Result<Answer, CallError> {
        let req = self.request(call)?;
        let mut res = wire::send(self.addr, req, self.limits)
            .await
            .map_err(|err| match err {
                SendError::NotSent { .. } => CallError::NotRun {
                    cause: err.to_string(),
                },
                SendError::NoAnswer { .. } => CallError::Unknown {
                    cause: err.to_string(),
                },
            })?;
        if let Some(name) = res.header(REQUEST_ID) {
            if name.as_str() != call.id {
                let cause = format!("the answer is for {:?}, not {:?}", name.as_str(), call.id);
                return Err(CallError::Unknown { cause });
            }
        }
        let not_run = res.header(NOT_RUN).is_some();
        let media_type = res
            .header(headers::CONTENT_TYPE)
            .map(|value| value.as_str().to_owned());
        let status = res.status();
        let body = wire::read_body(res.take_body(), ANSWER_LIMIT)
            .await
            .map_err(|err| CallError::Unknown {
                cause: err.to_string(),
            })?;
        if not_run && status != StatusCode::Ok {
            let cause = String::from_utf8_lossy(&body).into_owned();
            return Err(CallError::NotRun { cause });
        }
        Ok(Answer {
            status: status.into(),
            media_type,
            body,
        })
    }

    async fn query(&self, id: &str) -> Result<CallStatus, CallError> {
        let lost = |cause: String| CallError::Unknown { cause };
        let url = format!("http://{}/orders/{id}", self.addr);
        let url = Url::parse(&url).map_err(|err| lost(err.to_string()))?;
        let mut res = wire::send(self.addr, Request::new(Method::Get, url), self.limits)
            .await
            .map_err(|err| lost(err.to_string()))?;
        if res.status() != StatusCode::Ok {
            return Ok(CallStatus::Inconclusive);
        }
        let media_type = res
            .header(headers::CONTENT_TYPE)
            .map(|value| value.as_str().to_owned());
        let body = wire::read_body(res.take_body(), ANSWER_LIMIT)
            .await
            .map_err(|err| lost(err.to_string()))?;
        let found: Found = serde_json::from_slice(&body).map_err(|err| lost(err.to_string()))?;
        // The words must be about this call: answers cross.
        if found.order != id || found.state != "ran" {
            return Ok(CallStatus::Inconclusive);
        }
        Ok(CallStatus::Ran { media_type, body })
    }
}

/// A service's words about a call.
#[derive(Deserialize)]
struct Found {
    order: String,
    state: String,
}
