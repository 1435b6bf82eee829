//! The bodies of answers.

use std::pin::Pin;

use bytes::Bytes;
use futures_lite::Stream;
use http::Response;
use http_body::Frame;
use http_body_util::{combinators::UnsyncBoxBody, BodyExt, Empty, Full, StreamBody};
use snafu::Snafu;

/// The body of an answer to a caller.
pub(crate) type Body = UnsyncBoxBody<Bytes, Cut>;

/// An answer to a caller.
pub(crate) type Reply = Response<Body>;

/// An answer that ends early: its connection is closed, so that it does not look complete.
#[derive(Debug, Snafu)]
#[snafu(display("the answer was cut: {cause}"))]
pub(crate) struct Cut {
    /// Why.
    pub(super) cause: &'static str,
}

/// A body that is known whole.
pub(crate) fn whole(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// No body.
pub(super) fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// A body that is made while it is sent. Dropping it, as when the caller leaves, drops the stream.
pub(super) fn stream<S>(chunks: S) -> Body
where
    S: Stream<Item = Result<Bytes, Cut>> + Send + 'static,
{
    let frames = Frames(Box::pin(chunks));
    StreamBody::new(frames).boxed_unsync()
}

/// Chunks as the frames of a body.
struct Frames(Pin<Box<dyn Stream<Item = Result<Bytes, Cut>> + Send>>);

impl Stream for Frames {
    type Item = Result<Frame<Bytes>, Cut>;

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        self.0
            .as_mut()
            .poll_next(cx)
            .map(|item| item.map(|chunk| chunk.map(Frame::data)))
    }
}
