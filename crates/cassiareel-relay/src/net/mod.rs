//! HTTP connections that the relay opens, to backend servers, peers and the store.

mod client;
mod conn;
mod pool;
mod request;

pub use client::{Client, ClientResponse};
pub use conn::{Conn, SendError};
pub use pool::{Lease, Pool};
pub use request::build_request;
