//! The HTTP client for model engines, specified in docs/design/engine-interface.md.

use std::{net::SocketAddr, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use futures_lite::{future, stream, StreamExt};
use http_types::{Method, Request, Response, StatusCode, Url};
use serde::Deserialize;
use serde_json::{json, Value};

use super::{
    load_report::parse_load_report, AttemptRequest, CacheEvents, ChunkStream, Engine,
    EngineCommand, LoadReport, StreamChunk, StreamError,
};
use crate::{
    kernel::{generation::FinishReason, Attempt, Position, RequestId, TokenId},
    wire::{self, CallTimeouts, EventLimit, SendError},
};

/// Size limit of the answer to a control call, in bytes.
const MAX_CONTROL_ANSWER_BYTES: usize = 4 << 20;

/// Time for an engine to send the head of its answer to a control call.
const CONTROL_HEAD_TIMEOUT: Duration = Duration::from_secs(2);

/// The media type of a stream.
const EVENT_STREAM: &str = "text/event-stream";

/// An engine that is reached over HTTP.
#[derive(Clone, Copy, Debug)]
pub struct HttpEngine {
    addr: SocketAddr,
    open_timeouts: CallTimeouts,
}

impl HttpEngine {
    /// Creates a client for the engine at an address.
    ///
    /// `head` is the time for the engine to send the head of a stream's response.
    pub fn new(addr: SocketAddr, head: Duration) -> HttpEngine {
        HttpEngine {
            addr,
            open_timeouts: CallTimeouts::new(head),
        }
    }

    async fn stream(&self, req: Request) -> Result<ChunkStream, StreamError> {
        let res = self.send(req, self.open_timeouts).await?;
        let media_type = res.content_type();
        if media_type
            .as_ref()
            .is_none_or(|mime| mime.essence() != EVENT_STREAM)
        {
            return Err(StreamError::Malformed {
                cause: format!("{media_type:?} is not the type of a stream"),
            });
        }
        Ok(Box::pin(chunk_stream(res)))
    }

    /// Sends a request, and turns a status other than success into a refusal.
    async fn send(&self, req: Request, limits: CallTimeouts) -> Result<Response, StreamError> {
        let mut res = wire::send(self.addr, req, limits)
            .await
            .map_err(|err| match err {
                SendError::NotSent { refused, .. } => StreamError::NotSent {
                    cause: err.to_string(),
                    refused,
                },
                SendError::NoAnswer { .. } => StreamError::Lost {
                    cause: err.to_string(),
                },
            })?;
        if res.status().is_success() {
            return Ok(res);
        }
        let body = wire::read_body(res.take_body(), MAX_CONTROL_ANSWER_BYTES)
            .await
            .map_err(|err| StreamError::Lost {
                cause: err.to_string(),
            })?;
        Err(StreamError::Refused {
            status: res.status().into(),
            message: String::from_utf8_lossy(&body).into_owned(),
        })
    }

    /// Sends a control call and reads its whole answer.
    async fn control_call(&self, req: Request) -> Result<Bytes, StreamError> {
        let mut res = self
            .send(req, CallTimeouts::new(CONTROL_HEAD_TIMEOUT))
            .await?;
        wire::read_body(res.take_body(), MAX_CONTROL_ANSWER_BYTES)
            .await
            .map_err(|err| StreamError::Lost {
                cause: err.to_string(),
            })
    }

    fn build_request(&self, method: Method, path: &str) -> Request {
        let url = format!("http://{}{path}", self.addr);
        // INVARIANT: paths consist of constants, numbers and percent-encoded ids, so the URL is
        // valid.
        Request::new(method, Url::parse(&url).expect("the path is valid"))
    }
}

#[async_trait]
impl Engine for HttpEngine {
    async fn open(&self, start: &AttemptRequest) -> Result<ChunkStream, StreamError> {
        let mut body = (*start.body).clone();
        body.insert("stream".into(), json!(true));
        body.remove("stream_options");
        body.insert(
            "request_id".into(),
            json!(stream_id(&start.request, start.attempt)),
        );
        body.insert("priority".into(), json!(start.priority));
        if !start.prior_tokens.is_empty() {
            body.insert("prior_token_ids".into(), json!(*start.prior_tokens));
            body.insert("prior_text_bytes".into(), json!(start.prior_text_bytes));
        }
        let mut req = self.build_request(Method::Post, start.path);
        req.set_content_type(http_types::mime::JSON);
        req.set_body(Value::Object(body).to_string());
        self.stream(req).await
    }

    async fn attach(
        &self,
        request: &RequestId,
        attempt: Attempt,
        from: Position,
        from_text: usize,
    ) -> Result<ChunkStream, StreamError> {
        let path = format!(
            "/v1/streams/{}?from={from}&from_text={from_text}",
            encoded_stream_id(request, attempt)
        );
        self.stream(self.build_request(Method::Get, &path)).await
    }

    async fn cancel(&self, request: &RequestId, attempt: Attempt) -> Result<(), StreamError> {
        let path = format!("/v1/streams/{}", encoded_stream_id(request, attempt));
        self.control_call(self.build_request(Method::Delete, &path))
            .await
            .map(drop)
    }

    async fn load(&self) -> Result<LoadReport, StreamError> {
        let body = self
            .control_call(self.build_request(Method::Get, "/load"))
            .await?;
        parse_load_report(&body)
    }

    async fn cache_events(&self, since: u64, full: bool) -> Result<CacheEvents, StreamError> {
        let path = if full {
            "/cache/events?full=1".to_owned()
        } else {
            format!("/cache/events?since={since}")
        };
        let body = self
            .control_call(self.build_request(Method::Get, &path))
            .await?;
        parse(&body)
    }

    async fn send_command(&self, command: &EngineCommand) -> Result<(), StreamError> {
        let mut req = self.build_request(Method::Post, "/orders");
        req.set_content_type(http_types::mime::JSON);
        req.set_body(json!(command).to_string());
        self.control_call(req).await.map(drop)
    }
}

/// The data of an event in an engine's stream.
#[derive(Debug, Deserialize)]
struct ChunkMessage {
    id: String,
    position: Position,
    token_ids: Vec<TokenId>,
    text: String,
    finish_reason: Option<StreamEnd>,
    usage: Option<Usage>,
}

/// Why a stream ended.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum StreamEnd {
    Length,
    Replaced,
    Stop,
}

/// The token counts at the end of an engine's stream.
#[derive(Debug, Deserialize)]
struct Usage {
    prompt_tokens: u32,
}

/// Returns the id of an attempt's stream.
fn stream_id(request: &RequestId, attempt: Attempt) -> String {
    format!("{request}#{attempt}")
}

/// Returns the id of an attempt's stream as a path segment. Generation ids consist of unreserved
/// characters, so that only the separator is percent-encoded.
fn encoded_stream_id(request: &RequestId, attempt: Attempt) -> String {
    format!("{request}%23{attempt}")
}

/// Returns the chunks of a response, which end after the last chunk or with an error.
fn chunk_stream(
    res: Response,
) -> impl stream::Stream<Item = Result<StreamChunk, StreamError>> + Send {
    let reader = ChunkReader {
        events: async_sse::decode(EventLimit::new(res)),
        pending: None,
    };
    stream::unfold(Some(reader), |reader| async {
        let mut reader = reader?;
        match reader.next().await {
            Ok(chunk @ StreamChunk::Finished { .. }) => Some((Ok(chunk), None)),
            Ok(chunk) => Some((Ok(chunk), Some(reader))),
            Err(err) => Some((Err(err), None)),
        }
    })
}

/// Reads chunks, and merges those that are available at the same time.
struct ChunkReader {
    events: async_sse::Decoder<EventLimit<Response>>,
    /// The result that was read after the merged chunks and could not be merged.
    pending: Option<Result<StreamChunk, StreamError>>,
}

impl ChunkReader {
    /// Waits for a chunk, and merges into it the tokens that have arrived by then, so that they are
    /// processed and delivered together.
    async fn next(&mut self) -> Result<StreamChunk, StreamError> {
        let mut chunk = match self.pending.take() {
            Some(pending) => pending?,
            None => next_chunk(&mut self.events).await?,
        };
        for _ in 0..MAX_MERGED_CHUNKS {
            let Some(next) = future::poll_once(next_chunk(&mut self.events)).await else {
                break;
            };
            if let Some(other) = merge(&mut chunk, next) {
                self.pending = Some(other);
                break;
            }
        }
        Ok(chunk)
    }
}

/// Number of chunks that may be merged into one, so that the first of them is not delayed for long.
const MAX_MERGED_CHUNKS: usize = 64;

/// Merges the next chunk into `chunk` if it follows without a gap, and returns it otherwise.
fn merge(
    chunk: &mut StreamChunk,
    next: Result<StreamChunk, StreamError>,
) -> Option<Result<StreamChunk, StreamError>> {
    match (chunk, next) {
        (
            StreamChunk::Tokens {
                request,
                attempt,
                position,
                ids,
                text,
            },
            Ok(StreamChunk::Tokens {
                request: request_2,
                attempt: attempt_2,
                position: position_2,
                ids: ids_2,
                text: text_2,
            }),
        ) if *request == request_2
            && *attempt == attempt_2
            && position_2 as usize == *position as usize + ids.len() =>
        {
            ids.extend(ids_2);
            text.push_str(&text_2);
            None
        }
        (_, next) => Some(next),
    }
}

/// Reads the next event that carries a chunk.
async fn next_chunk(
    events: &mut async_sse::Decoder<EventLimit<Response>>,
) -> Result<StreamChunk, StreamError> {
    loop {
        match events.next().await {
            Some(Ok(async_sse::Event::Message(message))) => return parse_chunk(message.data()),
            Some(Ok(async_sse::Event::Retry(_))) => {}
            Some(Err(err)) => {
                return Err(StreamError::Lost {
                    cause: err.to_string(),
                })
            }
            None => {
                return Err(StreamError::Lost {
                    cause: "the stream ended before its finish".into(),
                })
            }
        }
    }
}

/// Parses a chunk from the data of an event.
fn parse_chunk(data: &[u8]) -> Result<StreamChunk, StreamError> {
    let message: ChunkMessage = parse(data)?;
    let (request, attempt) = message
        .id
        .rsplit_once('#')
        .and_then(|(request, attempt)| Some((request.into(), attempt.parse().ok()?)))
        .ok_or_else(|| StreamError::Malformed {
            cause: format!("{:?} is not the id of an attempt", message.id),
        })?;
    let reason = match message.finish_reason {
        None => None,
        Some(StreamEnd::Length) => Some(FinishReason::Length),
        Some(StreamEnd::Stop) => Some(FinishReason::Stop),
        Some(StreamEnd::Replaced) => return Err(StreamError::Replaced),
    };
    Ok(match reason {
        None => StreamChunk::Tokens {
            request,
            attempt,
            position: message.position,
            ids: message.token_ids,
            text: message.text,
        },
        Some(reason) => StreamChunk::Finished {
            request,
            attempt,
            position: message.position,
            reason,
            prompt_tokens: message.usage.map_or(0, |usage| usage.prompt_tokens),
        },
    })
}

/// Parses JSON.
fn parse<'a, T>(data: &'a [u8]) -> Result<T, StreamError>
where
    T: Deserialize<'a>,
{
    serde_json::from_slice(data).map_err(|err| StreamError::Malformed {
        cause: err.to_string(),
    })
}

/// Reports whether another engine may accept a request that was refused with this status.
pub(crate) fn is_transient(status: u16) -> bool {
    matches!(
        StatusCode::try_from(status),
        Ok(StatusCode::NotFound | StatusCode::ServiceUnavailable | StatusCode::TooManyRequests)
    )
}
