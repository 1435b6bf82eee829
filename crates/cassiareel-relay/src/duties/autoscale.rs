//! Orders the number of backend servers of the services whose size follows the demand.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{atomic::Ordering, Arc},
};

use async_trait::async_trait;
use futures_util::future::join_all;
use slog::{info, warn};

use super::{
    duty::{Duty, DutyCalls},
    server_losses::ServerLosses,
    service_scaling::{outcome, DueOrder, ServiceScaling},
    DutyError,
};
use crate::{
    clock::{self, Moment},
    kernel::{
        BoundsError, DataCentreInput, DemandCoverage, DemandTotal, EngineFacts, ServiceInput,
        ServiceSize, DECISION_INTERVAL,
    },
    metrics::Metrics,
    model::{DataCentre, ScaleBounds, ServiceId},
    state::State,
};

/// The number of servers that are counted as lost where a whole data centre is suspect.
const SUSPECT_LOSSES: u32 = 3;

/// The incarnation under which the holder records its own samples: any that it sends as a node count
/// as later ones.
const OWN_INCARNATION: u64 = 0;

/// The demand for all services by data centre.
type Totals = HashMap<(ServiceId, DataCentre), DemandTotal>;

/// The duty to order the number of backend servers.
pub(crate) struct AutoscaleDuty {
    state: Arc<State>,
    services: BTreeMap<ServiceId, ServiceDuty>,
    last: Option<Moment>,
    /// Whether the demand of nearly all nodes was known at the last decision.
    was_covered: Option<bool>,
}

/// What the holder knows of one service.
#[derive(Default)]
struct ServiceDuty {
    scaling: ServiceScaling,
    losses: ServerLosses,
}

/// An order that is due, with the facts for its log line.
struct Order {
    due: DueOrder,
    input: DataCentreInput,
    demand: f64,
    target_runs: f64,
}

impl AutoscaleDuty {
    /// Creates the duty of a node.
    pub(crate) fn new(state: Arc<State>) -> AutoscaleDuty {
        AutoscaleDuty {
            state,
            services: BTreeMap::new(),
            last: None,
            was_covered: None,
        }
    }

    /// Takes the demand of all nodes. What was refused before this node held the duty does not count.
    fn take_totals(&mut self, now: Moment) -> (Totals, DemandCoverage) {
        let state = &self.state;
        let samples = state.sample_demand();
        let name = state.settings.load().node.name.clone();
        let nodes = state.node_count.load(Ordering::Relaxed);
        let mut fleet = state.demand.fleet();
        fleet.record(&name, OWN_INCARNATION, samples, now);
        let mut totals = fleet.take_totals(now);
        if self.last.is_none() {
            totals.values_mut().for_each(|total| total.refused = 0);
        }
        let coverage = fleet.coverage(nodes, now);
        let rejected = fleet.take_rejected();
        drop(fleet);
        for peer in rejected {
            warn!(state.log, "demand samples ignored"; "peer" => peer);
        }
        (totals, coverage)
    }

    /// Logs that the demand of nearly all nodes is known, or no longer.
    fn log_coverage(&mut self, coverage: DemandCoverage) {
        let is_covered = coverage.is_enough();
        if self.was_covered.replace(is_covered) == Some(is_covered) {
            return;
        }
        let (log, oldest) = (&self.state.log, coverage.oldest.as_millis() as u64);
        if is_covered {
            info!(log, "fleet demand known"; "nodes" => coverage.nodes, "known" => coverage.known,
                "oldest_ms" => oldest);
        } else {
            info!(log, "fleet demand incomplete"; "nodes" => coverage.nodes,
                "known" => coverage.known, "oldest_ms" => oldest);
        }
    }

    /// Decides for all services; returns the orders that are due.
    fn decide(&mut self, now: Moment) -> Vec<Order> {
        let (totals, coverage) = self.take_totals(now);
        self.log_coverage(coverage);
        let Some(catalog) = self.state.catalog() else {
            return Vec::new();
        };
        self.services
            .retain(|service, _| catalog.scale(service).is_some());
        let mut due = Vec::new();
        for (service, bounds) in catalog.scaled_services() {
            let duty = self.services.entry(service.clone()).or_default();
            let parts = duty.data_centres(&self.state, service, &totals, now);
            let input = ServiceInput {
                now,
                bounds: *bounds,
                engine: engine_facts(&self.state, service),
                data_centres: parts.clone(),
                coverage,
                is_rolling_out: self.state.is_rolling_out(service),
            };
            match duty.scaling.decide(service, input) {
                Ok((size, orders)) => {
                    set_metrics(&self.state.metrics, service, &size, &parts);
                    due.extend(
                        orders
                            .into_iter()
                            .map(|order| Order::new(order, &size, &parts)),
                    );
                }
                Err(fault) => report_fault(&self.state, service, bounds, fault, duty),
            }
        }
        due
    }

    /// Records the result of an order, and logs it.
    fn finish(&mut self, order: &Order, answer: &Result<(), DutyError>, fence: u64) {
        let Order { due, input, .. } = order;
        let wanted = due.wanted;
        let outcome = outcome(answer);
        let ordered = &due.order;
        if let Some(duty) = self.services.get_mut(&ordered.service) {
            duty.scaling.record(ordered, outcome, clock::now());
            let removed = due.listed.saturating_sub(ordered.count);
            duty.losses.expect_removals(&ordered.data_centre, removed);
        }
        let state = &self.state;
        Metrics::count(&state.metrics.server_orders, outcome.name());
        info!(state.log, "servers ordered"; "service" => &*ordered.service,
            "data_centre" => &*ordered.data_centre, "count" => ordered.count,
            "reason" => wanted.reason.name(), "repeat" => due.is_repeat,
            "listed" => due.listed, "ready" => input.ready, "needed" => wanted.needed,
            "peak" => wanted.peak, "short" => wanted.short, "demand" => order.demand,
            "target_runs" => order.target_runs,
            "running" => input.running, "waiting" => input.waiting, "refused" => input.refused,
            "lost" => input.lost, "fence" => fence, "outcome" => outcome.name(),
            "cause" => answer.as_ref().err().map(ToString::to_string));
    }
}

#[async_trait]
impl Duty for AutoscaleDuty {
    async fn run_due(&mut self, calls: &dyn DutyCalls) {
        let now = clock::now();
        let is_early = |last: Moment| now.saturating_sub(last) < DECISION_INTERVAL;
        if self.last.is_some_and(is_early) {
            return;
        }
        let Some(holder) = calls.holder() else {
            return;
        };
        let due = self.decide(now);
        self.last = Some(now);
        // One call without an answer must not delay the others.
        let answers = join_all(due.iter().map(|o| calls.order_servers(&o.due.order))).await;
        for (order, answer) in due.iter().zip(answers) {
            self.finish(order, &answer, holder.fence);
        }
    }

    fn end_term(&mut self) {
        self.services.clear();
        self.last = None;
        self.was_covered = None;
        self.state.metrics.clear_servers();
    }
}

impl ServiceDuty {
    /// Returns the servers of a service and the demand for them.
    fn data_centres(
        &mut self,
        state: &State,
        service: &ServiceId,
        totals: &Totals,
        now: Moment,
    ) -> BTreeMap<DataCentre, DataCentreInput> {
        let backends = state.backends.of_service(service);
        let mut parts: BTreeMap<DataCentre, DataCentreInput> = BTreeMap::new();
        let listed = backends
            .iter()
            .filter(|b| !b.is_leaving() && !b.has_ended());
        for backend in listed {
            let part = parts.entry(backend.entry.data_centre.clone()).or_default();
            part.listed += 1;
            if backend.accepts_requests(now) {
                part.ready += 1;
                part.slots += u64::from(backend.entry.slots);
            }
        }
        for ((of, data_centre), total) in totals {
            if of == service {
                let part = parts.entry(data_centre.clone()).or_default();
                part.running = total.running;
                part.waiting = total.waiting;
                part.refused = total.refused;
            }
        }
        for (data_centre, lost) in self.losses.count(&backends) {
            parts.entry(data_centre).or_default().lost = lost;
        }
        let health = state.data_centre_losses();
        for (data_centre, part) in &mut parts {
            if health.is_suspect(service, data_centre, now) {
                part.lost = part.lost.max(SUSPECT_LOSSES);
            }
        }
        parts
    }
}

impl Order {
    fn new(
        due: DueOrder,
        size: &ServiceSize,
        parts: &BTreeMap<DataCentre, DataCentreInput>,
    ) -> Order {
        let input = parts.get(&due.order.data_centre).copied();
        Order {
            due,
            input: input.unwrap_or_default(),
            demand: size.demand,
            target_runs: size.target_runs,
        }
    }
}

/// Logs invalid bounds once.
fn report_fault(
    state: &State,
    service: &ServiceId,
    bounds: &ScaleBounds,
    fault: BoundsError,
    duty: &mut ServiceDuty,
) {
    if duty.scaling.is_new_fault(fault) {
        warn!(state.log, "scale bounds invalid"; "service" => &**service, "min" => bounds.min,
            "max" => bounds.max, "boot_ms" => bounds.boot.as_millis() as u64, "cause" => %fault);
    }
}

/// Returns what this node knows of a service's engines.
fn engine_facts(state: &State, service: &ServiceId) -> Option<EngineFacts> {
    let shape = state.engine_shape(service)?;
    let (prefill, tokens) = state.admission.with_load(service, |load| {
        (load.mean_prefill_time(), load.mean_tokens())
    });
    Some(EngineFacts {
        prefill: Some(prefill).filter(|prefill| !prefill.is_zero()),
        run: state.run_times().usual(service),
        capacity: shape.capacity,
        tokens,
    })
}

/// Sets the gauges of a service.
fn set_metrics(
    metrics: &Metrics,
    service: &ServiceId,
    size: &ServiceSize,
    parts: &BTreeMap<DataCentre, DataCentreInput>,
) {
    for (data_centre, part) in parts {
        let wanted = size.wanted.get(data_centre).map(|wanted| wanted.count);
        metrics.set_servers(service, data_centre, wanted, part.listed);
    }
}
