//! Probes whether an engine is alive and still works on a request.

use std::{sync::Arc, time::Duration};

use slog::info;

use super::{
    report::{self, Liveness},
    request::Request,
};
use crate::{
    backends::Backend,
    clock::{self, Moment},
    protocol::Report,
    state::State,
};

/// Number of reports that do not list the run, with no report in between that does, that show that
/// the run has ended.
const MAX_MISSES: u32 = 2;

/// Shortest time between two reports that both count, since a report is already stale when it
/// arrives.
const MIN_REPORT_SPACING: Duration = Duration::from_millis(300);

/// Silence after which a run that had produced events and is not listed any more counts as ended.
const MAX_UNREPORTED_SILENCE: Duration = Duration::from_millis(1200);

/// Silence after which a run is given up even if its engine may still work on it.
const MAX_STALL: Duration = Duration::from_secs(6);

/// Silence after which events that the engine has generated but that did not arrive count as lost.
const LOST_EVENTS_SILENCE: Duration = Duration::from_millis(500);

/// The probes of one run.
#[derive(Debug)]
pub(super) struct Probes {
    last_probe: Moment,
    misses: u32,
}

impl Probes {
    /// Returns a state without probes; the interval to the first probe starts at `now`.
    pub(super) fn new(now: Moment) -> Probes {
        Probes {
            last_probe: now,
            misses: 0,
        }
    }

    /// Returns the time since the last probe.
    pub(super) fn age(&self, now: Moment) -> Duration {
        now.saturating_sub(self.last_probe)
    }

    /// Probes the engine, and returns the reason if the run is lost. `events` events of the run
    /// were received, and none for `silent`.
    pub(super) async fn probe(
        &mut self,
        state: &Arc<State>,
        request: &Request,
        member: &Backend,
        events: u64,
        silent: Duration,
    ) -> Option<&'static str> {
        let is_spaced = self.age(clock::now()) >= MIN_REPORT_SPACING;
        self.last_probe = clock::now();
        let body = match report::read(state, member).await {
            Liveness::Alive(body) => body,
            Liveness::Unknown => return None,
            liveness @ (Liveness::Gone | Liveness::Silent) => {
                info!(state.log, "engine asked"; "request" => &*request.ask.id,
                    "backend" => &*member.entry.id, "lives" => false,
                    "evidence" => liveness.name());
                return Some("silent");
            }
        };
        member.note_received(clock::now());
        let report = state.protocol.read_report(&body, &request.ask.id);
        info!(state.log, "engine asked"; "request" => &*request.ask.id,
            "backend" => &*member.entry.id, "lives" => true,
            "runs" => report.as_ref().map(|r| r.runs), "held" => report.as_ref().map(|r| r.open_requests),
            "made" => report.as_ref().map(|r| r.events), "came" => events);
        self.evaluate(&report?, events, silent, is_spaced)
    }

    /// Evaluates a report, and returns the reason if it shows that the run is lost.
    pub(super) fn evaluate(
        &mut self,
        report: &Report,
        events: u64,
        silent: Duration,
        is_spaced: bool,
    ) -> Option<&'static str> {
        if report.runs {
            self.misses = 0;
            let lost = report.events > events && silent > LOST_EVENTS_SILENCE;
            return lost.then_some("events lost");
        }
        // A run that waits for its first event, or that was preempted, is one of those that the
        // engine holds without generating for them.
        if report.open_requests > report.generating
            && (events == 0 || silent < MAX_UNREPORTED_SILENCE)
        {
            let stalled = silent > MAX_STALL;
            return stalled.then_some("stalled");
        }
        self.misses += u32::from(is_spaced);
        (self.misses >= MAX_MISSES).then_some("run ended")
    }
}
