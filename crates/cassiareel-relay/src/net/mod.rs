//! HTTP connections that the relay opens, to backend servers, peers and the store.

mod body;
#[cfg(test)]
mod body_tests;
mod client;
mod conn;
mod pool;
mod request;

pub use body::{read_body, BodyError};
pub use client::{Client, ClientResponse};
pub use conn::{Conn, SendError};
pub use pool::{Lease, Pool};
pub use request::build_request;
