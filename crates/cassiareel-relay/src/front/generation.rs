/*!
Serves one event stream of a caller over as many backend servers as necessary.

Complete events are passed on as they arrive. If the backend server is lost or sends
something that is not a stream of this request, its connection is closed first. Then the stream
continues after its last event at another backend server: the engine that holds a copy of the run's
memory, or any other, which prefills the prompt again. Silence alone is no loss: [`super::probe`]
decides what a silent backend server shows.
*/

use std::{collections::VecDeque, sync::atomic::Ordering, sync::Arc, time::Duration};

use bytes::Bytes;
use cassiareel::{kernel::quota::Purpose, runtime::within};
use futures_lite::FutureExt;
use http::{
    header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING},
    response,
};
use http_body_util::BodyExt;
use slog::{info, warn};
use smol::Timer;

use super::{
    backup::Backups,
    choose::pick_backup,
    engines::{pick_engine, pick_successor, ChosenEngine, PickError},
    limit::take_permit,
    loss::{self, LostRun},
    probe::{Probes, ENGINE_LOST, SILENT, UNREACHABLE},
    request::Request,
    run::{
        log_first_event, probe_interval, wait_until_lost, PendingRun, Run, RunProgress,
        LOSS_CHECK_INTERVAL,
    },
    send::{send, ResponseHead, SendOptions, SendOutcome},
    stream_error::StreamError,
    suspect::{self, is_past_start},
    trials,
};
use crate::{
    backends::{Backend, LoadGuard},
    clock::{self, Moment},
    kernel::{Continuation, Event, EventSplitter, StopReason},
    metrics::Metrics,
    protocol::MemoryCopy,
    state::State,
};

/// How long a stream may be silent after its first event until its engine is probed.
const SILENCE_LIMIT: Duration = Duration::from_millis(300);

/// How long a stream may be silent after its first event while other responses arrive from its
/// engine.
const BUSY_SILENCE_LIMIT: Duration = Duration::from_millis(500);

/// Interval between searches for an engine that takes a stream of which the caller has events.
const SEARCH_INTERVAL: Duration = Duration::from_millis(200);

/// How long a caller should wait before it retries after no engine accepted its stream.
const RETRY_AFTER: Duration = Duration::from_millis(600);

/// One stream and its current run.
pub(super) struct Generation {
    state: Arc<State>,
    request: Arc<Request>,
    run: Option<Run>,
    head: Option<response::Parts>,
    /// The media type of the first success.
    first_type: Option<String>,
    failure: Option<Box<ResponseHead>>,
    progress: Continuation,
    tried: Vec<u64>,
    begun: bool,
    /// Whether an engine wrote the answer past its start.
    past_start: bool,
    lost_at: Option<Moment>,
    copy: Option<(Arc<Backend>, MemoryCopy)>,
    /// The engine that was chosen before the last run was given up.
    successor: Option<ChosenEngine>,
    ready: VecDeque<Event>,
}

/// Result of one wait on a run.
enum Received {
    Bytes(Bytes),
    Finished,
    Lost(&'static str),
    Nothing,
}

impl Generation {
    /// Returns a stream that has not been sent yet.
    pub(super) fn new(state: Arc<State>, request: Arc<Request>) -> Generation {
        Generation {
            progress: Continuation::new(
                request.ask.last_event,
                request.route.attempts,
                request.route.kind.may_repeat(),
            ),
            state,
            request,
            run: None,
            head: None,
            first_type: None,
            failure: None,
            tried: Vec::new(),
            begun: false,
            past_start: false,
            lost_at: None,
            copy: None,
            successor: None,
            ready: VecDeque::new(),
        }
    }

    /// Takes the head of the first engine's response.
    pub(super) fn take_head(&mut self) -> Option<response::Parts> {
        self.head.take()
    }

    /// Takes an engine's own failure, which is passed on if no event was.
    pub(super) fn take_failure(&mut self) -> Option<Box<ResponseHead>> {
        self.failure.take()
    }

    /// Returns the next complete event, or `None` after the last one.
    ///
    /// # Errors
    ///
    /// Fails if the stream can't be completed by this node.
    pub(super) async fn next(&mut self) -> Result<Option<Event>, StreamError> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Ok(Some(event));
            }
            if self.run.is_none() {
                self.start("first").await?;
            }
            let received = self.wait().await?;
            self.update_copy().await;
            match received {
                Received::Bytes(bytes) => {
                    if let Err(cause) = self.receive(&bytes) {
                        self.resume(cause).await?;
                    }
                }
                Received::Finished if self.is_complete() => {
                    self.finish();
                    return Ok(None);
                }
                Received::Finished => self.resume("ended inside an event").await?,
                Received::Lost(cause) => self.resume(cause).await?,
                Received::Nothing => self.check_silent_engine().await?,
            }
        }
    }

    /// Waits for bytes, up to the next check of the engine or the end of the request's time.
    async fn wait(&mut self) -> Result<Received, StreamError> {
        let left = self.request.left();
        if left.is_zero() {
            self.request.record_run(&self.state, None);
            return Err(StreamError::Timeout);
        }
        self.check_hand_over()?;
        let Some(run) = self.run.as_mut() else {
            return Ok(Received::Lost("no run"));
        };
        let frame = async {
            match run.head.body.frame().await {
                Some(Ok(frame)) => frame.into_data().map_or(Received::Nothing, Received::Bytes),
                Some(Err(_)) => Received::Lost("connection lost"),
                None => Received::Finished,
            }
        };
        let received = within(LOSS_CHECK_INTERVAL.min(left), frame).await;
        Ok(received.unwrap_or(Received::Nothing))
    }

    /// Splits received bytes into events.
    fn receive(&mut self, bytes: &[u8]) -> Result<(), &'static str> {
        let now = clock::now();
        let Some(run) = self.run.as_mut() else {
            return Ok(());
        };
        run.last_received = now;
        run.place.backend.note_received(now);
        run.splitter.push(bytes).map_err(|_| "event too large")?;
        if !run.charge.resize(run.splitter.pending_bytes() as u64) {
            return Err("no memory for an event");
        }
        while let Some(event) = run.splitter.pop() {
            if !self.progress.accept_event(event.id) {
                return Err("event out of order");
            }
            if !self.begun {
                self.request.count_usage(&self.state, now);
            }
            if run.events == 0 {
                run.first_event = Some(now);
                run.place.note_prompt_read();
                run.place.backend.health().record_activity();
                if run.idle_engine {
                    let (tokens, took) = (run.unread, now.saturating_sub(run.sent_at));
                    let service = &self.request.service;
                    self.state
                        .admission
                        .with_load(service, |load| load.record_prefill(tokens, took));
                }
                log_first_event(&self.state, &self.request, run, self.lost_at.take(), now);
            }
            run.events += 1;
            if let Some(trial) = &run.trial {
                trial.note_event(now);
            }
            if !self.past_start
                && run
                    .first_event
                    .is_some_and(|first| is_past_start(first, now))
            {
                self.past_start = true;
                suspect::record_part_survival(&self.state, &self.request.parts);
            }
            self.begun = true;
            self.ready.push_back(event);
        }
        Ok(())
    }

    /// Reports whether the run ended after a complete event, or had nothing to add to those that the
    /// caller has. A body without a stated end that is empty may have been cut.
    fn is_complete(&self) -> bool {
        let Some(run) = &self.run else {
            return false;
        };
        let may_add_nothing = self.begun && has_stated_end(&run.head.parts);
        run.splitter.pending_bytes() == 0 && (run.events > 0 || may_add_nothing)
    }

    /// Returns the connection of a completed run to its pool, and records the run's speed and
    /// success.
    fn finish(&mut self) {
        if let Some(run) = self.run.take() {
            let entry = &run.place.backend.entry;
            // A run without an event shows no speed.
            if run.events > 0 {
                let ended = run.summary(&self.request, self.progress.last_event().unwrap_or(0));
                self.state.speeds().record(&entry.service, ended);
            }
            let took = clock::now().saturating_sub(run.sent_at);
            self.request.record_run(&self.state, Some(took));
            suspect::record_success(&self.state, &self.request);
            run.backups.release(&self.state, &run.place.backend);
            let idle_limit = run.head.answer.keep_alive;
            run.head.lease.put_back(idle_limit);
        }
    }

    /// Maintains a copy of the run's memory.
    async fn update_copy(&mut self) {
        let Some(run) = self.run.as_mut() else {
            return;
        };
        if self.request.route.kind.may_repeat() {
            let member = run.place.backend.clone();
            run.backups
                .maintain(&self.state, &self.request, &member)
                .await;
        }
    }

    /// Checks whether an engine that sends nothing is still alive and works on the run.
    async fn check_silent_engine(&mut self) -> Result<(), StreamError> {
        let now = clock::now();
        let may_replace = self.progress.may_replace(true);
        let Some(run) = self.run.as_mut() else {
            return Ok(());
        };
        let member = run.place.backend.clone();
        if may_replace && member.has_ended_silently() {
            return self.resume(ENGINE_LOST).await;
        }
        let silent = now.saturating_sub(run.last_received);
        let silence_limit = if member.received_within(now, SILENCE_LIMIT) {
            BUSY_SILENCE_LIMIT
        } else {
            SILENCE_LIMIT
        };
        if silent < silence_limit
            || run.probes.age(now) < probe_interval(SILENCE_LIMIT, may_replace)
        {
            return Ok(());
        }
        if may_replace && member.was_unreachable(run.last_received) {
            return self.resume(UNREACHABLE).await;
        }
        let (state, request) = (&self.state, &self.request);
        let status = run
            .probes
            .probe(state, request, &member, run.events, silent)
            .await;
        match status.loss_cause(may_replace) {
            Some(SILENT) if !self.prepare_successor(&member).await => Ok(()),
            Some(cause) => self.resume(cause).await,
            None => Ok(()),
        }
    }

    /// Chooses the engine at which the stream continues before the run of a silent engine is given
    /// up. Without one, or without a retry left, the run is kept, since its engine may go on.
    async fn prepare_successor(&mut self, silent: &Backend) -> bool {
        let run = self.run.as_ref();
        if run.is_some_and(|run| run.backups.is_usable(clock::now())) {
            return self.state.may_retry(&self.request.service, self.begun);
        }
        let (tried, purpose) = (&self.tried, self.purpose());
        self.successor = pick_successor(&self.state, &self.request, silent, tried, purpose).await;
        self.successor.is_some()
    }

    /// Closes the run and continues the stream elsewhere.
    async fn resume(&mut self, cause: &'static str) -> Result<(), StreamError> {
        if let Some(run) = self.run.take() {
            let Run {
                head,
                place,
                backups,
                events,
                sent_at,
                first_event,
                trial,
                ..
            } = run;
            // Closing the connection stops the engine before another one continues.
            drop(head);
            let run_progress = RunProgress {
                sent_at,
                first_event,
                events,
                trial,
            };
            self.record_loss(&place.backend, backups, cause, run_progress)
                .await;
        }
        self.start(cause).await
    }

    /// Records a lost run, and takes the copy of its memory that is left.
    async fn record_loss(
        &mut self,
        member: &Arc<Backend>,
        backups: Backups,
        cause: &'static str,
        run_progress: RunProgress,
    ) {
        let RunProgress {
            sent_at,
            first_event,
            events,
            trial,
        } = run_progress;
        trials::record_loss(trial.as_ref());
        let now = clock::now();
        self.lost_at.get_or_insert(now);
        let lost = LostRun {
            request: &self.request,
            member,
            cause,
            sent_at,
            first_event,
        };
        loss::record_lost_run(&self.state, &lost).await;
        warn!(self.state.log, "run lost"; "request" => &*self.request.ask.id,
            "backend" => &*member.entry.id, "cause" => cause, "events" => events,
            "after" => self.progress.last_event());
        // An engine copies no memory before the first event.
        self.copy = (events > 0).then(|| backups.take(now)).flatten();
    }

    /// Sends the request until an engine accepts it, first to the holder of a copy.
    async fn start(&mut self, cause: &str) -> Result<(), StreamError> {
        loop {
            if self.request.left().is_zero() {
                return Err(StreamError::Timeout);
            }
            self.progress
                .may_send()
                .map_err(|stop| self.stop_error(stop))?;
            self.check_quarantine()?;
            let target = self.choose_target().await?;
            self.check_quarantine()?;
            if self.is_too_late(&target) {
                return Err(self.stop_error(self.progress.stop_reason()));
            }
            if self.progress.was_sent() {
                if !self.state.take_retry(&self.request.service, self.begun) {
                    info!(self.state.log, "no repeat left"; "request" => &*self.request.ask.id);
                    return Err(self.stop_error(self.progress.stop_reason()));
                }
                Metrics::count(&self.state.metrics.resumed, cause);
            }
            if self.send_to(target).await? {
                return Ok(());
            }
        }
    }

    /// Returns the error for a stream that may not be sent again.
    fn stop_error(&self, stop: StopReason) -> StreamError {
        match stop {
            StopReason::NotRun => StreamError::NoBackend {
                after: self.state.retry_after(&self.request.service, RETRY_AFTER),
            },
            StopReason::MayHaveRun => StreamError::Broken,
        }
    }

    /// Fails if the request is quarantined, or held for a part of its prompt. A stream of which the
    /// caller has events goes on beside the former, and one that got past its start beside both: the
    /// number of its runs is limited.
    fn check_quarantine(&self) -> Result<(), StreamError> {
        if self.past_start {
            return Ok(());
        }
        let (state, request) = (&self.state, &self.request);
        let left = if self.begun {
            suspect::part_hold_left(state, &request.ask.id, &request.parts)
        } else {
            suspect::hold_left(state, &request.ask.id, &request.content, &request.parts)
        };
        match left {
            Some(after) if self.progress.stop_reason() == StopReason::NotRun => {
                Err(StreamError::Held { after })
            }
            Some(_) => Err(StreamError::Broken),
            None => Ok(()),
        }
    }

    /// Chooses where the request is sent: to the holder of a copy, else to an engine.
    async fn choose_target(&mut self) -> Result<ChosenEngine, StreamError> {
        if let Some((member, copy)) = self.copy.take() {
            return Ok(ChosenEngine::at_copy(member, copy));
        }
        if let Some(successor) = self.successor.take() {
            return Ok(successor);
        }
        let (state, request) = (&self.state, &self.request);
        loop {
            match pick_engine(state, request, &self.tried, self.purpose()).await {
                Ok(chosen) => return Ok(chosen),
                Err(PickError::NoEngine) => self.wait_for_engine().await?,
                Err(PickError::NoCapacity(lack)) => {
                    let after = request.record_rejection(state, lack);
                    return Err(StreamError::NoCapacity {
                        after: state.retry_after(&request.service, after),
                    });
                }
            }
        }
    }

    /// Waits a little before the next search, for a stream that may have run and that an engine takes
    /// in time: one that names a limit, has requested backoff or is silent.
    ///
    /// # Errors
    ///
    /// Fails if the stream can't go on.
    async fn wait_for_engine(&self) -> Result<(), StreamError> {
        self.check_hand_over()?;
        let left = self.request.left();
        let wait = self.state.time_to_accept(&self.request.service);
        let stop_reason = self.progress.stop_reason();
        if stop_reason == StopReason::NotRun || wait.is_none_or(|wait| wait >= left) {
            return Err(self.stop_error(stop_reason));
        }
        Timer::after(SEARCH_INTERVAL.min(left)).await;
        Ok(())
    }

    /// Fails if the node is stopping and another node can continue the stream.
    fn check_hand_over(&self) -> Result<(), StreamError> {
        let is_stopping = self.state.handing_over.load(Ordering::Relaxed);
        if is_stopping && self.request.route.kind.may_repeat() {
            return Err(StreamError::HandedOver);
        }
        Ok(())
    }

    /// Reports whether a prompt would be prefilled for a stream that can't end in time even at the
    /// engine's best speed. If the engine still has the prompt, the stream is sent all the same,
    /// and the caller gets the events that can be generated in time.
    fn is_too_late(&self, target: &ChosenEngine) -> bool {
        let request = &self.request;
        let unread = target.unread(request.ask.prompt.input);
        if unread == 0 {
            return false;
        }
        let done = self.progress.last_event().unwrap_or(0);
        let min_time =
            self.state
                .speeds()
                .min_time(&request.service, &request.ask.prompt, unread, done);
        let left = request.left();
        if min_time > left {
            info!(self.state.log, "too late"; "request" => &*request.ask.id, "after" => done,
                "unread" => unread, "least_ms" => min_time.as_millis() as u64,
                "left_ms" => left.as_millis() as u64);
        }
        min_time > left
    }

    /// Sends the request to one engine; returns `false` if another one has to be tried.
    async fn send_to(&mut self, target: ChosenEngine) -> Result<bool, StreamError> {
        let unread = target.unread(self.request.ask.prompt.input);
        let ChosenEngine {
            member,
            copy,
            idle,
            reservation,
            ..
        } = target;
        let is_resend = self.progress.was_sent();
        let Some(permit) = take_permit(&self.state, &member, self.purpose()) else {
            if is_resend {
                self.state.refund_retry(&self.request.service);
            }
            if self.begun {
                self.wait_for_engine().await?;
            } else {
                self.progress.record_send();
                self.tried.push(member.number);
            }
            return Ok(false);
        };
        suspect::record_send(&self.state, &self.request);
        self.progress.record_send();
        self.tried.push(member.number);
        let prompt = &self.request.ask.prompt;
        let place = LoadGuard::run(&member, unread, prompt.peak_tokens());
        let options = SendOptions {
            reservation,
            ..self.send_options(&member, copy)
        };
        let sent_at = clock::now();
        let size = trials::stream_size(&self.request, unread);
        let (service, version) = (&member.entry.service, &member.entry.version);
        let rollouts = &self.state.rollouts;
        let trial = rollouts.begin_run(service, version, member.number, size, sent_at);
        let backups = match &options.backup {
            Some(holder) => Backups::growing(&self.request, holder, sent_at),
            None => Backups::default(),
        };
        let limit = self.request.left();
        let sending =
            async { Ok(send(&self.state, &self.request, &member, &options, limit, permit).await) };
        let pending = PendingRun {
            member: &member,
            sent_at,
            may_replace: self.progress.may_replace(false),
            tried: &self.tried,
            purpose: self.purpose(),
        };
        let presumed_lost =
            async { Err(wait_until_lost(&self.state, &self.request, &pending).await) };
        let sent = match sending.or(presumed_lost).await {
            Ok(sent) => sent,
            Err((cause, successor)) => {
                self.successor = successor;
                self.progress.record_run();
                self.record_loss(
                    &member,
                    backups,
                    cause,
                    RunProgress::unanswered(sent_at, trial),
                )
                .await;
                return Ok(false);
            }
        };
        let now = clock::now();
        match sent {
            SendOutcome::Head(head) if !self.may_follow(&head.parts) => {
                drop(head);
                self.progress.record_run();
                self.record_loss(
                    &member,
                    backups,
                    "not the same stream",
                    RunProgress::unanswered(sent_at, trial),
                )
                .await;
                Ok(false)
            }
            SendOutcome::Head(head) if head.parts.status.is_success() => {
                self.progress.record_run();
                if self.first_type.is_none() {
                    self.first_type = Some(media_type(&head.parts));
                    self.head = Some(head.parts.clone());
                }
                self.run = Some(Run {
                    head,
                    splitter: EventSplitter::default(),
                    charge: self.state.body_budget.charge(),
                    place,
                    backups,
                    sent_at,
                    first_event: None,
                    last_received: now,
                    probes: Probes::new(now),
                    events: 0,
                    unread,
                    idle_engine: idle,
                    trial,
                });
                Ok(true)
            }
            SendOutcome::Head(head) => {
                self.progress.record_failure();
                trials::record_failure(trial.as_ref());
                member
                    .health()
                    .record_answer(true, now.saturating_sub(sent_at));
                self.failure = Some(head);
                Ok(false)
            }
            SendOutcome::NotRun(_) => Ok(false),
            SendOutcome::Unreached(_) => {
                loss::record_lost_backend(&self.state, &member, now);
                if is_resend {
                    self.state.refund_retry(&self.request.service);
                }
                Ok(false)
            }
            SendOutcome::Lost(_) => {
                self.progress.record_run();
                self.record_loss(
                    &member,
                    backups,
                    "connection lost",
                    RunProgress::unanswered(sent_at, trial),
                )
                .await;
                Ok(false)
            }
            SendOutcome::TimedOut => {
                self.request.record_run(&self.state, None);
                Err(StreamError::Timeout)
            }
        }
    }

    /// Reports whether a response may follow what the caller has of the stream: a success only if it
    /// is of the first response's media type.
    fn may_follow(&self, parts: &response::Parts) -> bool {
        let Some(first) = &self.first_type else {
            return true;
        };
        !parts.status.is_success() || *first == media_type(parts)
    }

    /// Returns what a send uses a permit for. A stream of which the caller has a part goes before
    /// those that begin.
    fn purpose(&self) -> Purpose {
        if self.begun || self.request.ask.last_event.is_some() {
            Purpose::Ongoing
        } else if self.progress.was_sent() {
            Purpose::Repeat
        } else {
            Purpose::New
        }
    }

    /// Returns the options of this send: the engine that keeps a copy of the memory, and the copy
    /// that the run continues from.
    fn send_options(&self, member: &Arc<Backend>, copy: Option<MemoryCopy>) -> SendOptions {
        let engine = self.state.engine_shape(&self.request.service);
        let backups = engine.is_some_and(|engine| engine.backups);
        let may_resume = self.request.route.kind.may_repeat();
        SendOptions {
            last_event: self.progress.last_event(),
            backup: (backups && may_resume)
                .then(|| pick_backup(&self.state, &self.request, member, &[]))
                .flatten(),
            copy,
            reservation: None,
        }
    }
}

/// Reports whether a response states where its body ends: by a length or in chunks.
fn has_stated_end(parts: &response::Parts) -> bool {
    [CONTENT_LENGTH, TRANSFER_ENCODING]
        .iter()
        .any(|name| parts.headers.contains_key(name))
}

/// Returns the media type of a response without its parameters, in lower case; empty if there is
/// none.
fn media_type(parts: &response::Parts) -> String {
    let value = parts.headers.get(CONTENT_TYPE);
    let text = value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let end = text.find(';').unwrap_or(text.len());
    text[..end].trim().to_ascii_lowercase()
}
