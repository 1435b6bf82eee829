/*!
HTTP server and client on top of `async-h1`, with checks that the library lacks.

The library does not answer requests with a malformed head, has no client timeouts, drops the body
of a response without a length, and treats a body that is shorter than its `Content-Length` as
complete. [`serve`] answers invalid heads with a 4xx status, [`send`] has a timeout for each stage of
a call and reads a body without a length to the end of its connection, and [`read_body`] compares the
length of a body with the header and treats a difference as a lost connection. [`EventLimit`] bounds
what a decoder of event streams keeps.
*/

mod body;
#[cfg(test)]
mod body_tests;
mod client;
mod event_limit;
#[cfg(test)]
mod event_limit_tests;
mod listener;
mod request_stream;
mod response;
mod server;

pub use body::{bytes_body, read_body, read_body_within, BodyError};
pub use client::{send, CallTimeouts, SendError};
pub use event_limit::{EventLimit, MAX_EVENT_BYTES};
pub use listener::bind_listener;
pub use server::{
    serve, serve_with_source, Handler, OpenConnections, ServerHandle, ServerLimits,
    ServerLimitsSource, MAX_HEAD_BYTES,
};

/// A boxed future, as returned by methods of trait objects.
pub type BoxFuture<'a, T> = std::pin::Pin<Box<dyn std::future::Future<Output = T> + Send + 'a>>;
