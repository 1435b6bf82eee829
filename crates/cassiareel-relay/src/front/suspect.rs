/*!
Quarantines requests during whose runs backend servers crashed.

The decision and its evidence are in [`cassiareel::kernel::suspect`]. A quarantined request has not
run in this attempt, and the caller is told when to retry.
*/

use std::time::Duration;

use cassiareel::kernel::{
    suspect::{Loss, Verdict},
    ticket::ShortDigest,
};
use slog::{info, warn};
use xxhash_rust::xxh3::xxh3_64;

use super::{content, loss::LostRun, request::Request};
use crate::{
    clock::{self, Moment},
    state::State,
};

/// Number of backend servers that may crash while they run a request before it is quarantined.
const MAX_CRASHES: u32 = 3;

/// A run counts as having just begun until this long after its first event.
const EARLY_PHASE: Duration = Duration::from_millis(300);

/// Returns how long a request is still quarantined, or `None` if it may be sent.
pub(super) fn quarantine_left(state: &State, id: &str, content: &ShortDigest) -> Option<Duration> {
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
    Some(left)
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
            .is_none_or(|first| at.saturating_sub(first) < EARLY_PHASE),
        parts: [].into(),
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

/// Records that a backend server completed a request, which is evidence for the request.
pub(super) fn record_success(state: &State, request: &Request) {
    state
        .suspects()
        .record_survival(request.content, clock::now());
}
