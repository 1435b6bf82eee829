//! The HTTP client for plain services.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use async_trait::async_trait;
use bytes::Bytes;
use http_types::{headers, Method, Request, Response, StatusCode, Url};
use serde::Deserialize;

use super::{Answer, Call, CallError, CallStatus, Service};
use crate::wire::{self, CallTimeouts, SendError};

/// Size limit of a plain service's answer, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// The header with which a service states that it did not run a call that it refused.
const NOT_RUN_HEADER: &str = "x-not-run";

/// The header with a call's id, in requests and answers.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// The header in which a service names the requests a second that it takes from all nodes together.
const REQUEST_LIMIT_HEADER: &str = "x-request-limit";

/// A plain service's backend server that is reached over HTTP.
#[derive(Clone, Copy, Debug)]
pub struct HttpService {
    addr: SocketAddr,
    answer_timeout: Duration,
}

impl HttpService {
    /// Creates a client for the server at an address.
    ///
    /// `answer_timeout` is the time for the server to send its complete answer.
    pub fn new(addr: SocketAddr, answer_timeout: Duration) -> HttpService {
        HttpService {
            addr,
            answer_timeout,
        }
    }

    /// Sends a request and reads the complete answer.
    async fn exchange(&self, req: Request) -> Result<(Response, Bytes), SendError> {
        let began = Instant::now();
        let timeouts = CallTimeouts::new(self.answer_timeout);
        let mut res = wire::send(self.addr, req, timeouts).await?;
        let time = self.answer_timeout.saturating_sub(began.elapsed());
        let body = wire::read_body_within(res.take_body(), MAX_ANSWER_BYTES, time)
            .await
            .map_err(|err| SendError::NoAnswer {
                addr: self.addr,
                cause: err.to_string(),
            })?;
        Ok((res, body))
    }

    fn build_request(&self, call: &Call) -> Result<Request, CallError> {
        let url = format!("http://{}{}", self.addr, call.path);
        let url = Url::parse(&url).map_err(|err| CallError::NotRun {
            cause: format!("{url:?} is not a URL: {err}"),
        })?;
        let mut req = Request::new(call.method, url);
        req.set_body(wire::bytes_body(call.body.clone()));
        let media_type = call
            .media_type
            .as_deref()
            .unwrap_or("application/octet-stream");
        req.insert_header(headers::CONTENT_TYPE, media_type);
        req.insert_header("idempotency-key", call.id.as_str());
        req.insert_header(REQUEST_ID_HEADER, call.id.as_str());
        Ok(req)
    }
}

#[async_trait]
impl Service for HttpService {
    async fn call(&self, call: &Call) -> Result<Answer, CallError> {
        let req = self.build_request(call)?;
        let (res, body) = self.exchange(req).await.map_err(|err| match err {
            SendError::NotSent { .. } => CallError::NotRun {
                cause: err.to_string(),
            },
            SendError::NoAnswer { .. } => CallError::Unknown {
                cause: err.to_string(),
            },
        })?;
        if let Some(name) = res.header(REQUEST_ID_HEADER) {
            if name.as_str() != call.id {
                let cause = format!("the answer is for {:?}, not {:?}", name.as_str(), call.id);
                return Err(CallError::Unknown { cause });
            }
        }
        let not_run = res.header(NOT_RUN_HEADER).is_some();
        let limit = res
            .header(REQUEST_LIMIT_HEADER)
            .map(|value| value.as_str().parse().unwrap_or(f64::NAN));
        let media_type = res
            .header(headers::CONTENT_TYPE)
            .map(|value| value.as_str().to_owned());
        let status = res.status();
        if not_run && status != StatusCode::Ok {
            let cause = String::from_utf8_lossy(&body).into_owned();
            return Err(CallError::NotRun { cause });
        }
        Ok(Answer {
            request_limit: limit,
            status: status.into(),
            media_type,
            body,
        })
    }

    async fn query(&self, id: &str) -> Result<CallStatus, CallError> {
        let unknown = |cause: String| CallError::Unknown { cause };
        let url = format!("http://{}/orders/{id}", self.addr);
        let url = Url::parse(&url).map_err(|err| unknown(err.to_string()))?;
        let (res, body) = self
            .exchange(Request::new(Method::Get, url))
            .await
            .map_err(|err| unknown(err.to_string()))?;
        if res.status() != StatusCode::Ok {
            return Ok(CallStatus::Inconclusive);
        }
        let media_type = res
            .header(headers::CONTENT_TYPE)
            .map(|value| value.as_str().to_owned());
        let status: OrderStatus =
            serde_json::from_slice(&body).map_err(|err| unknown(err.to_string()))?;
        // The answer must be about this call, as answers may be delivered to the wrong call.
        if status.order != id || status.state != "ran" {
            return Ok(CallStatus::Inconclusive);
        }
        Ok(CallStatus::Ran { media_type, body })
    }
}

/// A service's answer to a query for the outcome of a call.
#[derive(Deserialize)]
struct OrderStatus {
    order: String,
    state: String,
}
