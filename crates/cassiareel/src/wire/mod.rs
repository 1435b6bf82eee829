/*!
HTTP plumbing over `async-h1`, with the checks that it lacks.

The library answers nothing to a malformed head, has no timeouts on its client side, and reads a
body cut short of its `Content-Length` as a clean end. [`serve`] answers bad heads with a clear
4xx, [`send`] bounds each stage of a call, and [`read_body`] compares the byte count with the header
and treats a difference as a lost connection.
*/

mod body;
mod client;
mod listener;
mod server;

pub use body::{read_body, read_body_within, BodyError};
pub use client::{send, CallTimeouts, SendError};
pub use listener::bind_listener;
pub use server::{
    serve, serve_with_source, Handler, ServerHandle, ServerLimits, ServerLimitsSource,
    MAX_HEAD_BYTES,
};

/// A boxed future, as trait objects return it.
pub type BoxFuture<'a, T> = std::pin::Pin<Box<dyn std::future::Future<Output = T> + Send + 'a>>;
