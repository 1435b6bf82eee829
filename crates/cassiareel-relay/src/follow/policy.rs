/*!
Keeps the configuration in force, and records how fresh it is.

The configuration is read whole at short intervals rather than watched: a silent watch does not
prove that nothing changed, and each whole read also renews the time for which keys may be trusted.
*/

use std::{sync::Arc, time::Duration};

use futures_lite::FutureExt;
use slog::{info, warn};
use smol::Timer;

use super::call::StoreCaller;
use crate::{
    clock::{self, Moment},
    kernel::{Catalog, ConfigRead},
    model::{Policy, StoreEra},
    peers::KnownPolicy,
    source::PolicyRead,
    state::State,
};

/// The shortest time between reads that requests cause.
const MIN_REQUESTED_READ_GAP: Duration = Duration::from_millis(200);

/// The interval of reads until a configuration has been written.
const UNWRITTEN_INTERVAL: Duration = Duration::from_millis(500);

/// A read whose version is lower than the one in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct IgnoredRead {
    version: u64,
    era: StoreEra,
    proof: ConfigRead,
}

/// Keeps the configuration up to date, by whole reads or by updates from peers.
pub(crate) async fn follow_policy(state: Arc<State>) {
    let mut caller = StoreCaller::probing("configuration");
    let mut was_trusted = false;
    let mut requested = false;
    let mut ignored = None;
    state.wait_nodes_read().await;
    loop {
        let peer_updated = state.store_cache.peer_updated.listen();
        let next = refresh(&state, &mut caller, requested, &mut ignored).await;
        if let Some(known) = state.store_cache.policy.get() {
            put_in_force(&state, &known);
        }
        was_trusted = log_authority(&state, was_trusted);
        let due = async {
            caller.wait(&state, next).await;
            false
        };
        let read_requested = async {
            Timer::after(MIN_REQUESTED_READ_GAP).await;
            state.read_requested().await;
            if next.is_none() {
                caller.wait_to_retry(&state).await;
            }
            true
        };
        let peer_has_updated = async {
            peer_updated.await;
            false
        };
        requested = due.or(read_requested).or(peer_has_updated).await;
    }
}

/// Reads the configuration where the cached one is too old, or where a request needs a fresh one on
/// a node that reads for others. Returns how long the cached one may be used; `None` where the read
/// failed.
async fn refresh(
    state: &State,
    caller: &mut StoreCaller,
    requested: bool,
    ignored: &mut Option<IgnoredRead>,
) -> Option<Duration> {
    if !(requested && state.store_cache.is_forwarder()) {
        let left = time_to_read(state, caller);
        if left.is_some() {
            return left;
        }
    }
    if !caller.may_call(state) {
        return None;
    }
    let began = clock::now();
    match caller.call(state, state.source.policy()).await? {
        Some(read) => {
            record_read(state, read, began, ignored);
            Some(time_to_read(state, caller).unwrap_or_default())
        }
        // The operator has not written any yet.
        None => Some(UNWRITTEN_INTERVAL),
    }
}

/// Returns the time until the configuration is read; `None` where it has to be read now.
fn time_to_read(state: &State, caller: &StoreCaller) -> Option<Duration> {
    let reading = state.reading();
    let left = state.time_to_read(reading, state.store_cache.policy.age());
    left.or_else(|| caller.interval_left(reading.read_age(0)))
        .or_else(|| state.wake_left())
}

/// Records a read of the configuration. One that is older than the version in force does not
/// replace it. `ignored` is the last one that was logged.
fn record_read(state: &State, read: PolicyRead, began: Moment, ignored: &mut Option<IgnoredRead>) {
    let (version, era) = (read.policy.version, read.era);
    let in_force = state.catalog().map(|catalog| catalog.version());
    let proof = state.store_cache.update_policy(read, began);
    let is_older = in_force.is_some_and(|in_force| version < in_force);
    let older = is_older.then_some(IgnoredRead {
        version,
        era,
        proof,
    });
    if older.is_some() && *ignored != older {
        warn!(state.log, "older configuration ignored"; "version" => version,
            "in_force" => in_force, "era" => era, "proves" => proof.name());
    }
    *ignored = older;
}

/// Puts a version in force, and records until when keys may be trusted.
fn put_in_force(state: &State, known: &KnownPolicy) {
    let policy = &known.policy;
    let version = policy.version;
    let old = state.catalog().map(|catalog| catalog.version());
    if old != Some(version) {
        let (routes, services) = (policy.routes.len(), policy.services.len());
        let catalog = Catalog::new(Policy::clone(policy));
        state.catalog.store(Arc::new(Some(Arc::new(catalog))));
        state
            .metrics
            .config_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        info!(state.log, "configuration in force"; "version" => version, "before" => old,
            "routes" => routes, "services" => services,
            "read_ms" => clock::now().saturating_sub(known.read).as_millis() as u64);
    }
    state.authority().record_read(known.trusted);
}

/// Logs a change of whether keys may be trusted.
fn log_authority(state: &State, was_trusted: bool) -> bool {
    let now = clock::now();
    let (is_trusted, age) = {
        let authority = state.authority();
        (authority.is_fresh(now), authority.age(now))
    };
    let age = age.map(|age| age.as_millis() as u64);
    match (was_trusted, is_trusted) {
        (false, true) => info!(state.log, "keys may be trusted"; "age_ms" => age),
        (true, false) => warn!(state.log, "keys may not be trusted"; "age_ms" => age),
        _ => {}
    }
    is_trusted
}
