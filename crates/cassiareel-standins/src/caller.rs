/*!
A caller that behaves like a standard client: it sends requests, reads server-sent events, and
reconnects with the id of the last event when its connection is lost.
*/

use std::{net::SocketAddr, time::Duration};

use cassiareel::wire::{self, CallTimeouts, SendError};
use futures_lite::StreamExt;
use http_types::{Method, Request, Response, StatusCode, Url};
use serde_json::Value;

/// The timeout until the head of an answer arrives.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);

/// The part of a streamed answer that the caller has received.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReceivedStream {
    /// The received text.
    pub text: String,
    /// The finish reason of the API, if the answer has ended.
    pub finish_reason: Option<String>,
    /// The number of completion tokens that the answer states in its usage.
    pub completion_tokens: Option<u64>,
    /// The error that ended the answer.
    pub error: Option<Value>,
    /// Whether the stream ended with `[DONE]`.
    pub done: bool,
    /// The token ids, if the caller requested them.
    pub token_ids: Vec<u32>,
    /// The id of the last received event.
    pub last_event_id: Option<String>,
}

/// A caller with an API key.
#[derive(Clone, Debug)]
pub struct Caller {
    key: String,
    sends_token_ids: bool,
}

impl Caller {
    /// Creates a caller with an API key.
    pub fn new(key: &str) -> Caller {
        Caller {
            key: key.to_owned(),
            sends_token_ids: false,
        }
    }

    /// Requests token ids, and sends the received ones when it reconnects, which a standard client
    /// does not do.
    pub fn with_token_ids(mut self) -> Caller {
        self.sends_token_ids = true;
        self
    }

    /// Posts a body and returns the answer when its head has arrived.
    ///
    /// # Errors
    ///
    /// Fails when the node cannot be reached or the answer does not begin within 60 seconds.
    ///
    /// # Panics
    ///
    /// Panics when `path` is not a valid path.
    pub async fn post(
        &self,
        addr: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Result<Response, SendError> {
        let url = Url::parse(&format!("http://{addr}{path}")).expect("the path forms a valid URL");
        let mut req = Request::new(Method::Post, url);
        req.insert_header("authorization", format!("Bearer {}", self.key));
        for (name, value) in headers {
            req.insert_header(*name, *value);
        }
        req.set_body(body);
        req.set_content_type(http_types::mime::JSON);
        wire::send(addr, req, CallTimeouts::new(HEAD_TIMEOUT)).await
    }

    /// Sends a streamed completions request and appends the answer to `received`, starting after the
    /// events that `received` already holds. Calls `on_event` after each event. Returns true when
    /// the answer ended, with or without an error.
    pub async fn stream<F>(
        &self,
        addr: SocketAddr,
        body: &Value,
        received: &mut ReceivedStream,
        on_event: F,
    ) -> bool
    where
        F: FnMut(&ReceivedStream),
    {
        let last = received.last_event_id.clone();
        let mut body = body.clone();
        if self.sends_token_ids {
            body["return_token_ids"] = true.into();
        }
        if self.sends_token_ids && last.is_some() {
            body["prior_token_ids"] = received.token_ids.clone().into();
        }
        let headers: Vec<(&str, &str)> = last
            .iter()
            .map(|id| ("last-event-id", id.as_str()))
            .collect();
        let sent = self.post(addr, "/v1/completions", &headers, body.to_string());
        let Ok(mut res) = sent.await else {
            return false;
        };
        if res.status() == StatusCode::Ok {
            return read_events(res, received, on_event).await;
        }
        let bytes = res.body_bytes().await.unwrap_or_default();
        let answer: Value = serde_json::from_slice(&bytes).unwrap_or_default();
        received.error = Some(answer["error"].clone());
        true
    }
}

/// Reads events into `received`, and calls `on_event` after each. Returns false when the connection
/// was lost before the end of the answer.
pub async fn read_events<F>(res: Response, received: &mut ReceivedStream, mut on_event: F) -> bool
where
    F: FnMut(&ReceivedStream),
{
    let mut events = async_sse::decode(res);
    while let Some(Ok(event)) = events.next().await {
        let async_sse::Event::Message(message) = event else {
            continue;
        };
        if message.data() == b"[DONE]" {
            received.done = true;
            return true;
        }
        if let Some(id) = message.id() {
            received.last_event_id = Some(id.clone());
        }
        let data: Value = serde_json::from_slice(message.data()).unwrap_or_default();
        apply_event(received, &data);
        if received.error.is_some() {
            return true;
        }
        on_event(received);
    }
    false
}

/// Applies an event's data to the received stream.
fn apply_event(received: &mut ReceivedStream, data: &Value) {
    if !data["error"].is_null() {
        received.error = Some(data["error"].clone());
        return;
    }
    let choice = &data["choices"][0];
    received
        .text
        .push_str(choice["text"].as_str().unwrap_or(""));
    let ids = choice["token_ids"].as_array();
    received.token_ids.extend(
        ids.into_iter()
            .flatten()
            .filter_map(|id| id.as_u64())
            .map(|id| id as u32),
    );
    if let Some(reason) = choice["finish_reason"].as_str() {
        received.finish_reason = Some(reason.to_owned());
    }
    if let Some(tokens) = data["usage"]["completion_tokens"].as_u64() {
        received.completion_tokens = Some(tokens);
    }
}
