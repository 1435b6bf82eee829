/*!
Holds requests during whose runs backend servers crashed, and requests whose prompts have a part on
which backend servers crash.

The decisions and their evidence are in [`cassiareel::kernel::suspect`]. A held request has not run
in this attempt, and the caller is told when to retry.
*/

use std::time::Duration;

use cassiareel::kernel::{
    suspect::{Loss, PartKey, Verdict},
    ticket::ShortDigest,
};
use slog::{info, warn};
use xxhash_rust::xxh3::xxh3_64;

use super::{content, loss::LostRun, request::Request};
use crate::{
    clock::{self, Moment},
    metrics::Metrics,
    state::State,
};

/// Number of backend servers that may crash while they run a request before it is quarantined.
const MAX_CRASHES: u32 = 3;

/// A run counts as having just begun until this long after its first event.
const EARLY_PHASE: Duration = Duration::from_millis(300);

/// Time after its start in which a node tries no held part, since it has not yet seen whether servers
/// survive other requests.
const MIN_PROBING_UPTIME: Duration = Duration::from_secs(60);

/// Returns how long a request is still held for its content or a part of its prompt, or `None` if it
/// may be sent.
pub(super) fn hold_left(
    state: &State,
    id: &str,
    content: &ShortDigest,
    parts: &[PartKey],
) -> Option<Duration> {
    let quarantine = quarantine_left(state, id, content);
    quarantine.or_else(|| part_hold_left(state, id, parts))
}

/// Returns how long a request is still quarantined, or `None` if it may be sent.
fn quarantine_left(state: &State, id: &str, content: &ShortDigest) -> Option<Duration> {
    let now = clock::now();
    let Verdict::Held {
        crashes: ends,
        remaining: left,
    } = state.suspects().verdict(content, MAX_CRASHES, now)
    else {
        return None;
    };
    info!(state.log, "request quarantined"; "request" => id,
        "content" => content::short_hex(content), "ends" => ends,
        "left_ms" => left.as_millis() as u64);
    Metrics::count(&state.metrics.held, "content");
    Some(left)
}

/// Returns how long the part of a prompt that is held longest is still held, or `None` if none is.
///
/// The first reader of the store is the node that tries a part again before the others.
pub(super) fn part_hold_left(state: &State, id: &str, parts: &[PartKey]) -> Option<Duration> {
    let now = clock::now();
    let is_probing_node =
        state.store_cache.reader_rank() == 0 && !state.started_within(MIN_PROBING_UPTIME);
    let (left, part, crashes) = {
        let suspects = state.suspects();
        let held = parts.iter().filter_map(|part| {
            match suspects.part_verdict(&[*part], is_probing_node, now) {
                Verdict::Held { crashes, remaining } => Some((remaining, *part, crashes)),
                Verdict::Allowed => None,
            }
        });
        held.max()?
    };
    info!(state.log, "request held for a part of its prompt"; "request" => id,
        "part" => format!("{part:016x}"), "ends" => crashes,
        "left_ms" => left.as_millis() as u64);
    Metrics::count(&state.metrics.held, "part");
    Some(left)
}

/// Records that a request is sent. If a part of its prompt was held, the send tries it again.
pub(super) fn record_send(state: &State, request: &Request) {
    if !request.parts.is_empty() {
        state
            .suspects()
            .record_part_send(&request.parts, clock::now());
    }
}

/// Returns the evidence against a request that counts if the backend server that lost the run at
/// `at` has crashed, or `None` if the backend server was leaving, so that its exit was expected.
pub(super) fn potential_loss(lost: &LostRun<'_>, at: Moment) -> Option<Loss> {
    if lost.member.is_leaving() {
        return None;
    }
    Some(Loss {
        content: lost.request.content,
        attempt: xxh3_64(lost.request.ask.id.as_bytes()),
        process: lost.member.entry.process_key(),
        at,
        early: lost
            .first_event
            .is_none_or(|first| !is_past_start(first, at)),
        parts: lost.request.parts.clone(),
    })
}

/// Records a crash as evidence against a request and has other nodes notified.
pub(super) fn record_loss(state: &State, loss: Loss) {
    let (content, early) = (loss.content, loss.early);
    let (is_new, ends) = {
        let mut suspects = state.suspects();
        let is_new = suspects.record_loss(loss);
        (is_new, suspects.crash_count(&content, clock::now()))
    };
    if is_new {
        warn!(state.log, "request suspected of crashes";
            "content" => content::short_hex(&content), "early" => early, "ends" => ends);
        state.store_cache.notify_loss();
    }
}

/// Records that a backend server completed a request, which is evidence for the request and the parts
/// of its prompt.
pub(super) fn record_success(state: &State, request: &Request) {
    state
        .suspects()
        .record_survival(request.content, clock::now());
    record_part_survival(state, &request.parts);
}

/// Reports whether a run whose first event arrived at `first` is past the start of its answer.
pub(super) fn is_past_start(first: Moment, now: Moment) -> bool {
    now.saturating_sub(first) >= EARLY_PHASE
}

/// Records that a backend server wrote an answer past its start, which is evidence for the parts of
/// the prompt.
pub(super) fn record_part_survival(state: &State, parts: &[PartKey]) {
    let has_changed =
        !parts.is_empty() && state.suspects().record_part_survival(parts, clock::now());
    if has_changed {
        state.store_cache.notify_loss();
    }
}
