//! Model engines over HTTP, as docs/design/engine-interface.md says.

use std::{net::SocketAddr, time::Duration};

use async_trait::async_trait;
use futures_lite::{future, stream, StreamExt};
use http_types::{Method, Request, Response, StatusCode, Url};
use serde::Deserialize;
use serde_json::{json, Value};

use super::{
    AttemptRequest, CacheEvents, ChunkStream, Engine, EngineCommand, LoadReport, StreamChunk,
    StreamError,
};
use crate::{
    kernel::{generation::FinishReason, Attempt, Position, RequestId, TokenId},
    wire::{self, CallTimeouts, SendError},
};

/// Largest answer to a control call, in bytes.
const CONTROL_LIMIT: usize = 4 << 20;

/// Time for a control call's answer to begin.
const CONTROL_HEAD: Duration = Duration::from_secs(2);

/// An engine that speaks HTTP.
#[derive(Clone, Copy, Debug)]
pub struct HttpEngine {
    addr: SocketAddr,
    open: CallTimeouts,
}

impl HttpEngine {
    /// An engine at an address, whose answer to a start may take `head` to begin.
    pub fn new(addr: SocketAddr, head: Duration) -> HttpEngine {
        HttpEngine {
            addr,
            open: CallTimeouts::new(head),
        }
    }

    async fn stream(&self, req: Request) -> Result<ChunkStream, StreamError> {
        let res = self.send(req, self.open).await?;
        Ok(Box::pin(pieces(res)))
    }

    /// Sends a request and turns every status but success into a refusal.
    async fn send(&self, req: Request, limits: CallTimeouts) -> Result<Response, StreamError> {
        let mut res = wire::send(self.addr, req, limits)
            .await
            .map_err(|err| match err {
                SendError::NotSent { .. } => StreamError::NotSent {
                    cause: err.to_string(),
                },
                SendError::NoAnswer { .. } => StreamError::Lost {
                    cause: err.to_string(),
                },
            })?;
        if res.status().is_success() {
            return Ok(res);
        }
        let body = wire::read_body(res.take_body(), CONTROL_LIMIT)
            .await
            .map_err(|err| StreamError::Lost {
                cause: err.to_string(),
            })?;
        Err(StreamError::Refused {
            status: res.status().into(),
            message: String::from_utf8_lossy(&body).into_owned(),
        })
    }

    /// Makes a control call and reads its whole answer.
    async fn ask(&self, req: Request) -> Result<Vec<u8>, StreamError> {
        let mut res = self.send(req, CallTimeouts::new(CONTROL_HEAD)).await?;
        wire::read_body(res.take_body(), CONTROL_LIMIT)
            .await
            .map_err(|err| StreamError::Lost {
                cause: err.to_string(),
            })
    }

    fn request(&self, method: Method, path: &str) -> Request {
        let url = format!("http://{}{path}", self.addr);
        // INVARIANT: paths are constants, numbers and percent-encoded ids, so that the URL is valid.
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
            json!(name(&start.request, start.attempt)),
        );
        body.insert("priority".into(), json!(start.priority));
        if !start.prior_tokens.is_empty() {
            body.insert("prior_token_ids".into(), json!(*start.prior_tokens));
            body.insert("prior_text_bytes".into(), json!(start.prior_text_bytes));
        }
        let mut req = self.request(Method::Post, start.path);
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
            encoded(request, attempt)
        );
        self.stream(self.request(Method::Get, &path)).await
    }

    async fn cancel(&self, request: &RequestId, attempt: Attempt) -> Result<(), StreamError> {
        let path = format!("/v1/streams/{}", encoded(request, attempt));
        self.ask(self.request(Method::Delete, &path))
            .await
            .map(drop)
    }

    async fn load(&self) -> Result<LoadReport, StreamError> {
        let body = self.ask(self.request(Method::Get, "/load")).await?;
        parse(&body)
    }

    async fn cache_events(&self, since: u64, full: bool) -> Result<CacheEvents, StreamError> {
        let path = if full {
            "/cache/events?full=1".to_owned()
        } else {
            format!("/cache/events?since={since}")
        };
        let body = self.ask(self.request(Method::Get, &path)).await?;
        parse(&body)
    }

    async fn send_command(&self, command: &EngineCommand) -> Result<(), StreamError> {
        let mut req = self.request(Method::Post, "/orders");
        req.set_content_type(http_types::mime::JSON);
        req.set_body(json!(command).to_string());
        self.ask(req).await.map(drop)
    }
}

/// An event of an engine's stream.
#[derive(Debug, Deserialize)]
struct Chunk {
    id: String,
    position: Position,
    token_ids: Vec<TokenId>,
    text: String,
    finish_reason: Option<End>,
    usage: Option<Usage>,
}

/// How a stream ends.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum End {
    Length,
    Replaced,
    Stop,
}

/// The token counts at the end of an engine's stream.
#[derive(Debug, Deserialize)]
struct Usage {
    prompt_tokens: u32,
}

/// The name of an attempt's stream.
fn name(request: &RequestId, attempt: Attempt) -> String {
    format!("{request}#{attempt}")
}

/// The name of an attempt's stream in a path; ids are of unreserved characters.
fn encoded(request: &RequestId, attempt: Attempt) -> String {
    format!("{request}%23{attempt}")
}

/// Reads a stream's events; it ends after its last piece, or with an error.
fn pieces(res: Response) -> impl stream::Stream<Item = Result<StreamChunk, StreamError>> + Send {
    let reader = Pieced {
        events: async_sse::decode(res),
        ahead: None,
    };
    stream::unfold(Some(reader), |reader| async {
        let mut reader = reader?;
        match reader.next().await {
            Ok(piece @ StreamChunk::Finished { .. }) => Some((Ok(piece), None)),
            Ok(piece) => Some((Ok(piece), Some(reader))),
            Err(err) => Some((Err(err), None)),
        }
    })
}

/// A reader of pieces that joins those that are there together.
struct Pieced {
    events: async_sse::Decoder<Response>,
    /// What was read after the joined pieces and does not belong to them.
    ahead: Option<Result<StreamChunk, StreamError>>,
}

impl Pieced {
    /// Waits for a piece, and joins to it the tokens that have come by then, so that what follows
    /// is done once for all of them.
    async fn next(&mut self) -> Result<StreamChunk, StreamError> {
        let mut piece = match self.ahead.take() {
            Some(ahead) => ahead?,
            None => next_piece(&mut self.events).await?,
        };
        for _ in 0..MOST_JOINED {
            let Some(more) = future::poll_once(next_piece(&mut self.events)).await else {
                break;
            };
            if let Some(other) = join(&mut piece, more) {
                self.ahead = Some(other);
                break;
            }
        }
        Ok(piece)
    }
}

/// Most pieces that are joined to one, so that the first of them is not held up for long.
const MOST_JOINED: usize = 64;

/// Joins a piece that follows without a hole; gives back one that does not.
fn join(
    piece: &mut StreamChunk,
    more: Result<StreamChunk, StreamError>,
) -> Option<Result<StreamChunk, StreamError>> {
    match (piece, more) {
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
        (_, more) => Some(more),
    }
}

/// Reads the next event that carries a piece.
async fn next_piece(events: &mut async_sse::Decoder<Response>) -> Result<StreamChunk, StreamError> {
    loop {
        match events.next().await {
            Some(Ok(async_sse::Event::Message(message))) => return piece(message.data()),
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

/// Reads a piece from an event's data.
fn piece(data: &[u8]) -> Result<StreamChunk, StreamError> {
    let chunk: Chunk = parse(data)?;
    let (request, attempt) = chunk
        .id
        .rsplit_once('#')
        .and_then(|(request, attempt)| Some((request.into(), attempt.parse().ok()?)))
        .ok_or_else(|| StreamError::Malformed {
            cause: format!("{:?} is not the id of an attempt", chunk.id),
        })?;
    let reason = match chunk.finish_reason {
        None => None,
        Some(End::Length) => Some(FinishReason::Length),
        Some(End::Stop) => Some(FinishReason::Stop),
        Some(End::Replaced) => return Err(StreamError::Replaced),
    };
    Ok(match reason {
        None => StreamChunk::Tokens {
            request,
            attempt,
            position: chunk.position,
            ids: chunk.token_ids,
            text: chunk.text,
        },
        Some(reason) => StreamChunk::Finished {
            request,
            attempt,
            position: chunk.position,
            reason,
            prompt_tokens: chunk.usage.map_or(0, |usage| usage.prompt_tokens),
        },
    })
}

/// Reads JSON.
fn parse<'a, T>(data: &'a [u8]) -> Result<T, StreamError>
where
    T: Deserialize<'a>,
{
    serde_json::from_slice(data).map_err(|err| StreamError::Malformed {
        cause: err.to_string(),
    })
}

/// Whether a refusal means that another engine may take the request.
pub(crate) fn is_transient(status: u16) -> bool {
    matches!(
        StatusCode::try_from(status),
        Ok(StatusCode::NotFound | StatusCode::ServiceUnavailable | StatusCode::TooManyRequests)
    )
}
