//! Quarantine of requests that are the suspected cause of crashes of backend servers.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use http_types::StatusCode;
use serde_json::Value;
use slog::{info, Logger};
use smol::net::TcpStream;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{service::MIN_SERVER_ERROR, FrontContext, Prompt, Refusal};
use crate::{
    backend::{Answer, Call, CallError},
    kernel::{
        suspect::{Loss, PartKey, ProcessKey, Verdict},
        ticket::{short_digest, ShortDigest},
        Time,
    },
    runtime::within,
    settings::{Identity, ResolvedPolicy},
};

/// Timeout of the connection that checks whether a backend server still listens.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Shortest time between a crash at an address and the next crash of the restarted process there.
const MIN_RESTART_INTERVAL: Duration = Duration::from_secs(5);

/// Time after its start in which a node tries no held part, since it has not yet seen whether servers
/// survive other requests.
const MIN_PROBING_UPTIME: Duration = Duration::from_secs(60);

/// Returns the refusal of a quarantined request, under which too many backend servers crashed, or
/// none if the request may run.
pub(super) fn refusal(
    context: &FrontContext,
    policy: &ResolvedPolicy,
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

/// Returns the refusal of a request with a part of its prompt on which backend servers crash, or none
/// if the request may run.
pub(super) fn part_refusal(
    context: &FrontContext,
    log: &Logger,
    parts: &[PartKey],
) -> Option<Refusal> {
    let shared = &context.shared;
    let now = shared.now();
    let is_probing_node = shared.is_probing_node() && now >= MIN_PROBING_UPTIME;
    let (remaining, part, crashes) = {
        let suspects = shared.suspects();
        let held = parts.iter().filter_map(|part| {
            match suspects.part_verdict(&[*part], is_probing_node, now) {
                Verdict::Held { crashes, remaining } => Some((remaining, *part, crashes)),
                Verdict::Allowed => None,
            }
        });
        held.max()?
    };
    info!(log, "request held for a message in its prompt"; "part" => format!("{part:016x}"),
        "crashes" => crashes, "left_ms" => remaining.as_millis() as u64);
    let message = format!(
        "{crashes} engines died under requests with a message of this prompt, which is refused for \
         {} s",
        remaining.as_secs()
    );
    Some(Refusal::busy(message, remaining).with_code("engines_lost"))
}

/// Records that a request is sent. If a part of its prompt was held, the send tries it again.
pub(super) fn record_send(context: &FrontContext, parts: &[PartKey]) {
    let now = context.shared.now();
    context.shared.suspects().record_part_send(parts, now);
}

/// Returns the keys of the messages of a chat in order. The last one is left out, since it belongs to
/// the request alone. A message has another key at each service, whose models differ.
pub(super) fn part_keys(prompt: &Prompt) -> Arc<[PartKey]> {
    let messages = prompt.body.get("messages").and_then(Value::as_array);
    let messages = messages.map_or(&[][..], Vec::as_slice);
    let service = xxh3_64(prompt.model.as_bytes());
    let shared = &messages[..messages.len().saturating_sub(1)];
    shared
        .iter()
        .map(|message| xxh3_64_with_seed(message.to_string().as_bytes(), service))
        .collect()
}

/// Records that a backend server crashed while it ran an attempt at a request with these parts of its
/// prompt.
///
/// `early` states that the attempt had made little or no progress.
pub(super) fn record_crash(
    context: &FrontContext,
    content: ShortDigest,
    parts: &Arc<[PartKey]>,
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
        parts: parts.clone(),
    };
    if context.shared.suspects().record_loss(loss) {
        info!(context.log, "backend server crashed while it ran a request"; "attempt" => attempt,
            "server" => %server, "early" => early);
    }
}

/// Records the result of a plain call.
///
/// An answer without a server error is evidence for the request. After a lost answer, the backend
/// server is checked for a crash.
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

/// Checks whether the backend server of a lost call crashed, and records the crash.
///
/// A refused connection means that no process listens at the address any more.
async fn probe_after_loss(
    context: &FrontContext,
    content: ShortDigest,
    attempt: &str,
    server: SocketAddr,
) {
    let connection = within(CONNECT_TIMEOUT, TcpStream::connect(server)).await;
    let refused = |err: io::Error| err.kind() == io::ErrorKind::ConnectionRefused;
    if connection.is_some_and(|result| result.is_err_and(refused)) {
        record_crash(context, content, &Arc::default(), attempt, server, true);
    }
}

/// Returns the digest of a plain call and its caller, without the call's id.
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

/// Returns a key for the process at an address.
///
/// Backend servers have no process number that is visible from outside, so the key is made of the
/// address and the time in units of [`MIN_RESTART_INTERVAL`]: a later crash at the same address is
/// that of another process.
fn process_key(server: SocketAddr, now: Time) -> ProcessKey {
    let restarts = now.as_secs() / MIN_RESTART_INTERVAL.as_secs();
    xxh3_64_with_seed(server.to_string().as_bytes(), restarts)
}

/// Records that a request completed without a crash.
pub(super) fn record_survival(context: &FrontContext, content: &ShortDigest) {
    let now = context.shared.now();
    context.shared.suspects().record_survival(*content, now);
}

/// Records that a backend server wrote an answer past its start, which is evidence for the parts of
/// the prompt.
pub(super) fn record_part_survival(context: &FrontContext, parts: &[PartKey]) {
    let now = context.shared.now();
    context.shared.suspects().record_part_survival(parts, now);
}
