//! The bodies of answers.

use bytes::Bytes;
use futures_lite::{Stream, StreamExt};
use http::{Response, StatusCode};
use http_body::Frame;
use http_body_util::{combinators::UnsyncBoxBody, BodyExt, Empty, Full, StreamBody};
use snafu::Snafu;

/// The body of an answer to a caller.
pub(crate) type Body = UnsyncBoxBody<Bytes, BodyAborted>;

/// An answer to a caller.
pub(crate) type Reply = Response<Body>;

/// An answer that ends early: its connection is closed, so that it does not look complete.
#[derive(Debug, Snafu)]
#[snafu(display("the response was aborted: {cause}"))]
pub(crate) struct BodyAborted {
    /// Why.
    pub(super) cause: &'static str,
}

/// A body that is known whole.
pub(crate) fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// An answer that is a status alone.
pub(crate) fn empty_reply(status: StatusCode) -> Reply {
    let empty = Empty::new().map_err(|never| match never {});
    let mut reply = Response::new(empty.boxed_unsync());
    *reply.status_mut() = status;
    reply
}

/// A body that is made while it is sent. Dropping it, as when the caller leaves, drops the stream.
pub(super) fn stream_body<S>(chunks: S) -> Body
where
    S: Stream<Item = Result<Bytes, BodyAborted>> + Send + 'static,
{
    let frames = chunks.map(|chunk| chunk.map(Frame::data));
    StreamBody::new(frames).boxed_unsync()
}
