/*!
Keeps the configuration in force, and how fresh it is.

The configuration is read whole at short intervals rather than watched: a watch that stays silent
proves nothing, and each whole read also renews the node's word on keys.
*/

use std::{sync::Arc, time::Duration};

use futures_lite::FutureExt;
use slog::{info, warn};
use smol::Timer;

use super::call::Caller;
use crate::{
    clock::{self, Moment},
    kernel::Catalog,
    model::Policy,
    state::State,
};

/// The time between whole reads.
const INTERVAL: Duration = Duration::from_millis(1100);

/// The shortest time between reads that requests ask for.
const NUDGE_GAP: Duration = Duration::from_millis(200);

/// Reads the configuration again and again.
pub(crate) async fn follow_policy(state: Arc<State>) {
    let mut caller = Caller::new("configuration");
    let mut held = false;
    loop {
        let began = clock::now();
        let read = caller.call(&state, state.source.policy()).await;
        let Some(policy) = read else {
            held = log_authority(&state, held);
            Timer::after(caller.pause()).await;
            continue;
        };
        take_in(&state, policy, began);
        held = log_authority(&state, held);
        let pause = INTERVAL.saturating_sub(clock::now().saturating_sub(began));
        let timer = async {
            Timer::after(pause).await;
        };
        let nudged = async {
            Timer::after(NUDGE_GAP).await;
            state.nudged().await;
        };
        timer.or(nudged).await;
    }
}

/// Puts a version in force, unless it is older than the one that is.
fn take_in(state: &State, policy: Option<Policy>, began: Moment) {
    let Some(policy) = policy else {
        return;
    };
    let version = policy.version;
    let old = state.catalog().map(|catalog| catalog.version());
    match old {
        Some(old) if version < old => {
            // An answer that was held up: it says nothing about what holds now.
            warn!(state.log, "older configuration ignored"; "version" => version, "in_force" => old);
            return;
        }
        Some(old) if version == old => {}
        _ => {
            let (routes, services) = (policy.routes.len(), policy.services.len());
            state
                .catalog
                .store(Arc::new(Some(Arc::new(Catalog::new(policy)))));
            state
                .metrics
                .version
                .set(i64::try_from(version).unwrap_or(i64::MAX));
            info!(state.log, "configuration in force"; "version" => version, "before" => old,
                "routes" => routes, "services" => services,
                "read_ms" => clock::now().saturating_sub(began).as_millis() as u64);
        }
    }
    state.authority().confirm(began);
}

/// Logs when the word on keys was lost or regained.
fn log_authority(state: &State, held: bool) -> bool {
    let now = clock::now();
    let (holds, age) = {
        let authority = state.authority();
        (authority.holds(now), authority.age(now))
    };
    let age = age.map(|age| age.as_millis() as u64);
    match (held, holds) {
        (false, true) => info!(state.log, "keys may be trusted"; "age_ms" => age),
        (true, false) => warn!(state.log, "keys may not be trusted"; "age_ms" => age),
        _ => {}
    }
    holds
}
