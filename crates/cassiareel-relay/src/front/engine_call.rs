//! Calls to an engine's own endpoints, outside of callers' requests.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http_body_util::BodyExt;

use super::limit::Permit;
use crate::{
    backends::Backend,
    net::{build_request, Lease},
};

/// Timeout for opening a connection to the engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Calls an engine and returns the body of a successful response; returns `None` if the engine
/// refuses or the call is lost.
pub(super) async fn call_engine(
    engine: &Backend,
    method: Method,
    path: &str,
    body: String,
    _permit: Permit,
) -> Option<Bytes> {
    let mut lease: Lease = engine
        .pool
        .take(Duration::MAX, CONNECT_TIMEOUT)
        .await
        .ok()?;
    let request = build_request(engine.entry.address, method, path, Bytes::from(body)).ok()?;
    let answer = lease.conn.send(request).await.ok()?;
    let succeeded = answer.status().is_success();
    let body = answer.into_body().collect().await.ok()?.to_bytes();
    if !succeeded {
        // It may be the refusal of an earlier request, written again: the answer is then still to
        // come on this connection.
        return None;
    }
    lease.put_back(None);
    Some(body)
}
