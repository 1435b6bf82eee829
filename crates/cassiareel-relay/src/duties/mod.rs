/*!
Singleton duties: calls to the platform that one node at a time makes for the whole fleet.

A deployment names its duties in the settings; where it names none, nothing here runs. One node holds
the lease on all duties. Its fencing token goes with each call, and the right to act is checked right
before the call is sent, since the process may have been suspended in between.
*/

mod autoscale;
mod demand;
mod driver;
#[cfg(test)]
mod driver_tests;
mod duty;
mod kind;
mod lease;
mod parts;
mod server_losses;
mod service_scaling;
#[cfg(test)]
mod service_scaling_tests;
mod target;
mod usage;
#[cfg(test)]
mod usage_model_tests;
#[cfg(test)]
mod usage_tests;

use std::sync::{Arc, Mutex};

use futures_util::future::join;
use slog::{info, warn};

pub(crate) use demand::NodeDemand;
pub(crate) use lease::CANDIDATES;
pub use parts::DutyParts;
pub use target::{DutyError, DutyHolder, DutyTarget, ServerOrder, UsageReport};

use self::{
    autoscale::AutoscaleDuty,
    driver::{Driver, TURN},
    duty::Duty,
    kind::DutyKind,
    lease::{hold_lease, new_candidate},
    usage::UsageDuty,
};
use crate::{
    clock,
    kernel::{usage::WindowRules, CallPace, DutyTerms},
    settings::Settings,
    state::State,
    usage_meter::MeterSettings,
};

/// Runs the duties of a deployment until the node is about to stop, and releases their lease then.
pub(crate) async fn run_duties(state: Arc<State>, parts: DutyParts) {
    let kinds = kinds(&state, &parts.kinds);
    let Some(driver) = new_driver(&state, &parts).filter(|_| !kinds.is_empty()) else {
        return;
    };
    let duties: Vec<Box<dyn Duty>> = kinds
        .into_iter()
        .filter_map(|kind| new_duty(kind, &state, &parts))
        .collect();
    let (running, end) = async_channel::bounded(1);
    let run = async {
        driver.run(duties).await;
        drop(running);
    };
    join(run, hold_lease(&state, &driver.candidate, end)).await;
    if driver.wait_release().await {
        driver.candidate.release().await;
    }
}

/// Returns the kinds of the named duties; others are logged and ignored.
fn kinds(state: &State, names: &[String]) -> Vec<DutyKind> {
    let is_unknown = |name: &&String| DutyKind::from_name(name).is_none();
    for name in names.iter().filter(is_unknown) {
        warn!(state.log, "unknown duty ignored"; "duty" => name);
    }
    let is_named = |kind: &DutyKind| names.iter().any(|name| name == kind.name());
    let kinds: Vec<DutyKind> = DutyKind::ALL.into_iter().filter(is_named).collect();
    let named: Vec<&str> = kinds.iter().map(|kind| kind.name()).collect();
    info!(state.log, "duties configured"; "duties" => named.join(","));
    kinds
}

/// Creates a duty.
fn new_duty(kind: DutyKind, state: &Arc<State>, parts: &DutyParts) -> Option<Box<dyn Duty>> {
    match kind {
        DutyKind::Usage => Some(Box::new(UsageDuty::new(
            state.usage.clone()?,
            parts.store.clone(),
            Arc::new(clock::now),
            state.log.clone(),
            state.metrics.usage.clone(),
        ))),
        DutyKind::Autoscale => Some(Box::new(AutoscaleDuty::new(state.clone()))),
    }
}

/// Returns what the usage meter needs to know; `None` where the deployment names no duties.
pub(crate) fn meter_settings(
    settings: &Settings,
    parts: Option<&DutyParts>,
) -> Option<MeterSettings> {
    let kinds = &parts?.kinds;
    let duties = settings.duties.as_ref()?;
    let is_named = |kind: DutyKind| kinds.iter().any(|name| name == kind.name());
    DutyKind::ALL
        .into_iter()
        .any(is_named)
        .then(|| MeterSettings {
            rules: WindowRules {
                length: duties.window,
                late: duties.late,
            },
            sends_demand: is_named(DutyKind::Autoscale),
        })
}

/// Creates the driver; `None` where the settings have no duties.
fn new_driver(state: &Arc<State>, parts: &DutyParts) -> Option<Driver> {
    let settings = state.settings.load();
    let rules = settings.duty_rules()?;
    let duties = settings.duties.as_ref()?;
    let node = settings.node.name.clone();
    let candidate = new_candidate(&node, rules.timing(), parts.store.clone(), &state.log);
    let leaving = state.clone();
    Some(Driver {
        node,
        candidate: Arc::new(candidate),
        terms: Mutex::new(DutyTerms::new(rules, clock::now())),
        pace: Mutex::new(CallPace::new(duties.calls_per_s)),
        turn: TURN,
        target: parts.target.clone(),
        is_leaving: Box::new(move || leaving.is_leaving()),
        clock: Arc::new(clock::now),
        metrics: state.metrics.duties.clone(),
        log: state.log.clone(),
    })
}
