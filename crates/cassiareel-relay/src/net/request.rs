//! Requests that the relay itself makes, to the store, to peers and to engines.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{
    header::{CONTENT_TYPE, HOST},
    Method, Request,
};
use http_body_util::Full;

/// Builds a request of the relay itself, with a JSON content type.
///
/// # Errors
///
/// Fails when `path` is no valid path.
pub fn build_request(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, http::Error> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body))
}
