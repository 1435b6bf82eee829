/*!
One event stream of a caller, over as many backend servers as it takes.

Whole events are passed on as they come. When the backend server is lost, falls silent or sends what
is no stream of this request, its connection is closed first, and the stream goes on after its last
event at another one: at the engine that holds a copy of the run's memory, or at any other, which
reads the prompt anew.
*/

use std::{collections::VecDeque, sync::atomic::Ordering, sync::Arc, time::Duration};

use bytes::Bytes;
use cassiareel::runtime::within;
use futures_lite::FutureExt;
use http::response;
use http_body_util::BodyExt;
use slog::{info, warn};

use super::{
    backup::Backups,
    choose::pick_backup,
    end::End,
    engines::{pick_engine, Chosen, Missing},
    loss::{self, LostRun},
    probe::Probes,
    request::Request,
    run::{log_first, until_gone, Run, Spent, LOOK},
    send::{send, Extra, Head, Sent},
    suspect, trials,
};
use crate::{
    backends::{Backend, LoadGuard},
    clock::{self, Moment},
    kernel::{Continuation, Event, Splitter, Stop},
    metrics::Metrics,
    protocol::MemoryCopy,
    state::State,
};

/// How long a stream that has begun may be silent before its engine is asked for a sign of life.
const SILENCE: Duration = Duration::from_millis(300);

/// How long a stream that has begun may be silent while its engine serves others.
const LONGER_SILENCE: Duration = Duration::from_millis(500);

/// When a caller may come back after no engine took its stream.
const COME_BACK: Duration = Duration::from_millis(600);

/// One stream and where it runs now.
pub(super) struct Generation {
    state: Arc<State>,
    request: Arc<Request>,
    run: Option<Run>,
    head: Option<response::Parts>,
    failure: Option<Box<Head>>,
    progress: Continuation,
    tried: Vec<u64>,
    begun: bool,
    lost_at: Option<Moment>,
    copy: Option<(Arc<Backend>, MemoryCopy)>,
    ready: VecDeque<Event>,
}

/// What one wait on a run brought.
enum Got {
    Bytes(Bytes),
    Finished,
    Lost(&'static str),
    Quiet,
}

impl Generation {
    /// A stream that has not been sent anywhere.
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
            failure: None,
            tried: Vec::new(),
            begun: false,
            lost_at: None,
            copy: None,
            ready: VecDeque::new(),
        }
    }

    /// The head of the first engine's answer.
    pub(super) fn take_head(&mut self) -> Option<response::Parts> {
        self.head.take()
    }

    /// An engine's own failure, which is passed on where no event was.
    pub(super) fn take_failure(&mut self) -> Option<Box<Head>> {
        self.failure.take()
    }

    /// The next whole event; `None` after the last one.
    ///
    /// # Errors
    ///
    /// Fails when the stream can't be completed here.
    pub(super) async fn next(&mut self) -> Result<Option<Event>, End> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Ok(Some(event));
            }
            if self.run.is_none() {
                self.start("first").await?;
            }
            let got = self.wait().await?;
            self.keep_copy().await;
            match got {
                Got::Bytes(bytes) => {
                    if let Err(cause) = self.take_in(&bytes) {
                        self.resume(cause).await?;
                    }
                }
                Got::Finished if self.is_whole() => {
                    self.finish();
                    return Ok(None);
                }
                Got::Finished => self.resume("ended inside an event").await?,
                Got::Lost(cause) => self.resume(cause).await?,
                Got::Quiet => self.look().await?,
            }
        }
    }

    /// Waits for bytes, a silence or the end of the time.
    async fn wait(&mut self) -> Result<Got, End> {
        let left = self.request.left();
        if left.is_zero() {
            return Err(End::Timeout);
        }
        if self.state.handing_over.load(Ordering::Relaxed) && self.request.route.kind.may_repeat() {
            return Err(End::Handed);
        }
        let Some(run) = self.run.as_mut() else {
            return Ok(Got::Lost("no run"));
        };
        let frame = async {
            match run.head.body.frame().await {
                Some(Ok(frame)) => frame.into_data().map_or(Got::Quiet, Got::Bytes),
                Some(Err(_)) => Got::Lost("connection lost"),
                None => Got::Finished,
            }
        };
        let got = within(LOOK.min(left), frame).await;
        Ok(got.unwrap_or(Got::Quiet))
    }

    /// Cuts bytes into events.
    fn take_in(&mut self, bytes: &[u8]) -> Result<(), &'static str> {
        let now = clock::now();
        let Some(run) = self.run.as_mut() else {
            return Ok(());
        };
        run.heard = now;
        run.place.backend.note_received(now);
        run.splitter.push(bytes).map_err(|_| "event too large")?;
        while let Some(event) = run.splitter.pop() {
            if !self.progress.take(event.id) {
                return Err("event out of order");
            }
            if run.events == 0 {
                run.first = Some(now);
                run.place.note_prompt_read();
                run.place.backend.health().heard();
                if run.alone {
                    let (tokens, took) = (run.unread, now.saturating_sub(run.began));
                    let service = &self.request.service;
                    self.state
                        .admission
                        .with_load(service, |load| load.note_read(tokens, took));
                }
                log_first(&self.state, &self.request, run, self.lost_at.take(), now);
            }
            run.events += 1;
            if let Some(trial) = &run.trial {
                trial.note_event(now);
            }
            self.begun = true;
            self.ready.push_back(event);
        }
        Ok(())
    }

    /// Reports whether the run ended after a whole event.
    fn is_whole(&self) -> bool {
        let run = self.run.as_ref();
        run.is_some_and(|run| run.splitter.left() == 0 && run.events > 0)
    }

    /// Keeps the connection of a run that ended well.
    fn finish(&mut self) {
        if let Some(run) = self.run.take() {
            let entry = &run.place.backend.entry;
            let ended = run.ended(&self.request, self.progress.last().unwrap_or(0));
            self.state.speeds().ended(&entry.service, ended);
            suspect::survived(&self.state, &self.request);
            run.backups.release(&self.state, &run.place.backend);
            let keep = run.head.answer.keep_alive;
            run.head.lease.put_back(keep);
        }
    }

    /// Keeps a copy of the run's memory.
    async fn keep_copy(&mut self) {
        let Some(run) = self.run.as_mut() else {
            return;
        };
        if self.request.route.kind.may_repeat() {
            let member = run.place.backend.clone();
            run.backups.keep(&self.state, &self.request, &member).await;
        }
    }

    /// Looks whether a silent engine still lives.
    async fn look(&mut self) -> Result<(), End> {
        let now = clock::now();
        let Some(run) = self.run.as_mut() else {
            return Ok(());
        };
        let member = run.place.backend.clone();
        if member.was_lost(run.began.max(run.heard)) {
            return self.resume("engine lost").await;
        }
        let silent = now.saturating_sub(run.heard);
        let quiet = if member.received_within(now, SILENCE) {
            LONGER_SILENCE
        } else {
            SILENCE
        };
        if silent < quiet || run.probes.age(now) < SILENCE {
            return Ok(());
        }
        let (state, request) = (&self.state, &self.request);
        let lost = run
            .probes
            .ask(state, request, &member, run.events, silent)
            .await;
        match lost {
            Some(cause) => self.resume(cause).await,
            None => Ok(()),
        }
    }

    /// Closes the run and goes on elsewhere.
    async fn resume(&mut self, cause: &'static str) -> Result<(), End> {
        if let Some(run) = self.run.take() {
            let Run {
                head,
                place,
                backups,
                events,
                began,
                first,
                trial,
                ..
            } = run;
            // Closing the connection stops the engine before another one goes on.
            drop(head);
            let spent = Spent {
                began,
                first,
                events,
                trial,
            };
            self.lose(&place.backend, backups, cause, spent).await;
        }
        self.start(cause).await
    }

    /// Notes a lost run, and what is left of its memory.
    async fn lose(
        &mut self,
        member: &Arc<Backend>,
        backups: Backups,
        cause: &'static str,
        spent: Spent,
    ) {
        let Spent {
            began,
            first,
            events,
            trial,
        } = spent;
        trials::fail(trial.as_ref());
        let now = clock::now();
        self.lost_at.get_or_insert(now);
        let lost = LostRun {
            request: &self.request,
            member,
            cause,
            began,
            first,
        };
        loss::note_run(&self.state, &lost).await;
        warn!(self.state.log, "run lost"; "request" => &*self.request.ask.id,
            "backend" => &*member.entry.id, "cause" => cause, "events" => events,
            "after" => self.progress.last());
        // An engine copies no memory before the first event.
        self.copy = (events > 0).then(|| backups.take(now)).flatten();
    }

    /// Sends the request until an engine takes it, first to the holder of a copy.
    async fn start(&mut self, cause: &str) -> Result<(), End> {
        loop {
            if self.request.left().is_zero() {
                return Err(End::Timeout);
            }
            self.progress
                .may_send()
                .map_err(|stop| self.stopped(stop))?;
            self.check_held()?;
            let target = self.choose().await?;
            if self.is_too_late(&target) {
                return Err(self.stopped(self.progress.stop()));
            }
            if self.progress.was_sent() {
                if !self.state.take_retry(&self.request.service, self.begun) {
                    info!(self.state.log, "no repeat left"; "request" => &*self.request.ask.id);
                    return Err(self.stopped(self.progress.stop()));
                }
                Metrics::count(&self.state.metrics.resumed, cause);
            }
            if self.send_to(target).await? {
                return Ok(());
            }
        }
    }

    /// How the stream ends that is not sent again.
    fn stopped(&self, stop: Stop) -> End {
        match stop {
            Stop::NotRun => End::NoPlace {
                after: self.state.retry_after(&self.request.service, COME_BACK),
            },
            Stop::MayHaveRun => End::Broken,
        }
    }

    /// Fails where servers ended under the request so often that it is not sent.
    fn check_held(&self) -> Result<(), End> {
        let request = &self.request;
        match suspect::held(&self.state, &request.ask.id, &request.content) {
            Some(after) if self.progress.stop() == Stop::NotRun => Err(End::Held { after }),
            Some(_) => Err(End::Broken),
            None => Ok(()),
        }
    }

    /// Chooses where the request is sent: to the holder of a copy, or an engine.
    async fn choose(&mut self) -> Result<Chosen, End> {
        if let Some((member, copy)) = self.copy.take() {
            return Ok(Chosen::at_copy(member, copy));
        }
        let (state, request) = (&self.state, &self.request);
        pick_engine(state, request, &self.tried)
            .await
            .map_err(|missing| match missing {
                Missing::Engine => self.stopped(self.progress.stop()),
                Missing::Room(lack) => End::NoRoom {
                    after: request.turn_away(state, lack),
                },
            })
    }

    /// Reports whether a prompt would be read for a stream that can't end in time, as fast as its
    /// engine may be. Where the prompt is held, the caller gets the events that can still be made.
    fn is_too_late(&self, target: &Chosen) -> bool {
        let request = &self.request;
        let unread = target.unread(request.ask.prompt.input);
        if unread == 0 {
            return false;
        }
        let done = self.progress.last().unwrap_or(0);
        let least = self
            .state
            .speeds()
            .least(&request.service, &request.ask.prompt, unread, done);
        let left = request.left();
        if least > left {
            info!(self.state.log, "too late"; "request" => &*request.ask.id, "after" => done,
                "unread" => unread, "least_ms" => least.as_millis() as u64,
                "left_ms" => left.as_millis() as u64);
        }
        least > left
    }

    /// Sends the request to one engine; `false` where another one has to be tried.
    async fn send_to(&mut self, target: Chosen) -> Result<bool, End> {
        let unread = target.unread(self.request.ask.prompt.input);
        let Chosen {
            member,
            copy,
            alone,
            reservation,
            ..
        } = target;
        let again = self.progress.was_sent();
        self.progress.sent();
        self.tried.push(member.number);
        let prompt = &self.request.ask.prompt;
        let place = LoadGuard::run(&member, unread, prompt.footprint());
        let extra = Extra {
            reservation,
            ..self.extra(&member, copy)
        };
        let began = clock::now();
        let entry = &member.entry;
        let trial = self.state.rollouts.begin_run(
            &entry.service,
            &entry.version,
            trials::stream(&self.request, unread),
            began,
        );
        let backups = match &extra.backup {
            Some(holder) => Backups::growing(&self.request, holder, began),
            None => Backups::default(),
        };
        let limit = self.request.left();
        let sending = async { Ok(send(&self.state, &self.request, &member, &extra, limit).await) };
        let gone = async { Err(until_gone(&self.state, &self.request, &member, began).await) };
        let sent = match sending.or(gone).await {
            Ok(sent) => sent,
            Err(cause) => {
                self.progress.ran();
                self.lose(&member, backups, cause, Spent::unanswered(began, trial))
                    .await;
                return Ok(false);
            }
        };
        let now = clock::now();
        match sent {
            Sent::Head(head) if head.parts.status.is_success() => {
                self.progress.ran();
                self.head.get_or_insert_with(|| head.parts.clone());
                self.run = Some(Run {
                    head,
                    splitter: Splitter::default(),
                    place,
                    backups,
                    began,
                    first: None,
                    heard: now,
                    probes: Probes::new(now),
                    events: 0,
                    unread,
                    alone,
                    trial,
                });
                Ok(true)
            }
            Sent::Head(head) => {
                self.progress.ran();
                trials::fail(trial.as_ref());
                member.health().answered(true, now.saturating_sub(began));
                self.failure = Some(head);
                Ok(false)
            }
            Sent::NotRun(_) => Ok(false),
            Sent::Unreached(_) => {
                loss::note(&self.state, &member, now);
                if again {
                    self.state.refund_retry(&self.request.service);
                }
                Ok(false)
            }
            Sent::Lost(_) => {
                self.progress.ran();
                self.lose(
                    &member,
                    backups,
                    "connection lost",
                    Spent::unanswered(began, trial),
                )
                .await;
                Ok(false)
            }
            Sent::Late => Err(End::Timeout),
        }
    }

    /// What this send adds: where the memory is copied to, and the copy that it goes on from.
    fn extra(&self, member: &Arc<Backend>, copy: Option<MemoryCopy>) -> Extra {
        let engine = self.state.engine_shape(&self.request.service);
        let backups = engine.is_some_and(|engine| engine.backups);
        let may_resume = self.request.route.kind.may_repeat();
        Extra {
            last_event: self.progress.last(),
            backup: (backups && may_resume)
                .then(|| pick_backup(&self.state, &self.request, member, &[]))
                .flatten(),
            copy,
            reservation: None,
        }
    }
}
