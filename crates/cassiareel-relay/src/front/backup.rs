/*!
Copies of a run's memory at another engine, so that a lost run goes on without reading its prompt
again.

A copy grows with its run from the start. Where its holder is lost while the run lives, the run's
engine is asked for a new one elsewhere, and asked again at short intervals: such a copy does not
grow by itself.

Nobody tells that a holder is lost, and the registry goes on naming it for seconds. A holder that was
not heard since it was chosen, or since others of its data centre were lost, is therefore asked for a
sign of life.
*/

use std::{sync::Arc, time::Duration};

use cassiareel::runtime::within;
use futures_lite::future::poll_once;
use http::Method;
use slog::{debug, info};
use smol::Task;

use super::{
    choose::{is_doubted, pick_backup},
    engine_call::ask_engine,
    report::{self, Life},
    request::Request,
};
use crate::{
    backends::{Backend, LoadGuard},
    clock::{self, Moment},
    protocol::MemoryCopy,
    state::State,
};

/// The time after which a copy that does not grow is brought up to date.
const REFRESH: Duration = Duration::from_millis(1500);

/// The time between attempts to get a copy.
const AGAIN: Duration = Duration::from_millis(400);

/// How long an engine may take to make a copy.
const COPYING: Duration = Duration::from_millis(1500);

/// A holder that was lost within this time is not asked to go on.
const JUST_LOST: Duration = Duration::from_millis(1000);

/// A holder that was heard within this time before it was chosen needs no sign of life.
const HEARD: Duration = Duration::from_millis(1000);

/// The time between looks at the copies of a run.
const LOOK: Duration = Duration::from_millis(150);

/// The copies of one run.
#[derive(Debug, Default)]
pub(super) struct Backups {
    /// The copy that can be used.
    held: Option<Held>,
    /// The copy that is being made.
    asked: Option<Asked>,
    /// When a copy was asked for last.
    tried: Option<Moment>,
    /// When the copies were looked at last.
    looked: Option<Moment>,
    /// Engines that turned out to be no holders.
    left_out: Vec<u64>,
}

/// A copy that can be used.
#[derive(Debug)]
struct Held {
    place: LoadGuard,
    copy: MemoryCopy,
    since: Moment,
    grows: bool,
    /// The question whether the holder lives.
    proof: Option<Task<bool>>,
}

impl Held {
    /// Reports whether the holder has to show that it lives.
    fn is_doubted(&self, state: &State, now: Moment) -> bool {
        let holder = &self.place.backend;
        !holder.received_since(self.since.saturating_sub(HEARD)) || is_doubted(state, holder, now)
    }

    /// Asks the holder whether it lives, where that is in doubt; `false` where it does not.
    async fn prove(&mut self, state: &Arc<State>, now: Moment) -> bool {
        if let Some(mut proof) = self.proof.take() {
            let lives = poll_once(&mut proof).await;
            if lives.is_none() {
                self.proof = Some(proof);
            }
            return lives.unwrap_or(true);
        }
        if self.is_doubted(state, now) {
            let (served, holder) = (state.clone(), self.place.backend.clone());
            self.proof = Some(state.spawner.spawn(async move {
                let lives = is_alive(&served, &holder).await;
                debug!(served.log, "holder asked"; "backend" => &*holder.entry.id, "lives" => lives);
                lives
            }));
        }
        true
    }
}

/// Asks an engine for a sign of life.
async fn is_alive(state: &State, engine: &Backend) -> bool {
    match report::read(state, engine).await {
        Life::Lives(_) => {
            engine.note_received(clock::now());
            true
        }
        Life::Ended | Life::Silent => false,
    }
}

/// A copy that an engine was asked for.
#[derive(Debug)]
struct Asked {
    task: Task<Option<String>>,
    target: Arc<Backend>,
}

impl Backups {
    /// A copy at `holder` that grows with the run from its start.
    pub(super) fn growing(request: &Request, holder: &Arc<Backend>, now: Moment) -> Backups {
        let copy = MemoryCopy {
            origin: holder.entry.address,
            name: request.ask.id.clone(),
        };
        Backups {
            held: Some(Held {
                place: LoadGuard::copy(holder, request.ask.prompt.footprint()),
                copy,
                since: now,
                grows: true,
                proof: None,
            }),
            ..Backups::default()
        }
    }

    /// The copy to go on from, where its holder is believed to live.
    pub(super) fn take(self, now: Moment) -> Option<(Arc<Backend>, MemoryCopy)> {
        let held = self.held?;
        let member = held.place.backend.clone();
        let lost = member.was_lost(now.saturating_sub(JUST_LOST));
        (member.accepts_requests(now) && !lost).then_some((member, held.copy))
    }

    /// Gives up a copy that takes room at its holder by itself, once the run has ended.
    pub(super) fn release(self, state: &Arc<State>, runner: &Arc<Backend>) {
        let Some(held) = self.held.filter(|held| !held.grows) else {
            return;
        };
        let path = state.protocol.release_path(&held.copy.name);
        let (served, runner) = (state.clone(), runner.clone());
        let task = async move {
            let releasing = ask_engine(&runner, Method::DELETE, &path, String::new());
            let released = within(COPYING, releasing).await.flatten().is_some();
            debug!(served.log, "copy released"; "backend" => &*runner.entry.id,
                "released" => released);
        };
        state.spawner.spawn(task).detach();
    }

    /// Keeps a copy of a run that lives: takes in what an engine made, and asks for another one
    /// where none is left or the one that there is has grown old.
    pub(super) async fn keep(
        &mut self,
        state: &Arc<State>,
        request: &Request,
        runner: &Arc<Backend>,
    ) {
        let now = clock::now();
        if is_recent(self.looked, LOOK, now) {
            return;
        }
        self.looked = Some(now);
        if self.take_in(request, runner, now).await {
            return;
        }
        self.prove(state, now).await;
        let copies = state
            .engine_shape(&request.service)
            .is_some_and(|engine| engine.moves);
        if is_recent(self.tried, AGAIN, now) || !copies {
            return;
        }
        if let Some(target) = self.next_target(state, request, runner, now) {
            self.tried = Some(now);
            self.ask(state, request, runner, target);
        }
    }

    /// Gives up a copy whose holder shows no sign of life.
    async fn prove(&mut self, state: &Arc<State>, now: Moment) {
        let Some(held) = &mut self.held else {
            return;
        };
        if !held.prove(state, now).await {
            self.left_out.push(held.place.backend.number);
            self.held = None;
        }
    }

    /// Takes in an answer; reports whether one is still to come.
    async fn take_in(&mut self, request: &Request, runner: &Backend, now: Moment) -> bool {
        let Some(mut asked) = self.asked.take() else {
            return false;
        };
        match poll_once(&mut asked.task).await {
            None => {
                self.asked = Some(asked);
                true
            }
            Some(None) => {
                self.left_out.push(asked.target.number);
                false
            }
            Some(Some(name)) => {
                self.held = Some(Held {
                    place: LoadGuard::copy(&asked.target, request.ask.prompt.footprint()),
                    copy: MemoryCopy {
                        origin: runner.entry.address,
                        name: name.into(),
                    },
                    since: now,
                    grows: false,
                    proof: None,
                });
                false
            }
        }
    }

    /// Where a copy is due, if one is.
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
                let old = !held.grows && now.saturating_sub(held.since) > REFRESH;
                return old.then(|| member.clone());
            }
        }
        pick_backup(state, request, runner, &self.left_out)
    }

    /// Asks the run's engine for a copy at `target`.
    fn ask(
        &mut self,
        state: &Arc<State>,
        request: &Request,
        runner: &Arc<Backend>,
        target: Arc<Backend>,
    ) {
        let call = state
            .protocol
            .copy_call(&request.ask.id, target.entry.address);
        let (state, runner, to) = (state.clone(), runner.clone(), target.clone());
        let id = request.ask.id.clone();
        let spawner = state.spawner.clone();
        let task = spawner.spawn(async move {
            let asking = ask_engine(&runner, Method::POST, call.path, call.body);
            let name = within(COPYING, asking)
                .await
                .flatten()
                .and_then(|body| state.protocol.read_copy(&body));
            info!(state.log, "copy asked for"; "request" => &*id, "backend" => &*runner.entry.id,
                "target" => &*to.entry.id, "made" => name.is_some());
            name
        });
        self.asked = Some(Asked { task, target });
    }
}

/// Reports whether something was last done less than `span` ago.
fn is_recent(last: Option<Moment>, span: Duration, now: Moment) -> bool {
    last.is_some_and(|last| now.saturating_sub(last) < span)
}
