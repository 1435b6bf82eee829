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
    process_status::{self, ProcessStatus},
    report::{self, Liveness},
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
const RECENT_CONTACT: Duration = Duration::from_millis(150);

/// The time after which engines that did not answer are asked once more, since their successors
/// may have started.
const RETRY_DELAY: Duration = Duration::from_millis(1300);

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
pub(super) async fn record_lost_run(state: &Arc<State>, lost: &LostRun<'_>) {
    let now = clock::now();
    record_lost_backend(state, lost.member, now);
    let was_suspect = state.suspects().is_suspect(&lost.request.content);
    let loss_check = LossCheck {
        state: state.clone(),
        member: lost.member.clone(),
        request: lost.request.ask.id.clone(),
        content: content::short_hex(&lost.request.content),
        cause: lost.cause,
        ran: now.saturating_sub(lost.began),
        written: lost.first.map(|first| now.saturating_sub(first)),
        loss: suspect::potential_loss(lost, now),
    };
    if was_suspect {
        let status = loss_check.check_process().await;
        state
            .spawner
            .spawn(loss_check.recheck_process(status))
            .detach();
        return;
    }
    let task = async move {
        let status = loss_check.check_process().await;
        loss_check.recheck_process(status).await;
    };
    state.spawner.spawn(task).detach();
}

/// A lost run that is looked into.
struct LossCheck {
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

impl LossCheck {
    /// Finds out what became of the process, as far as it shows at once.
    async fn check_process(&self) -> ProcessStatus {
        let status = process_status::check(&self.member).await;
        self.record(status);
        status
    }

    /// Finds out the rest, where the process was not found to have ended.
    async fn recheck_process(self, status: ProcessStatus) {
        if status == ProcessStatus::Exited {
            return;
        }
        let rechecked = process_status::recheck(&self.member).await;
        if rechecked != status {
            self.record(rechecked);
        }
    }

    /// Logs and counts what became of the process, and holds its end against the request.
    fn record(&self, status: ProcessStatus) {
        let LossCheck { state, member, .. } = self;
        Metrics::count(&state.metrics.losses, status.name());
        info!(state.log, "lost run checked"; "request" => &*self.request,
            "content" => &self.content, "backend" => &*member.entry.id,
            "service" => &*member.entry.service, "cause" => self.cause, "process" => status.name(),
            "ran_ms" => self.ran.as_millis() as u64,
            "written_ms" => self.written.map(|written| written.as_millis() as u64));
        if let (ProcessStatus::Exited, Some(loss)) = (status, self.loss) {
            suspect::record_loss(state, loss);
        }
    }
}

/// Notes that a backend server was lost, for later choices and for others' requests there.
pub(super) fn record_lost_backend(state: &Arc<State>, member: &Backend, now: Moment) {
    member.mark_lost(now);
    let entry = &member.entry;
    let becomes_suspect = {
        let mut zones = state.data_centre_losses();
        let was_suspect = zones.is_suspect(&entry.service, &entry.data_centre, now);
        zones.record_loss(&entry.service, &entry.data_centre, member.number, now);
        !was_suspect && zones.is_suspect(&entry.service, &entry.data_centre, now)
    };
    if becomes_suspect {
        probe_data_centre(state, member);
    }
}

/// Asks the other engines of a lost one's service and data centre.
fn probe_data_centre(state: &Arc<State>, lost: &Backend) {
    let entry = &lost.entry;
    if state.engine(&entry.service).is_none() {
        return;
    }
    info!(state.log, "data centre suspected"; "service" => &*entry.service,
        "data_centre" => &*entry.data_centre);
    let members = state.backends.of_service(&entry.service);
    for member in members.iter() {
        let near = member.entry.data_centre == entry.data_centre;
        let now = clock::now();
        if near && member.is_open(now) && !member.received_within(now, RECENT_CONTACT) {
            let (state, member) = (state.clone(), member.clone());
            let spawner = state.spawner.clone();
            spawner
                .spawn(async move { probe_twice(&state, &member).await })
                .detach();
        }
    }
}

/// Asks an engine, and once more a little later where it does not answer.
async fn probe_twice(state: &State, member: &Backend) {
    for last in [false, true] {
        let now = clock::now();
        match report::read(state, member).await {
            Liveness::Alive(_) => {
                member.note_received(clock::now());
                member.health().record_activity();
                return;
            }
            Liveness::Gone => {
                info!(state.log, "backend process exited"; "backend" => &*member.entry.id);
                return;
            }
            Liveness::Silent => member.mark_lost(now),
        }
        if !last {
            Timer::after(RETRY_DELAY).await;
        }
    }
}
