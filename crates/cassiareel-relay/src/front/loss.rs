/*!
What follows from the loss of a backend server.

Engines of one data centre often fail together. Where several are lost, the others there are asked
at once, so that copies of running streams are not left on engines that have ended as well.
*/

use std::{sync::Arc, time::Duration};

use slog::info;
use smol::Timer;

use super::report::{self, Life};
use crate::{
    clock::{self, Moment},
    fleet::Member,
    state::State,
};

/// An engine that was heard within this time needs no question.
const HEARD: Duration = Duration::from_millis(150);

/// The time after which engines that did not answer are asked once more, since their successors
/// may have started.
const AGAIN: Duration = Duration::from_millis(1300);

/// Notes that a backend server was lost, for later choices and for others' requests there.
pub(super) fn note(state: &Arc<State>, member: &Member, now: Moment) {
    member.lose(now);
    let entry = &member.entry;
    let begins = {
        let mut zones = state.zones();
        let before = zones.is_suspect(&entry.service, &entry.data_centre, now);
        zones.lost(&entry.service, &entry.data_centre, member.number, now);
        !before && zones.is_suspect(&entry.service, &entry.data_centre, now)
    };
    if begins {
        sweep(state, member);
    }
}

/// Asks the other engines of a lost one's service and data centre.
fn sweep(state: &Arc<State>, lost: &Member) {
    let entry = &lost.entry;
    if state.engine(&entry.service).is_none() {
        return;
    }
    info!(state.log, "data centre suspect"; "service" => &*entry.service,
        "data_centre" => &*entry.data_centre);
    let members = state.fleet.members(&entry.service);
    for member in members.iter() {
        let near = member.entry.data_centre == entry.data_centre;
        if near && member.is_open() && !member.was_heard(clock::now(), HEARD) {
            let (state, member) = (state.clone(), member.clone());
            let spawner = state.spawner.clone();
            spawner
                .spawn(async move { ask_twice(&state, &member).await })
                .detach();
        }
    }
}

/// Asks an engine, and once more a little later where it does not answer.
async fn ask_twice(state: &State, member: &Member) {
    for last in [false, true] {
        let now = clock::now();
        match report::read(state, member).await {
            Life::Lives(_) => {
                member.hear(clock::now());
                member.health().heard();
                return;
            }
            Life::Ended => {
                info!(state.log, "backend ended"; "backend" => &*member.entry.id);
                return;
            }
            Life::Silent => member.lose(now),
        }
        if !last {
            Timer::after(AGAIN).await;
        }
    }
}
