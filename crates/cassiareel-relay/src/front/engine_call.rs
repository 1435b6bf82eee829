//! Calls to an engine's own endpoints, outside of callers' requests.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use slog::warn;

use super::limit::Permit;
use crate::{
    backends::Backend,
    net::{build_request, read_body, Lease},
    state::State,
};

/// The largest body of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// Timeout for opening a connection to the engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Calls an engine and returns the body of a successful response; returns `None` if the engine
/// refuses or the call is lost.
pub(super) async fn call_engine(
    state: &State,
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
    let body = match read_body(answer.into_body(), MAX_RESPONSE_BYTES, &state.body_budget).await {
        Ok(body) => body,
        Err(err) => {
            warn!(state.log, "answer lost"; "backend" => &*engine.entry.id, "path" => path,
                "cause" => %err);
            return None;
        }
    };
    if !succeeded {
        // It may be the refusal of an earlier request, written again: the answer is then still to
        // come on this connection.
        return None;
    }
    lease.put_back(None);
    Some(body)
}
