/*!
Requests that are held back, since backend servers ended under them.

The decision and its evidence are the product's own ([`cassiareel::kernel::suspect`]). A request that is
held has not run in this attempt, and its caller is told when it may be tried again.
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

/// Backend servers that may end under one request before it is held back.
const MAX_CRASHES: u32 = 3;

/// A run has hardly begun until this long after its first event.
const EARLY_PHASE: Duration = Duration::from_millis(300);

/// How long a request is held back; `None` where it may be sent.
pub(super) fn quarantine_left(state: &State, id: &str, content: &ShortDigest) -> Option<Duration> {
    let now = clock::now();
    let Verdict::Held {
        crashes: ends,
        remaining: left,
    } = state.suspects().verdict(content, MAX_CRASHES, now)
    else {
        return None;
    };
    info!(state.log, "request quarantined"; "request" => id, "content" => content::short_hex(content),
        "ends" => ends, "left_ms" => left.as_millis() as u64);
    Some(left)
}

/// What is held against a request if the process at which its run was lost at `at` has ended; `None`
/// where that was to be expected.
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
            .first
            .is_none_or(|first| at.saturating_sub(first) < EARLY_PHASE),
    })
}

/// Holds the end of a process against a request, and has other nodes told.
pub(super) fn record_loss(state: &State, loss: Loss) {
    let (is_new, ends) = {
        let mut suspects = state.suspects();
        let is_new = suspects.record_loss(loss);
        (is_new, suspects.crash_count(&loss.content, clock::now()))
    };
    if is_new {
        warn!(state.log, "request suspected of crashes"; "content" => content::short_hex(&loss.content),
            "early" => loss.early, "ends" => ends);
        state.store_cache.notify_loss();
    }
}

/// Notes that a backend server served a request.
pub(super) fn record_success(state: &State, request: &Request) {
    state
        .suspects()
        .record_survival(request.content, clock::now());
}
