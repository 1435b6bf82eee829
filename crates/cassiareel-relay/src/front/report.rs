//! Reads the status of an engine: its load report or its list of cached prompts.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cassiareel::{kernel::quota::Purpose, runtime::within};
use http::{Method, StatusCode};
use slog::warn;

use super::{
    limit::{record_limit, take_permit},
    send::record_backoff_requests,
};
use crate::{
    backends::Backend,
    clock,
    net::{build_request, read_body, BodyError, Lease, SendError},
    state::State,
};

/// Timeout for reading a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(150);

/// The largest report or list of cached prompts, in bytes.
const MAX_REPORT_BYTES: usize = 4 << 20;

/// Whether the expected process answered.
#[derive(Debug)]
pub(super) enum Liveness {
    /// The expected process answered with this body.
    Alive(Bytes),
    /// Another process has its address.
    Replaced,
    /// The connection was refused: no process listens at its address.
    Refused,
    /// The process answered, but without what was asked for.
    Answered,
    /// No connection could be opened in time.
    Unreachable,
    /// The connection was accepted, and no valid response arrived in time. A process that only
    /// pauses looks like this.
    Silent,
    /// Nothing was sent, since the process takes no more requests by the limit that it named, or the
    /// node had no memory for its response.
    Unknown,
}

impl Liveness {
    /// Returns the name in logs.
    pub(super) fn name(&self) -> &'static str {
        match self {
            Liveness::Alive(_) => "answered",
            Liveness::Replaced => "replaced",
            Liveness::Refused => "gone",
            Liveness::Answered => "no_report",
            Liveness::Unreachable => "unreachable",
            Liveness::Silent => "silent",
            Liveness::Unknown => "not_asked",
        }
    }
}

/// Reads an engine's report over a new connection, since a kept connection may be dead without
/// notice.
pub(super) async fn read(state: &Arc<State>, member: &Backend) -> Liveness {
    let path = state.protocol.report_path();
    read_path(state, member, path, REPORT_TIMEOUT, Duration::ZERO).await
}

/// Reads `path` from an engine within `limit`, over a connection that has been idle for at most
/// `idle` or a new one. Marks the backend server as replaced if its process is gone.
pub(super) async fn read_path(
    state: &Arc<State>,
    member: &Backend,
    path: &str,
    limit: Duration,
    idle: Duration,
) -> Liveness {
    if take_permit(state, member, Purpose::Ongoing).is_none() {
        return Liveness::Unknown;
    }
    let began = clock::now();
    let liveness = match member.pool.take(idle, limit).await {
        Ok(lease) => {
            let left = limit.saturating_sub(clock::now().saturating_sub(began));
            let reading = request_path(state, member, path, idle, lease);
            within(left, reading).await.unwrap_or(Liveness::Silent)
        }
        Err(SendError::Refused) => Liveness::Refused,
        Err(_) => Liveness::Unreachable,
    };
    if matches!(liveness, Liveness::Replaced | Liveness::Refused) {
        member.mark_ended();
    }
    liveness
}

async fn request_path(
    state: &Arc<State>,
    member: &Backend,
    path: &str,
    idle: Duration,
    mut lease: Lease,
) -> Liveness {
    let Ok(mut request) = build_request(member.entry.address, Method::GET, path, Bytes::new())
    else {
        return Liveness::Silent;
    };
    state
        .protocol
        .write_expected_process(request.headers_mut(), &member.entry.id);
    let sent_at = clock::now();
    let Ok(response) = lease.conn.send(request).await else {
        return Liveness::Silent;
    };
    let (parts, body) = response.into_parts();
    let answer = state.protocol.read_answer(&parts);
    // A call has no id. An answer with one, and a failure where other requests went before, may be an
    // answer to them that was written once more.
    let is_own = answer.request.is_none() && (parts.status.is_success() || !lease.conn.is_kept());
    if !is_own {
        return Liveness::Silent;
    }
    record_backoff_requests(state, member, &answer, clock::now());
    record_limit(state, member, &answer, sent_at);
    if parts.status == StatusCode::MISDIRECTED_REQUEST {
        return Liveness::Replaced;
    }
    if !parts.status.is_success() {
        return Liveness::Answered;
    }
    match read_body(body, MAX_REPORT_BYTES, &state.body_budget).await {
        Ok(body) => {
            if !idle.is_zero() {
                lease.put_back(None);
            }
            Liveness::Alive(body)
        }
        Err(err) => {
            warn!(state.log, "report not read"; "backend" => &*member.entry.id, "path" => path,
                "cause" => %err);
            match err {
                BodyError::NoMemory => Liveness::Unknown,
                BodyError::TooLarge { .. } | BodyError::Broken { .. } => Liveness::Silent,
            }
        }
    }
}
