/*!
Keeps the backend servers up to date by whole lists.

No watch is used: one that is cut off without notice delivers nothing from then on, so that lists
would be needed beside it, and each change would cost a call of its own.
*/

use std::{
    sync::{atomic::Ordering, Arc},
    time::Duration,
};

use futures_lite::FutureExt;
use slog::{info, warn};

use super::call::StoreCaller;
use crate::{
    clock::{self, Moment},
    kernel::{Registry, RegistryChanges},
    model::StoreRevision,
    state::State,
};

/// The largest number of backend servers that are logged one by one when they change together.
const MAX_LOGGED_CHANGES: usize = 200;

/// Keeps the registry up to date, by whole lists or by updates from peers.
pub(crate) async fn follow_registry(state: Arc<State>) {
    let mut registry = Registry::default();
    let mut caller = StoreCaller::new("registry list");
    let mut last: Option<Moment> = None;
    state.wait_nodes_read().await;
    loop {
        let peer_updated = state.store_cache.peer_updated.listen();
        let next = refresh(&state, &mut caller).await;
        let listing = state.store_cache.listing.get();
        if let Some((listing, read)) = listing.filter(|(_, read)| last != Some(*read)) {
            last = Some(read);
            let before = registry.revision();
            let update = registry.apply(&listing, read);
            log_era(&state, &registry, before);
            apply_update(&state, &registry, &update, listing.newest());
            state.registry_read.store(true, Ordering::Relaxed);
        }
        caller.wait(&state, next).or(peer_updated).await;
    }
}

/// Reads the registry where the cached one is too old. Returns how long the cached one may be used;
/// `None` where the read failed.
async fn refresh(state: &State, caller: &mut StoreCaller) -> Option<Duration> {
    let left = time_to_read(state, caller);
    if left.is_some() || !caller.may_call(state) {
        return left;
    }
    let began = clock::now();
    let listing = caller.call(state, state.source.registry()).await?;
    caller.log_unreadable(state, &listing.unreadable);
    state.store_cache.update_listing(Arc::new(listing), began);
    Some(time_to_read(state, caller).unwrap_or_default())
}

/// Returns the time until the registry is read; `None` where it has to be read now.
fn time_to_read(state: &State, caller: &StoreCaller) -> Option<Duration> {
    let reading = state.reading();
    let left = state.time_to_read(reading, state.store_cache.listing.age());
    left.or_else(|| caller.interval_left(reading.read_age(0)))
        .or_else(|| state.wake_left())
}

/// Logs that the store was restored, where the registry is of a later era than that of `before`.
fn log_era(state: &State, registry: &Registry, before: Option<StoreRevision>) {
    let (Some(before), Some(now)) = (before, registry.revision()) else {
        return;
    };
    if before.era() < now.era() {
        warn!(state.log, "store restored"; "era" => now.era(), "before" => before.era(),
            "revision" => now.to_string(), "kept" => registry.missing_count(),
            "held" => registry.held_count());
    }
}

/// Applies a change to the backend servers that requests use, and logs each of them. No entry is newer
/// than `newest`, which is the revision at which versions are first seen: the orders that cover a
/// version have to be read at the revision of its entry or a later one.
fn apply_update(
    state: &State,
    registry: &Registry,
    update: &RegistryChanges,
    newest: StoreRevision,
) {
    if update.is_empty() {
        return;
    }
    let versions = registry
        .entries()
        .map(|entry| (entry.service.clone(), entry.version.clone()));
    if state.rollouts.note_versions(versions, newest) {
        state.notify_version();
    }
    state.backends.replace(registry.entries());
    let count = registry.entries().count();
    state
        .metrics
        .backends
        .set(i64::try_from(count).unwrap_or(i64::MAX));
    log_update(state, registry, update);
}

/// Logs each backend server that changed; many at a time as one line, since a node that starts on a small
/// VM would spend its first second on the lines of a large registry.
fn log_update(state: &State, registry: &Registry, update: &RegistryChanges) {
    let revision = registry.revision().map(|revision| revision.to_string());
    if update.changed.len() + update.removed.len() > MAX_LOGGED_CHANGES {
        info!(state.log, "backends changed"; "added" => update.changed.len(),
            "removed" => update.removed.len(), "revision" => revision);
        return;
    }
    for entry in update.changed.iter().filter_map(|id| registry.entry(id)) {
        info!(state.log, "backend added"; "backend" => &*entry.id, "service" => &*entry.service,
            "address" => %entry.address, "data_centre" => &*entry.data_centre,
            "version" => &*entry.version, "phase" => ?entry.phase);
    }
    for id in &update.removed {
        info!(state.log, "backend removed"; "backend" => &**id, "revision" => &revision);
    }
}
