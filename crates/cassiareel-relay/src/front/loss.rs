/*!
Handles the loss of a backend server.

Engines of one data centre often fail together. If several are lost, the others there are probed at
once, so that copies of running streams are not left on engines that have failed as well. For each
lost run the process of the backend server is checked, and a crash is recorded as evidence against
the request's content.
*/

use std::{sync::Arc, time::Duration};

use cassiareel::kernel::suspect::Loss;
use slog::info;
use smol::Timer;

use super::{
    content,
    probe::SILENT,
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

/// An engine from which bytes were received within this time is not probed.
const RECENT_CONTACT: Duration = Duration::from_millis(150);

/// Delay before engines that did not answer are probed again, since their successors may have
/// started.
const RETRY_DELAY: Duration = Duration::from_millis(1300);

pub(super) struct LostRun<'a> {
    pub request: &'a Request,
    /// The backend server that lost the run.
    pub member: &'a Arc<Backend>,
    /// Why the run was given up.
    pub cause: &'static str,
    /// When the request was sent.
    pub sent_at: Moment,
    /// When the first event arrived.
    pub first_event: Option<Moment>,
}

/// Records a lost run, and checks whether the process has exited.
pub(super) async fn record_lost_run(state: &Arc<State>, lost: &LostRun<'_>) {
    let now = clock::now();
    if lost.cause == SILENT {
        lost.member.mark_lost(now);
    } else {
        record_lost_backend(state, lost.member, now);
    }
    check_lost_run(state, lost).await;
}

/// Records a run that did not end within the request's time, and checks whether the process has
/// exited. The backend server may be sound, so its other runs go on.
pub(super) async fn record_late_run(state: &Arc<State>, late: &LostRun<'_>) {
    late.member.health().record_loss(clock::now());
    check_lost_run(state, late).await;
}

/// Checks whether the process that lost a run has exited. The check runs in the background, unless
/// backend servers have crashed under the request before: then its result decides whether the
/// request is sent again.
async fn check_lost_run(state: &Arc<State>, lost: &LostRun<'_>) {
    let now = clock::now();
    let was_suspect = state.suspects().is_suspect(&lost.request.content);
    let loss_check = LossCheck {
        state: state.clone(),
        member: lost.member.clone(),
        request: lost.request.ask.id.clone(),
        content: content::short_hex(&lost.request.content),
        cause: lost.cause,
        ran: now.saturating_sub(lost.sent_at),
        written: lost.first_event.map(|first| now.saturating_sub(first)),
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

/// A check of the process that lost a run.
struct LossCheck {
    state: Arc<State>,
    member: Arc<Backend>,
    request: Arc<str>,
    content: String,
    cause: &'static str,
    ran: Duration,
    written: Option<Duration>,
    /// The evidence against the request if the process has exited.
    loss: Option<Loss>,
}

impl LossCheck {
    /// Checks the process for evidence that is available at once.
    async fn check_process(&self) -> ProcessStatus {
        let status = process_status::check(&self.member).await;
        self.record(status);
        status
    }

    /// Checks the process again if the first check did not show that it exited.
    async fn recheck_process(self, status: ProcessStatus) {
        if status == ProcessStatus::Exited {
            return;
        }
        let rechecked = process_status::recheck(&self.member).await;
        if rechecked != status {
            self.record(rechecked);
        }
    }

    /// Logs and counts the status of the process. If the process has exited, records this as
    /// evidence against the request.
    fn record(&self, status: ProcessStatus) {
        let LossCheck { state, member, .. } = self;
        Metrics::count(&state.metrics.losses, status.name());
        info!(state.log, "lost run checked"; "request" => &*self.request,
            "content" => &self.content, "backend" => &*member.entry.id,
            "service" => &*member.entry.service, "cause" => self.cause, "process" => status.name(),
            "ran_ms" => self.ran.as_millis() as u64,
            "written_ms" => self.written.map(|written| written.as_millis() as u64));
        if let (ProcessStatus::Exited, Some(loss)) = (status, &self.loss) {
            suspect::record_loss(state, loss.clone());
        }
    }
}

/// Records that a backend server was lost, for later choices and for other requests there.
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

/// Probes the other engines of the lost one's service in its data centre.
fn probe_data_centre(state: &Arc<State>, lost: &Backend) {
    let entry = &lost.entry;
    if state.engine_shape(&entry.service).is_none() {
        return;
    }
    info!(state.log, "data centre suspected"; "service" => &*entry.service,
        "data_centre" => &*entry.data_centre);
    let members = state.backends.of_service(&entry.service);
    for member in members.iter() {
        let near = member.entry.data_centre == entry.data_centre;
        let now = clock::now();
        if near && member.accepts_requests(now) && !member.received_within(now, RECENT_CONTACT) {
            let (state, member) = (state.clone(), member.clone());
            let spawner = state.spawner.clone();
            spawner
                .spawn(async move { probe_twice(&state, &member).await })
                .detach();
        }
    }
}

/// Probes an engine, and once more a little later if it does not answer.
async fn probe_twice(state: &Arc<State>, member: &Backend) {
    for last in [false, true] {
        let now = clock::now();
        match report::read(state, member).await {
            Liveness::Alive(_) => {
                member.note_received(clock::now());
                member.health().record_activity();
                return;
            }
            Liveness::Replaced | Liveness::Refused => {
                info!(state.log, "backend process exited"; "backend" => &*member.entry.id);
                return;
            }
            Liveness::Unreachable | Liveness::Silent => member.mark_lost(now),
            Liveness::Answered | Liveness::Unknown => {}
        }
        if !last {
            Timer::after(RETRY_DELAY).await;
        }
    }
}
