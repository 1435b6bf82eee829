/*!
Keeps the backend servers up to date: a watch for speed, whole lists for certainty.

A watch that is cut off without notice brings nothing for ever, so that lists are read at short
intervals beside it. Both go through one [`Registry`], which ignores what is older than it knows.
*/

use std::{
    sync::{atomic::Ordering, Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use slog::{info, warn};
use smol::Timer;

use super::call::Caller;
use crate::{
    clock,
    kernel::{Registry, Update},
    source::SourceError,
    state::State,
};

/// The time between whole lists.
const LIST_INTERVAL: Duration = Duration::from_millis(1100);

/// How long one watch waits.
const WATCH: Duration = Duration::from_secs(8);

/// The shortest time between two watches, so that changes that come together are read together.
const WATCH_GAP: Duration = Duration::from_millis(60);

/// Reads the registry again and again.
pub(crate) async fn follow_lists(state: Arc<State>, registry: Arc<Mutex<Registry>>) {
    let mut caller = Caller::new("registry list");
    loop {
        let began = clock::now();
        let Some(listing) = caller.call(&state, state.source.entries()).await else {
            Timer::after(caller.pause()).await;
            continue;
        };
        if !listing.unreadable.is_empty() {
            log_unreadable(&state, &listing.unreadable);
        }
        take_in(&state, &registry, "list", |held| held.list(listing, clock::now()));
        state.listed.store(true, Ordering::Relaxed);
        let took = clock::now().saturating_sub(began);
        Timer::after(LIST_INTERVAL.saturating_sub(took)).await;
    }
}

/// Watches the registry.
pub(crate) async fn follow_changes(state: Arc<State>, registry: Arc<Mutex<Registry>>) {
    let mut caller = Caller::new("registry watch");
    loop {
        Timer::after(WATCH_GAP).await;
        let Some(since) = lock(&registry).revision() else {
            continue;
        };
        match state.source.changes(since, WATCH).await {
            Ok(changes) => {
                caller.answered(&state);
                take_in(&state, &registry, "watch", |held| held.apply(changes, clock::now()));
            }
            Err(SourceError::Compacted) => {
                info!(state.log, "registry history gone"; "since" => since);
                // The next whole list brings a revision to go on from.
                Timer::after(LIST_INTERVAL).await;
            }
            Err(err) => {
                caller.failed(&state, &err);
                Timer::after(caller.pause()).await;
            }
        }
    }
}

/// Changes the registry, and hands what changed to requests.
fn take_in<F>(state: &State, registry: &Mutex<Registry>, by: &str, change: F)
where
    F: FnOnce(&mut Registry) -> Update,
{
    let mut held = lock(registry);
    let update = change(&mut held);
    put_in_use(state, &held, &update, by);
}

/// Hands what changed to requests, with a line for each change.
fn put_in_use(state: &State, registry: &Registry, update: &Update, by: &str) {
    if update.is_empty() {
        return;
    }
    state.fleet.replace(registry.entries());
    let count = registry.entries().count();
    state.metrics.backends.set(i64::try_from(count).unwrap_or(i64::MAX));
    for entry in registry.entries().filter(|e| update.put.contains(&e.id)) {
        info!(state.log, "backend known"; "backend" => &*entry.id, "service" => &*entry.service,
            "address" => %entry.address, "data_centre" => &*entry.data_centre,
            "version" => &*entry.version, "phase" => ?entry.phase, "by" => by);
    }
    for id in &update.gone {
        info!(state.log, "backend gone"; "backend" => &**id, "by" => by,
            "revision" => registry.revision());
    }
}

fn log_unreadable(state: &State, names: &[String]) {
    warn!(state.log, "registry entries unreadable"; "count" => names.len(),
        "first" => &names[0]);
}

fn lock(registry: &Mutex<Registry>) -> MutexGuard<'_, Registry> {
    registry.lock().unwrap_or_else(PoisonError::into_inner)
}
