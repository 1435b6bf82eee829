//! The run of a stream at one engine.

use std::{sync::Arc, time::Duration};

use cassiareel::{body_budget::BodyCharge, kernel::quota::Purpose};
use slog::info;
use smol::Timer;

use super::{
    backup::Backups,
    choose::MAX_CONTACT_AGE,
    engines::{pick_successor, ChosenEngine},
    probe::{Probes, ENGINE_LOST, SILENT, UNREACHABLE},
    request::Request,
    send::ResponseHead,
};
use crate::{
    backends::{Backend, LoadGuard},
    clock::{self, Moment},
    kernel::{EndedStream, EventSplitter},
    rollouts::MeasuredRun,
    state::State,
};

/// How long a stream may be silent before its first event until its engine is probed.
const FIRST_EVENT_SILENCE: Duration = Duration::from_millis(600);

/// How long a stream may be silent before its first event while other responses arrive from its
/// engine.
const BUSY_FIRST_EVENT_SILENCE: Duration = Duration::from_millis(1500);

/// Interval between the probes for a run that no other may replace.
const SOLE_RUN_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between checks whether the engine was lost, by evidence from other requests.
pub(super) const LOSS_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The run of a stream at one engine.
pub(super) struct Run {
    /// The head of the response, with the connection.
    pub head: Box<ResponseHead>,
    /// Splits the body into events.
    pub splitter: EventSplitter,
    /// The memory that an incomplete event takes.
    pub charge: BodyCharge,
    /// Counts the run as this node's work at the engine.
    pub place: LoadGuard,
    /// Copies of the run's memory.
    pub backups: Backups,
    /// When the request was sent.
    pub sent_at: Moment,
    /// When the first event arrived.
    pub first_event: Option<Moment>,
    /// When bytes were last received.
    pub last_received: Moment,
    /// Probes of the engine.
    pub probes: Probes,
    /// Number of events received.
    pub events: u64,
    /// Prompt tokens that the engine had to prefill, as far as known.
    pub unread: u64,
    /// Whether the engine had no other requests when the request was sent.
    pub idle_engine: bool,
    /// The measurement of the run during a rollout of its service.
    pub trial: Option<Arc<MeasuredRun>>,
}

/// How far a lost run had come.
#[derive(Debug)]
pub(super) struct RunProgress {
    /// When the request was sent.
    pub sent_at: Moment,
    /// When the first event arrived.
    pub first_event: Option<Moment>,
    /// Number of events received.
    pub events: u64,
    /// The measurement of the run during a rollout of its service.
    pub trial: Option<Arc<MeasuredRun>>,
}

impl RunProgress {
    /// Returns the progress of a run whose engine did not respond.
    pub fn unanswered(sent_at: Moment, trial: Option<Arc<MeasuredRun>>) -> RunProgress {
        RunProgress {
            sent_at,
            first_event: None,
            events: 0,
            trial,
        }
    }
}

impl Run {
    /// Returns the measured speed of the run after its end; `events` is the number of the stream's
    /// last event.
    pub fn summary(&self, request: &Request, events: u64) -> EndedStream {
        let first = self.first_event.unwrap_or(self.last_received);
        EndedStream {
            prefilled_tokens: self.unread,
            prefill_time: first.saturating_sub(self.sent_at),
            max_output: request.ask.prompt.max_output,
            last_event: events,
            run_events: self.events,
            decode_time: self.last_received.saturating_sub(first),
        }
    }
}

/// A run whose engine has not responded yet.
pub(super) struct PendingRun<'a> {
    /// The engine.
    pub member: &'a Backend,
    /// When the request was sent.
    pub sent_at: Moment,
    /// Whether another run may take its place.
    pub may_replace: bool,
    /// The engines to which the request was sent.
    pub tried: &'a [u64],
    /// What the next send would use a permit for.
    pub purpose: Purpose,
}

/// Waits until an engine that has not responded yet is believed to have lost the run; returns the
/// reason and, if the engine is only silent, the engine that takes its place. A run that none may
/// replace must be certain to have ended.
pub(super) async fn wait_until_lost(
    state: &Arc<State>,
    request: &Request,
    pending: &PendingRun<'_>,
) -> (&'static str, Option<ChosenEngine>) {
    let PendingRun {
        member,
        sent_at,
        may_replace,
        ..
    } = *pending;
    let mut probes = Probes::new(sent_at);
    loop {
        Timer::after(LOSS_CHECK_INTERVAL).await;
        let now = clock::now();
        if may_replace && member.has_ended_silently() {
            return (ENGINE_LOST, None);
        }
        let silent = now.saturating_sub(sent_at);
        if probes.age(now) < probe_interval(FIRST_EVENT_SILENCE, may_replace)
            || (silent < BUSY_FIRST_EVENT_SILENCE && member.received_within(now, MAX_CONTACT_AGE))
        {
            continue;
        }
        if may_replace && member.was_unreachable(sent_at) {
            return (UNREACHABLE, None);
        }
        let status = probes.probe(state, request, member, 0, silent).await;
        match status.loss_cause(may_replace) {
            Some(SILENT) => {
                let (tried, purpose) = (pending.tried, pending.purpose);
                let successor = pick_successor(state, request, member, tried, purpose).await;
                if successor.is_some() {
                    return (SILENT, successor);
                }
            }
            Some(cause) => return (cause, None),
            None => {}
        }
    }
}

/// Returns the time between two probes. Those of a run that no other may replace show only whether its
/// engine is to be avoided.
pub(super) fn probe_interval(usual: Duration, may_replace: bool) -> Duration {
    if may_replace {
        usual
    } else {
        SOLE_RUN_PROBE_INTERVAL
    }
}

/// Logs the first event of a run, with the gap since a loss.
pub(super) fn log_first_event(
    state: &State,
    request: &Request,
    run: &Run,
    lost: Option<Moment>,
    now: Moment,
) {
    let gap = lost.map(|lost| now.saturating_sub(lost));
    if let Some(gap) = gap {
        state.metrics.resume_time.observe(gap.as_secs_f64());
    }
    info!(state.log, "first event"; "request" => &*request.ask.id,
        "backend" => &*run.place.backend.entry.id,
        "after_ms" => now.saturating_sub(run.sent_at).as_millis() as u64,
        "gap_ms" => gap.map(|gap| gap.as_millis() as u64));
}
