/*!
Probes whether an engine is alive and still works on a request.

A silent engine may have crashed, or it may only pause and go on. Three kinds of evidence differ in
what they prove:

- Another process has its address. The run is lost for certain.
- A connection was refused or could not be opened, or its reports do not list the run. The run is
  most likely lost. A process that is about to exit may close its listener and finish its runs.
- The connection was accepted, and no answer came. A process that only pauses for a moment looks
  the same, so the run counts as lost only after a while.

Only the first is enough to give up a run that no other may replace: that of a request that may run
once, or the last one that its route allows. Such a run ends with its own connection. Other requests
continue elsewhere after the others as well.
*/

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

/// The cause of a loss of a run whose engine accepts connections and answers nothing.
pub(super) const SILENT: &str = "silent";

/// The cause of a loss of a run whose engine accepts no connections.
pub(super) const UNREACHABLE: &str = "unreachable";

/// The cause of a loss of a run at whose engine's address no process or another one listens.
pub(super) const ENGINE_LOST: &str = "engine lost";

/// Number of reports that show that a run has ended, with no report in between that does not, that
/// are taken for its end.
const MAX_MISSES: u32 = 2;

/// Shortest time between two reports that both count, since a report is already stale when it
/// arrives.
const MIN_REPORT_SPACING: Duration = Duration::from_millis(300);

/// Silence after which a run that had produced events and is not listed any more counts as ended.
const MAX_UNREPORTED_SILENCE: Duration = Duration::from_millis(1200);

/// How long an engine that accepts connections may leave probes unanswered until its run is taken
/// for lost. Processes pause for about a second, and the run must not go on there beside the next.
const MAX_PAUSE: Duration = Duration::from_millis(1200);

/// Number of probes in a row that have to be unanswered for that. A node that was paused itself may
/// find one late, with the run's events still unread.
const MIN_UNANSWERED: u32 = 3;

/// Silence after which a run is given up even if its engine may still work on it.
const MAX_STALL: Duration = Duration::from_secs(6);

/// Silence after which events that the engine has generated but that did not arrive count as lost.
const LOST_EVENTS_SILENCE: Duration = Duration::from_millis(500);

/// What a probe shows of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RunStatus {
    /// Nothing shows that it is lost.
    Open,
    /// It is most likely lost, for this reason.
    PresumedLost(&'static str),
    /// Another process has the engine's address.
    Ended,
}

impl RunStatus {
    /// Returns why the run is given up, if it is. A run that no other may replace is given up only
    /// if it is certain to have ended.
    pub(super) fn loss_cause(self, may_replace: bool) -> Option<&'static str> {
        match self {
            RunStatus::PresumedLost(cause) if may_replace => Some(cause),
            RunStatus::Ended => Some(ENGINE_LOST),
            RunStatus::Open | RunStatus::PresumedLost(_) => None,
        }
    }
}

/// The probes of one run.
#[derive(Debug)]
pub(super) struct Probes {
    last_probe: Moment,
    /// The first probe of those in a row that the engine left unanswered.
    unanswered_since: Option<Moment>,
    /// Number of those probes.
    unanswered: u32,
    /// Number of events that were received before the last report.
    received: u64,
    misses: u32,
}

impl Probes {
    /// Returns a state without probes; the interval to the first probe starts at `now`.
    pub(super) fn new(now: Moment) -> Probes {
        Probes {
            last_probe: now,
            unanswered_since: None,
            unanswered: 0,
            received: 0,
            misses: 0,
        }
    }

    /// Returns the time since the last probe.
    pub(super) fn age(&self, now: Moment) -> Duration {
        now.saturating_sub(self.last_probe)
    }

    /// Probes the engine, and returns what that shows of the run. `events` events of the run were
    /// received, and none for `silent`.
    pub(super) async fn probe(
        &mut self,
        state: &Arc<State>,
        request: &Request,
        member: &Backend,
        events: u64,
        silent: Duration,
    ) -> RunStatus {
        let began = clock::now();
        let is_spaced = self.age(began) >= MIN_REPORT_SPACING;
        self.last_probe = began;
        let liveness = report::read(state, member).await;
        let Liveness::Alive(body) = liveness else {
            info!(state.log, "engine asked"; "request" => &*request.ask.id,
                "backend" => &*member.entry.id, "lives" => false, "evidence" => liveness.name());
            return self.note_failure(&liveness, member, began);
        };
        self.unanswered_since = None;
        member.note_received(clock::now());
        let report = state.protocol.read_report(&body, &request.ask.id);
        info!(state.log, "engine asked"; "request" => &*request.ask.id,
            "backend" => &*member.entry.id, "lives" => true,
            "runs" => report.as_ref().map(|r| r.runs), "held" => report.as_ref().map(|r| r.open_requests),
            "made" => report.as_ref().map(|r| r.events), "came" => events);
        report.map_or(RunStatus::Open, |report| {
            self.evaluate(&report, events, silent, is_spaced)
        })
    }

    /// Records a probe that began at `began` and got no report. An engine that does not respond is
    /// avoided for new work.
    fn note_failure(&mut self, liveness: &Liveness, member: &Backend, began: Moment) -> RunStatus {
        let now = clock::now();
        match liveness {
            Liveness::Replaced => RunStatus::Ended,
            Liveness::Refused => RunStatus::PresumedLost(ENGINE_LOST),
            Liveness::Unreachable => {
                member.mark_unreachable(now);
                member.mark_lost(now);
                RunStatus::PresumedLost(UNREACHABLE)
            }
            Liveness::Silent if self.is_pause_over(member, began, now) => {
                member.mark_lost(now);
                RunStatus::PresumedLost(SILENT)
            }
            Liveness::Silent => RunStatus::Open,
            Liveness::Answered => {
                self.unanswered_since = None;
                member.note_received(now);
                RunStatus::Open
            }
            // Nothing was sent.
            Liveness::Alive(_) | Liveness::Unknown => RunStatus::Open,
        }
    }

    /// Records a probe that began at `began` and was not answered, and reports whether the engine has
    /// been silent for longer than a pause lasts. Bytes that it sent to other requests meanwhile show
    /// that it is alive.
    fn is_pause_over(&mut self, member: &Backend, began: Moment, now: Moment) -> bool {
        let since = self
            .unanswered_since
            .filter(|since| !member.received_since(*since));
        if since.is_none() {
            self.unanswered = 0;
        }
        self.unanswered += 1;
        let since = *self.unanswered_since.insert(since.unwrap_or(began));
        self.unanswered >= MIN_UNANSWERED && now.saturating_sub(since) >= MAX_PAUSE
    }

    /// Evaluates a report.
    pub(super) fn evaluate(
        &mut self,
        report: &Report,
        events: u64,
        silent: Duration,
        is_spaced: bool,
    ) -> RunStatus {
        if self.received != events {
            self.received = events;
            self.misses = 0;
        }
        let cause = if report.runs {
            // An engine that has just paused may report events that are still on the way.
            if report.events <= events || silent <= LOST_EVENTS_SILENCE {
                self.misses = 0;
                return RunStatus::Open;
            }
            "events lost"
        } else if report.open_requests > report.generating
            && (events == 0 || silent < MAX_UNREPORTED_SILENCE)
        {
            // A run that waits for its first event, or that was preempted, is one of those that
            // the engine holds without generating for them.
            if silent > MAX_STALL {
                return RunStatus::PresumedLost("stalled");
            }
            return RunStatus::Open;
        } else {
            "run ended"
        };
        self.misses += u32::from(is_spaced);
        if self.misses < MAX_MISSES {
            return RunStatus::Open;
        }
        RunStatus::PresumedLost(cause)
    }
}
