//! Asks an engine whether it lives and still works on a request.

use std::time::Duration;

use slog::info;

use super::{
    report::{self, Life},
    request::Request,
};
use crate::{
    backends::Backend,
    clock::{self, Moment},
    protocol::Report,
    state::State,
};

/// Reports without a run, one after the other, that show that it has ended.
const MISSES: u32 = 2;

/// The shortest time between two reports that count, since reports are old when they arrive.
const APART: Duration = Duration::from_millis(300);

/// A silence after which a run that had begun and is not told any more has ended.
const RUN_LOST: Duration = Duration::from_millis(1200);

/// A silence after which a run is given up, though its engine may still work on it.
const STALLED: Duration = Duration::from_secs(6);

/// A silence after which an engine that has made events has lost them on their way.
const EVENTS_LOST: Duration = Duration::from_millis(500);

/// Questions about one run.
#[derive(Debug)]
pub(super) struct Probes {
    asked: Moment,
    misses: u32,
}

impl Probes {
    /// None were asked; the first may come a while after `now`.
    pub(super) fn new(now: Moment) -> Probes {
        Probes {
            asked: now,
            misses: 0,
        }
    }

    /// The time since the last question.
    pub(super) fn age(&self, now: Moment) -> Duration {
        now.saturating_sub(self.asked)
    }

    /// Asks; tells why the run is lost, where it is. `events` of its events came, and nothing came
    /// for `silent`.
    pub(super) async fn ask(
        &mut self,
        state: &State,
        request: &Request,
        member: &Backend,
        events: u64,
        silent: Duration,
    ) -> Option<&'static str> {
        let apart = self.age(clock::now()) >= APART;
        self.asked = clock::now();
        let body = match report::read(state, member).await {
            Life::Lives(body) => body,
            Life::Ended | Life::Silent => {
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
        self.judge(&report?, events, silent, apart)
    }

    /// Judges a report.
    pub(super) fn judge(
        &mut self,
        report: &Report,
        events: u64,
        silent: Duration,
        apart: bool,
    ) -> Option<&'static str> {
        if report.runs {
            self.misses = 0;
            let lost = report.events > events && silent > EVENTS_LOST;
            return lost.then_some("events lost");
        }
        // Before its first event, or after it was preempted, a run is among those that are held and
        // for which nothing is generated.
        if report.open_requests > report.generating && (events == 0 || silent < RUN_LOST) {
            let stalled = silent > STALLED;
            return stalled.then_some("stalled");
        }
        self.misses += u32::from(apart);
        (self.misses >= MISSES).then_some("run ended")
    }
}
