//! A stream at one engine.

use std::{sync::Arc, time::Duration};

use slog::info;
use smol::Timer;

use super::{
    backup::Backups, choose::MAX_CONTACT_AGE, probe::Probes, request::Request, send::ResponseHead,
};
use crate::{
    backends::{Backend, LoadGuard},
    clock::{self, Moment},
    kernel::{EndedStream, EventSplitter},
    rollouts::MeasuredRun,
    state::State,
};

/// How long a stream that has not begun may be silent before its engine is asked for a sign of life.
const FIRST_EVENT_SILENCE: Duration = Duration::from_millis(600);

/// How long a stream that has not begun may be silent while its engine serves others.
const BUSY_FIRST_EVENT_SILENCE: Duration = Duration::from_millis(1500);

/// The time between looks at whether the engine was lost by others' evidence.
pub(super) const LOSS_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The stream at one engine.
pub(super) struct Run {
    /// The head of its answer, with the connection.
    pub head: Box<ResponseHead>,
    /// Cuts the body into events.
    pub splitter: EventSplitter,
    /// The node's own work there.
    pub place: LoadGuard,
    /// Copies of its memory.
    pub backups: Backups,
    /// When it was sent.
    pub began: Moment,
    /// When the first event came.
    pub first: Option<Moment>,
    /// When bytes came last.
    pub last_received: Moment,
    /// Questions to its engine.
    pub probes: Probes,
    /// Events that came.
    pub events: u64,
    /// Prompt tokens that its engine had to read, as far as is known.
    pub unread: u64,
    /// Whether its engine had nothing else to do when it was sent.
    pub idle_engine: bool,
    /// What is counted of it while its service moves between versions.
    pub trial: Option<Arc<MeasuredRun>>,
}

/// How far a run had come.
#[derive(Debug)]
pub(super) struct RunProgress {
    /// When it was sent.
    pub began: Moment,
    /// When its first event came.
    pub first: Option<Moment>,
    /// Events that came.
    pub events: u64,
    /// What is counted of it while its service moves between versions.
    pub trial: Option<Arc<MeasuredRun>>,
}

impl RunProgress {
    /// A run whose engine did not answer.
    pub fn unanswered(began: Moment, trial: Option<Arc<MeasuredRun>>) -> RunProgress {
        RunProgress {
            began,
            first: None,
            events: 0,
            trial,
        }
    }
}

impl Run {
    /// What the run showed of its engine's pace, after its last event.
    pub fn summary(&self, request: &Request, events: u64) -> EndedStream {
        let first = self.first.unwrap_or(self.last_received);
        EndedStream {
            prefilled_tokens: self.unread,
            prefill_time: first.saturating_sub(self.began),
            max_output: request.ask.prompt.max_output,
            last_event: events,
            run_events: self.events,
            decode_time: self.last_received.saturating_sub(first),
        }
    }
}

/// Waits until an engine that has not begun to answer is believed to have lost the run; tells why.
pub(super) async fn wait_until_lost(
    state: &State,
    request: &Request,
    member: &Backend,
    since: Moment,
) -> &'static str {
    let mut probes = Probes::new(since);
    loop {
        Timer::after(LOSS_CHECK_INTERVAL).await;
        let now = clock::now();
        if member.is_gone(since) {
            return "engine lost";
        }
        let silent = now.saturating_sub(since);
        if probes.age(now) < FIRST_EVENT_SILENCE
            || (silent < BUSY_FIRST_EVENT_SILENCE && member.received_within(now, MAX_CONTACT_AGE))
        {
            continue;
        }
        if let Some(cause) = probes.probe(state, request, member, 0, silent).await {
            return cause;
        }
    }
}

/// Logs the first event of a run, with the pause that a loss made.
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
        "after_ms" => now.saturating_sub(run.began).as_millis() as u64,
        "gap_ms" => gap.map(|gap| gap.as_millis() as u64));
}
