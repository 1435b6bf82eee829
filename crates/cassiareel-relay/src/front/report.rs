//! Reads what an engine tells of itself: its report, or what its memory holds.

use std::time::Duration;

use bytes::Bytes;
use cassiareel::runtime::within;
use http::{Method, StatusCode};
use http_body_util::BodyExt;

use super::send::take_wishes;
use crate::{
    backends::Backend,
    clock,
    net::{build_request, SendError},
    state::State,
};

/// How long the answer to a question may take.
const PROBE: Duration = Duration::from_millis(150);

/// What an engine's report showed.
#[derive(Debug)]
pub(super) enum Life {
    /// The process lives; its report.
    Lives(Bytes),
    /// Another process has the address, or none.
    Ended,
    /// Nothing came.
    Silent,
}

/// Asks for a report over a new connection, since a kept one may be dead without notice.
pub(super) async fn read(state: &State, member: &Backend) -> Life {
    let path = state.protocol.report_path();
    read_within(state, member, path, PROBE, Duration::ZERO).await
}

/// Asks for what stands at a path, notes an end of the process, and waits at most `limit`, over a connection that was idle for at
/// most `idle` or a new one.
pub(super) async fn read_within(
    state: &State,
    member: &Backend,
    path: &str,
    limit: Duration,
    idle: Duration,
) -> Life {
    let life = within(limit, ask(state, member, path, idle))
        .await
        .unwrap_or(Life::Silent);
    if matches!(life, Life::Ended) {
        member.mark_ended();
    }
    life
}

async fn ask(state: &State, member: &Backend, path: &str, idle: Duration) -> Life {
    let mut lease = match member.pool.take(idle, PROBE).await {
        Ok(lease) => lease,
        Err(SendError::Refused) => return Life::Ended,
        Err(_) => return Life::Silent,
    };
    let Ok(mut request) = build_request(member.entry.address, Method::GET, path, Bytes::new())
    else {
        return Life::Silent;
    };
    state
        .protocol
        .write_expected_process(request.headers_mut(), &member.entry.id);
    let Ok(answer) = lease.conn.send(request).await else {
        return Life::Silent;
    };
    let (parts, body) = answer.into_parts();
    let told = state.protocol.read_answer(&parts);
    take_wishes(state, member, &told, clock::now());
    if parts.status == StatusCode::MISDIRECTED_REQUEST {
        return Life::Ended;
    }
    if !parts.status.is_success() {
        return Life::Silent;
    }
    match body.collect().await {
        Ok(body) => {
            if !idle.is_zero() {
                lease.put_back(None);
            }
            Life::Lives(body.to_bytes())
        }
        Err(_) => Life::Silent,
    }
}
