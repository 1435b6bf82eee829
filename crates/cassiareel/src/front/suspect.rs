//! Refusal of requests under which backend servers ended.

use std::{io, net::SocketAddr, time::Duration};

use http_types::StatusCode;
use slog::info;
use smol::net::TcpStream;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{service::SERVER_ERROR, Parts, Refusal};
use crate::{
    backend::{Answer, Call, CallError},
    kernel::{
        suspect::{Loss, ProcessKey, Verdict},
        ticket::{short_digest, ShortDigest},
        Time,
    },
    runtime::within,
    settings::{Identity, ResolvedPolicy},
};

/// How long a connection may take that shows whether a backend server lives.
const LOOK: Duration = Duration::from_millis(150);

/// The least time from the end of a backend server to the end of its successor at the same address.
const RESTART: Duration = Duration::from_secs(5);

/// The refusal of a request under which too many backend servers ended; none where it may run.
pub(super) fn refusal(
    parts: &Parts,
    policy: &ResolvedPolicy,
    content: &ShortDigest,
) -> Option<Refusal> {
    let (bound, now) = (policy.retries.engine_losses, parts.moves.now());
    let verdict = parts.moves.suspects().verdict(content, bound, now);
    let Verdict::Held {
        crashes: ends,
        remaining: left,
    } = verdict
    else {
        return None;
    };
    let message = format!(
        "{ends} engines died under this request, which is refused for {} s",
        left.as_secs()
    );
    Some(Refusal::new(StatusCode::UnprocessableEntity, message).with_code("engines_lost"))
}

/// Notes a backend server that ended under an attempt. `early` tells that the attempt had hardly begun.
pub(super) fn lost(
    parts: &Parts,
    content: ShortDigest,
    attempt: &str,
    server: SocketAddr,
    early: bool,
) {
    let now = parts.moves.now();
    let loss = Loss {
        content,
        attempt: xxh3_64(attempt.as_bytes()),
        process: process(server, now),
        at: now,
        early,
    };
    if parts.moves.suspects().record_loss(loss) {
        info!(parts.log, "backend server ended under a request"; "attempt" => attempt,
            "server" => %server, "early" => early);
    }
}

/// Takes in what came of a plain call: an answer that serves its caller speaks for it, and a lost one is
/// looked into.
pub(super) async fn take_in(
    parts: &Parts,
    content: ShortDigest,
    attempt: &str,
    server: SocketAddr,
    answer: &Result<Answer, CallError>,
) {
    match answer {
        Ok(answer) if answer.status < SERVER_ERROR => cleared(parts, &content),
        Err(CallError::Unknown { .. }) => look(parts, content, attempt, server).await,
        Ok(_) | Err(CallError::NotRun { .. }) => {}
    }
}

/// Finds out whether the backend server of a lost call has ended, and notes it: nobody listens at its
/// address then.
async fn look(parts: &Parts, content: ShortDigest, attempt: &str, server: SocketAddr) {
    let connected = within(LOOK, TcpStream::connect(server)).await;
    let refused = |err: io::Error| err.kind() == io::ErrorKind::ConnectionRefused;
    if connected.is_some_and(|connected| connected.is_err_and(refused)) {
        lost(parts, content, attempt, server, true);
    }
}

/// The digest of a plain call beneath its caller, whatever its name.
pub(super) fn content(identity: &Identity, call: &Call) -> ShortDigest {
    let method = call.method.as_ref();
    short_digest(&[
        identity.account.as_bytes(),
        identity.caller.as_bytes(),
        method.as_bytes(),
        call.path.as_bytes(),
        &call.body,
    ])
}

/// Names the process at an address. Backend servers have no number that callers see: one that ends there again
/// after a restart is another one.
fn process(server: SocketAddr, now: Time) -> ProcessKey {
    let restarts = now.as_secs() / RESTART.as_secs();
    xxh3_64_with_seed(server.to_string().as_bytes(), restarts)
}

/// Notes that a request completed.
pub(super) fn cleared(parts: &Parts, content: &ShortDigest) {
    let now = parts.moves.now();
    parts.moves.suspects().record_survival(*content, now);
}
