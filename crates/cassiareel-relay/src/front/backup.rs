/*!
Copies a run's memory to another engine, so that a lost run continues without another prefill of its
prompt.

A copy grows with its run from the start. If its holder is lost while the run is alive, the run's
engine is requested to make a new copy elsewhere. Such a copy does not grow by itself, so the
request is repeated at short intervals.

No message reports that a holder was lost, and the registry still lists it for seconds. A holder is
therefore probed if nothing was received from it since it was chosen, or since others of its data
centre were lost.
*/

use std::{sync::Arc, time::Duration};

use cassiareel::{kernel::quota::Purpose, runtime::within};
use futures_lite::future::poll_once;
use http::Method;
use slog::{debug, info};
use smol::Task;

use super::{
    choose::{is_liveness_uncertain, pick_backup},
    engine_call::call_engine,
    limit::{take_permit, Permit},
    report::{self, Liveness},
    request::Request,
};
use crate::{
    backends::{Backend, LoadGuard},
    clock::{self, Moment},
    protocol::MemoryCopy,
    state::State,
};

/// Age at which a copy that does not grow is refreshed.
const REFRESH_INTERVAL: Duration = Duration::from_millis(1500);

/// Interval between requests for a copy.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// How long an engine may take to make or release a copy.
const COPY_TIMEOUT: Duration = Duration::from_millis(1500);

/// A run does not continue at a holder that was lost within this time.
const RECENT_LOSS: Duration = Duration::from_millis(1000);

/// A holder from which bytes were received within this time before it was chosen needs no probe.
const RECENT_CONTACT: Duration = Duration::from_millis(1000);

/// Interval between checks of the copies of a run.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// The copies of one run.
#[derive(Debug, Default)]
pub(super) struct Backups {
    /// The copy that can be used.
    held: Option<HeldCopy>,
    /// The copy that is being made.
    pending: Option<PendingCopy>,
    /// When a copy was last requested.
    requested_at: Option<Moment>,
    /// When the copies were last checked.
    checked_at: Option<Moment>,
    /// Engines that failed as holders.
    excluded: Vec<u64>,
}

/// A copy that can be used.
#[derive(Debug)]
struct HeldCopy {
    place: LoadGuard,
    copy: MemoryCopy,
    since: Moment,
    grows: bool,
    /// The probe of the holder that is under way.
    probe: Option<Task<bool>>,
}

impl HeldCopy {
    /// Reports whether the holder has to be probed.
    fn needs_probe(&self, state: &State, now: Moment) -> bool {
        let holder = &self.place.backend;
        !holder.received_since(self.since.saturating_sub(RECENT_CONTACT))
            || is_liveness_uncertain(state, holder, now)
    }

    /// Probes the holder if it may be lost; returns `false` if it is.
    async fn check_holder(&mut self, state: &Arc<State>, now: Moment) -> bool {
        if let Some(mut probe) = self.probe.take() {
            let alive = poll_once(&mut probe).await;
            if alive.is_none() {
                self.probe = Some(probe);
            }
            return alive.unwrap_or(true);
        }
        if self.needs_probe(state, now) {
            let (task_state, holder) = (state.clone(), self.place.backend.clone());
            self.probe = Some(state.spawner.spawn(async move {
                let alive = is_alive(&task_state, &holder).await;
                debug!(task_state.log, "copy holder probed"; "backend" => &*holder.entry.id,
                    "lives" => alive);
                alive
            }));
        }
        true
    }
}

/// Probes whether an engine is alive.
async fn is_alive(state: &Arc<State>, engine: &Backend) -> bool {
    match report::read(state, engine).await {
        Liveness::Alive(_) => {
            engine.note_received(clock::now());
            true
        }
        Liveness::Answered | Liveness::Unknown => true,
        Liveness::Replaced | Liveness::Refused | Liveness::Unreachable | Liveness::Silent => false,
    }
}

/// A copy that an engine was requested to make.
#[derive(Debug)]
struct PendingCopy {
    task: Task<Option<String>>,
    target: Arc<Backend>,
}

impl Backups {
    /// Returns a copy at `holder` that grows with the run from its start.
    pub(super) fn growing(request: &Request, holder: &Arc<Backend>, now: Moment) -> Backups {
        let copy = MemoryCopy {
            origin: holder.entry.address,
            name: request.ask.id.clone(),
        };
        Backups {
            held: Some(HeldCopy {
                place: LoadGuard::copy(holder, request.ask.prompt.peak_tokens()),
                copy,
                since: now,
                grows: true,
                probe: None,
            }),
            ..Backups::default()
        }
    }

    /// Reports whether a run can continue from a copy, since its holder is believed to be alive.
    pub(super) fn is_usable(&self, now: Moment) -> bool {
        self.held.as_ref().is_some_and(|held| {
            let member = &held.place.backend;
            member.accepts_requests(now) && !member.was_lost(now.saturating_sub(RECENT_LOSS))
        })
    }

    /// Returns the copy to continue from, if its holder is believed to be alive.
    pub(super) fn take(self, now: Moment) -> Option<(Arc<Backend>, MemoryCopy)> {
        if !self.is_usable(now) {
            return None;
        }
        let held = self.held?;
        Some((held.place.backend.clone(), held.copy))
    }

    /// Releases a requested copy once the run has ended. Its holder does not free it with the run,
    /// unlike a copy that grows.
    pub(super) fn release(self, state: &Arc<State>, runner: &Arc<Backend>) {
        let Some(held) = self.held.filter(|held| !held.grows) else {
            return;
        };
        let Some(permit) = take_permit(state, runner, Purpose::Ongoing) else {
            debug!(state.log, "copy released"; "backend" => &*runner.entry.id, "released" => false);
            return;
        };
        let path = state.protocol.release_path(&held.copy.name);
        let (task_state, runner) = (state.clone(), runner.clone());
        let task = async move {
            let releasing = call_engine(
                &task_state,
                &runner,
                Method::DELETE,
                &path,
                String::new(),
                permit,
            );
            let released = within(COPY_TIMEOUT, releasing).await.flatten().is_some();
            debug!(task_state.log, "copy released"; "backend" => &*runner.entry.id,
                "released" => released);
        };
        state.spawner.spawn(task).detach();
    }

    /// Maintains a copy of a live run: collects one that an engine made, and requests another one
    /// if none is left or the current one is stale.
    pub(super) async fn maintain(
        &mut self,
        state: &Arc<State>,
        request: &Request,
        runner: &Arc<Backend>,
    ) {
        let now = clock::now();
        if is_recent(self.checked_at, CHECK_INTERVAL, now) {
            return;
        }
        self.checked_at = Some(now);
        if self.collect(request, runner, now).await {
            return;
        }
        self.check_holder(state, now).await;
        let copies = state
            .engine_shape(&request.service)
            .is_some_and(|engine| engine.moves);
        if is_recent(self.requested_at, RETRY_INTERVAL, now) || !copies {
            return;
        }
        let Some(target) = self.next_target(state, request, runner, now) else {
            return;
        };
        self.requested_at = Some(now);
        if let Some(permit) = take_permit(state, runner, Purpose::Ongoing) {
            self.request_copy(state, request, runner, target, permit);
        }
    }

    /// Drops a copy whose holder did not answer a probe.
    async fn check_holder(&mut self, state: &Arc<State>, now: Moment) {
        let Some(held) = &mut self.held else {
            return;
        };
        if !held.check_holder(state, now).await {
            self.excluded.push(held.place.backend.number);
            self.held = None;
        }
    }

    /// Collects the result of a request for a copy; reports whether the result is still
    /// outstanding.
    async fn collect(&mut self, request: &Request, runner: &Backend, now: Moment) -> bool {
        let Some(mut pending) = self.pending.take() else {
            return false;
        };
        match poll_once(&mut pending.task).await {
            None => {
                self.pending = Some(pending);
                true
            }
            Some(None) => {
                self.excluded.push(pending.target.number);
                false
            }
            Some(Some(name)) => {
                self.held = Some(HeldCopy {
                    place: LoadGuard::copy(&pending.target, request.ask.prompt.peak_tokens()),
                    copy: MemoryCopy {
                        origin: runner.entry.address,
                        name: name.into(),
                    },
                    since: now,
                    grows: false,
                    probe: None,
                });
                false
            }
        }
    }

    /// Returns the engine at which a copy is due, if any.
    fn next_target(
        &self,
        state: &State,
        request: &Request,
        runner: &Backend,
        now: Moment,
    ) -> Option<Arc<Backend>> {
        if let Some(held) = &self.held {
            let member = &held.place.backend;
            if member.accepts_requests(now) && !member.is_gone(held.since) {
                let is_stale = !held.grows && now.saturating_sub(held.since) > REFRESH_INTERVAL;
                return is_stale.then(|| member.clone());
            }
        }
        pick_backup(state, request, runner, &self.excluded)
    }

    /// Requests a copy at `target` from the run's engine.
    fn request_copy(
        &mut self,
        state: &Arc<State>,
        request: &Request,
        runner: &Arc<Backend>,
        target: Arc<Backend>,
        permit: Permit,
    ) {
        let call = state
            .protocol
            .copy_call(&request.ask.id, target.entry.address);
        let (state, runner, to) = (state.clone(), runner.clone(), target.clone());
        let id = request.ask.id.clone();
        let spawner = state.spawner.clone();
        let task = spawner.spawn(async move {
            let copying = call_engine(&state, &runner, Method::POST, call.path, call.body, permit);
            let name = within(COPY_TIMEOUT, copying)
                .await
                .flatten()
                .and_then(|body| state.protocol.read_copy(&body));
            info!(state.log, "copy asked for"; "request" => &*id, "backend" => &*runner.entry.id,
                "target" => &*to.entry.id, "made" => name.is_some());
            name
        });
        self.pending = Some(PendingCopy { task, target });
    }
}

/// Reports whether `last` is less than `span` ago.
fn is_recent(last: Option<Moment>, span: Duration, now: Moment) -> bool {
    last.is_some_and(|last| now.saturating_sub(last) < span)
}
