//! Bodies of responses to callers.

use bytes::Bytes;
use futures_lite::{Stream, StreamExt};
use http::{Response, StatusCode};
use http_body::Frame;
use http_body_util::{combinators::UnsyncBoxBody, BodyExt, Empty, Full, StreamBody};
use snafu::Snafu;

/// The body of a response to a caller.
pub(crate) type Body = UnsyncBoxBody<Bytes, BodyAborted>;

/// A response to a caller.
pub(crate) type Reply = Response<Body>;

/// A response body that was aborted. The connection is closed, so that the caller does not take the
/// response for complete.
#[derive(Debug, Snafu)]
#[snafu(display("the answer was cut: {cause}"))]
pub(crate) struct BodyAborted {
    /// The name of the cause, as logs and metrics have it.
    pub(super) cause: &'static str,
}

/// Returns a body whose bytes are all known.
pub(crate) fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a response with an empty body.
pub(crate) fn empty_reply(status: StatusCode) -> Reply {
    let empty = Empty::new().map_err(|never| match never {});
    let mut reply = Response::new(empty.boxed_unsync());
    *reply.status_mut() = status;
    reply
}

/// Returns a body that is produced while it is sent. Dropping the body, for example because the
/// caller disconnects, drops the stream.
pub(super) fn stream_body<S>(chunks: S) -> Body
where
    S: Stream<Item = Result<Bytes, BodyAborted>> + Send + 'static,
{
    let frames = chunks.map(|chunk| chunk.map(Frame::data));
    StreamBody::new(frames).boxed_unsync()
}
