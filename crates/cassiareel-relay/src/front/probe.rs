//! Asks an engine whether it lives and still works on a request.

use std::time::Duration;

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

/// Reports without a run, one after the other, that show that it has ended.
const MAX_MISSES: u32 = 2;

/// The shortest time between two reports that count, since reports are old when they arrive.
const MIN_REPORT_SPACING: Duration = Duration::from_millis(300);

/// A silence after which a run that had begun and is not told any more has ended.
const MAX_UNREPORTED_SILENCE: Duration = Duration::from_millis(1200);

/// A silence after which a run is given up, though its engine may still work on it.
const MAX_STALL: Duration = Duration::from_secs(6);

/// A silence after which an engine that has made events has lost them on their way.
const LOST_EVENTS_SILENCE: Duration = Duration::from_millis(500);

/// Questions about one run.
#[derive(Debug)]
pub(super) struct Probes {
    last_probe: Moment,
    misses: u32,
}

impl Probes {
    /// None were asked; the first may come a while after `now`.
    pub(super) fn new(now: Moment) -> Probes {
        Probes {
            last_probe: now,
            misses: 0,
        }
    }

    /// The time since the last question.
    pub(super) fn age(&self, now: Moment) -> Duration {
        now.saturating_sub(self.last_probe)
    }

    /// Asks; tells why the run is lost, where it is. `events` of its events came, and nothing came
    /// for `silent`.
    pub(super) async fn probe(
        &mut self,
        state: &State,
        request: &Request,
        member: &Backend,
        events: u64,
        silent: Duration,
    ) -> Option<&'static str> {
        let is_spaced = self.age(clock::now()) >= MIN_REPORT_SPACING;
        self.last_probe = clock::now();
        let body = match report::read(state, member).await {
            Liveness::Alive(body) => body,
            Liveness::Gone | Liveness::Silent => {
                info!(state.log, "engine asked"; "request" => &*request.ask.id,
                    "backend" => &*member.entry.id, "lives" => false);
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

    /// Judges a report.
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
        // Before its first event, or after it was preempted, a run is among those that are held and
        // for which nothing is generated.
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
