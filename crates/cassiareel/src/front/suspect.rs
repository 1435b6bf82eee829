//! Refusal of requests under which backend servers ended.

use std::{io, net::SocketAddr, time::Duration};

use http_types::StatusCode;
use slog::info;
use smol::net::TcpStream;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{service::MIN_SERVER_ERROR, FrontContext, Refusal};
use crate::{
    backend::{Answer, Call, CallError},
    kernel::{
        suspect::{Loss, ProcessKey, Verdict},
        ticket::{short_digest, ShortDigest},
        Time,
    },
    runtime::within,
    settings::{Identity, Resolved},
};

/// How long a connection may take that shows whether a backend server lives.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// The least time from the end of a backend server to the end of its successor at the same address.
const MIN_RESTART_INTERVAL: Duration = Duration::from_secs(5);

/// The refusal of a request under which too many backend servers ended; none where it may run.
pub(super) fn refusal(
    context: &FrontContext,
    policy: &Resolved,
    content: &ShortDigest,
) -> Option<Refusal> {
    let (max_crashes, now) = (policy.retries.engine_losses, context.shared.now());
    let verdict = context.shared.suspects().verdict(content, max_crashes, now);
    let Verdict::Held { crashes, remaining } = verdict else {
        return None;
    };
    let message = format!(
        "{crashes} engines died under this request, which is refused for {} s",
        remaining.as_secs()
    );
    Some(Refusal::new(StatusCode::UnprocessableEntity, message).with_code("engines_lost"))
}

/// Notes a backend server that ended under an attempt. `early` tells that the attempt had hardly begun.
pub(super) fn record_crash(
    context: &FrontContext,
    content: ShortDigest,
    attempt: &str,
    server: SocketAddr,
    early: bool,
) {
    let now = context.shared.now();
    let loss = Loss {
        content,
        attempt: xxh3_64(attempt.as_bytes()),
        process: process_key(server, now),
        at: now,
        early,
    };
    if context.shared.suspects().record_loss(loss) {
        info!(context.log, "backend server ended under a request"; "attempt" => attempt,
            "server" => %server, "early" => early);
    }
}

/// Takes in what came of a plain call: an answer that serves its caller speaks for it, and a lost one is
/// looked into.
pub(super) async fn record_call(
    context: &FrontContext,
    content: ShortDigest,
    attempt: &str,
    server: SocketAddr,
    answer: &Result<Answer, CallError>,
) {
    match answer {
        Ok(answer) if answer.status < MIN_SERVER_ERROR => record_survival(context, &content),
        Err(CallError::Unknown { .. }) => probe_after_loss(context, content, attempt, server).await,
        Ok(_) | Err(CallError::NotRun { .. }) => {}
    }
}

/// Finds out whether the backend server of a lost call has ended, and notes it: nobody listens at its
/// address then.
async fn probe_after_loss(
    context: &FrontContext,
    content: ShortDigest,
    attempt: &str,
    server: SocketAddr,
) {
    let connection = within(CONNECT_TIMEOUT, TcpStream::connect(server)).await;
    let refused = |err: io::Error| err.kind() == io::ErrorKind::ConnectionRefused;
    if connection.is_some_and(|result| result.is_err_and(refused)) {
        record_crash(context, content, attempt, server, true);
    }
}

/// The digest of a plain call beneath its caller, whatever its name.
pub(super) fn call_digest(identity: &Identity, call: &Call) -> ShortDigest {
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
fn process_key(server: SocketAddr, now: Time) -> ProcessKey {
    let restarts = now.as_secs() / MIN_RESTART_INTERVAL.as_secs();
    xxh3_64_with_seed(server.to_string().as_bytes(), restarts)
}

/// Notes that a request completed.
pub(super) fn record_survival(context: &FrontContext, content: &ShortDigest) {
    let now = context.shared.now();
    context.shared.suspects().record_survival(*content, now);
}
