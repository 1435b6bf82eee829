/*!
What follows from the loss of a backend server.

Engines of one data centre often fail together. Where several are lost, the others there are asked
at once, so that copies of running streams are not left on engines that have ended as well. For each lost
run it is found out whether the process ended, and noted under which content.
*/

use std::{sync::Arc, time::Duration};

use cassiareel::kernel::suspect::Loss;
use slog::info;
use smol::Timer;

use super::{
    content,
    fate::{self, Fate},
    report::{self, Life},
    request::Request,
    suspect,
};
use crate::{
    backends::Backend,
    clock::{self, Moment},
    metrics::Metrics,
    state::State,
};

/// An engine that was heard within this time needs no question.
const HEARD: Duration = Duration::from_millis(150);

/// The time after which engines that did not answer are asked once more, since their successors
/// may have started.
const AGAIN: Duration = Duration::from_millis(1300);

/// A run that was lost.
pub(super) struct LostRun<'a> {
    /// The request.
    pub request: &'a Request,
    /// The backend server.
    pub member: &'a Arc<Backend>,
    /// Why it is given up.
    pub cause: &'static str,
    /// When it was sent.
    pub began: Moment,
    /// When its first event came.
    pub first: Option<Moment>,
}

/// Notes a lost run, and finds out what became of the process: in the background, unless servers have
/// ended under the request before, since then the answer decides on its next send.
pub(super) async fn note_run(state: &Arc<State>, lost: &LostRun<'_>) {
    let now = clock::now();
    note(state, lost.member, now);
    let before = state.suspects().is_suspect(&lost.request.content);
    let looked = Looked {
        state: state.clone(),
        member: lost.member.clone(),
        request: lost.request.ask.id.clone(),
        content: content::name(&lost.request.content),
        cause: lost.cause,
        ran: now.saturating_sub(lost.began),
        written: lost.first.map(|first| now.saturating_sub(first)),
        loss: suspect::loss_of(lost, now),
    };
    if before {
        let found = looked.find().await;
        state.spawner.spawn(looked.find_later(found)).detach();
        return;
    }
    let task = async move {
        let found = looked.find().await;
        looked.find_later(found).await;
    };
    state.spawner.spawn(task).detach();
}

/// A lost run that is looked into.
struct Looked {
    state: Arc<State>,
    member: Arc<Backend>,
    request: Arc<str>,
    content: String,
    cause: &'static str,
    ran: Duration,
    written: Option<Duration>,
    /// What is held against the request if the process has ended.
    loss: Option<Loss>,
}

impl Looked {
    /// Finds out what became of the process, as far as it shows at once.
    async fn find(&self) -> Fate {
        let found = fate::find(&self.member).await;
        self.take_in(found);
        found
    }

    /// Finds out the rest, where the process was not found to have ended.
    async fn find_later(self, found: Fate) {
        if found == Fate::Ended {
            return;
        }
        let later = fate::find_later(&self.member).await;
        if later != found {
            self.take_in(later);
        }
    }

    /// Logs and counts what became of the process, and holds its end against the request.
    fn take_in(&self, fate: Fate) {
        let Looked { state, member, .. } = self;
        Metrics::count(&state.metrics.losses, fate.name());
        info!(state.log, "loss looked into"; "request" => &*self.request,
            "content" => &self.content, "backend" => &*member.entry.id,
            "service" => &*member.entry.service, "cause" => self.cause, "process" => fate.name(),
            "ran_ms" => self.ran.as_millis() as u64,
            "written_ms" => self.written.map(|written| written.as_millis() as u64));
        if let (Fate::Ended, Some(loss)) = (fate, self.loss) {
            suspect::note(state, loss);
        }
    }
}

/// Notes that a backend server was lost, for later choices and for others' requests there.
pub(super) fn note(state: &Arc<State>, member: &Backend, now: Moment) {
    member.mark_lost(now);
    let entry = &member.entry;
    let begins = {
        let mut zones = state.data_centre_losses();
        let before = zones.is_suspect(&entry.service, &entry.data_centre, now);
        zones.lost(&entry.service, &entry.data_centre, member.number, now);
        !before && zones.is_suspect(&entry.service, &entry.data_centre, now)
    };
    if begins {
        sweep(state, member);
    }
}

/// Asks the other engines of a lost one's service and data centre.
fn sweep(state: &Arc<State>, lost: &Backend) {
    let entry = &lost.entry;
    if state.engine_shape(&entry.service).is_none() {
        return;
    }
    info!(state.log, "data centre suspect"; "service" => &*entry.service,
        "data_centre" => &*entry.data_centre);
    let members = state.backends.of_service(&entry.service);
    for member in members.iter() {
        let near = member.entry.data_centre == entry.data_centre;
        let now = clock::now();
        if near && member.accepts_requests(now) && !member.received_within(now, HEARD) {
            let (state, member) = (state.clone(), member.clone());
            let spawner = state.spawner.clone();
            spawner
                .spawn(async move { ask_twice(&state, &member).await })
                .detach();
        }
    }
}

/// Asks an engine, and once more a little later where it does not answer.
async fn ask_twice(state: &State, member: &Backend) {
    for last in [false, true] {
        let now = clock::now();
        match report::read(state, member).await {
            Life::Lives(_) => {
                member.note_received(clock::now());
                member.health().heard();
                return;
            }
            Life::Ended => {
                info!(state.log, "backend ended"; "backend" => &*member.entry.id);
                return;
            }
            Life::Silent => member.mark_lost(now),
        }
        if !last {
            Timer::after(AGAIN).await;
        }
    }
}
