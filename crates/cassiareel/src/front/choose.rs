//! Admission of a node's requests to its backend servers: limits, queue and choice.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use slog::{info, Logger};
use smol::Timer;

use super::Refusal;
use crate::{
    backend::{Answer, Engine, HttpEngine},
    engines::{
        self, AdmissionQueue, BackendTable, Decision, EngineConnector, Options, Placement, PoolId,
        QueuedRequest, Request, Reservation, RouteId, SubsetConfig,
    },
    kernel::{
        admission::{Exceeded, LimitScope, Limiter, Limits, Permit, QueueLimits},
        health::{self, Outcome},
        quota::{is_valid_limit, Purpose},
        routing::RoutingRequest,
        BackendId, DataCentreId, NodeId, Revision, Time,
    },
    runtime::Spawner,
    settings::{Identity, ResolvedPolicy, Route, Scope, ServiceKind, Snapshot},
};

/// Time for an engine to send the head of its answer to a request for a load report.
const REPORT_HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which the chooser checks for new settings.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(100);
/// Number of checks for new settings between removals of idle limits.
const SWEEP_TICKS: u32 = 100;
/// Number of servers of a version that a node uses if the settings give none.
const DEFAULT_SUBSET_SIZE: usize = 64;

/// Chooses backend servers for requests that are within their caller's limits.
pub(super) struct Chooser {
    table: Arc<BackendTable>,
    queue: AdmissionQueue,
    limiter: Limiter,
    origin: Instant,
    settings: Arc<ArcSwap<Snapshot>>,
    data_centre: DataCentreId,
    nodes: ArcSwap<NodeSet>,
    // Revision of the settings that the table was last built from.
    revision: AtomicU64,
    log: Logger,
}

/// The nodes that share the backend servers.
struct NodeSet {
    all: Vec<NodeId>,
    local: NodeId,
}

/// A request's reservation at a backend server, released on drop with the call's outcome.
pub(super) struct BackendGuard {
    /// The backend server's address.
    pub(super) addr: SocketAddr,
    reservation: Option<Reservation>,
    origin: Instant,
    outcome: Option<Outcome>,
}

/// A request that was admitted.
pub(super) struct Admitted {
    /// Its first backend server with the decision that chose it; none once the first attempt has
    /// taken it, or if the request is running already.
    pub(super) first: Option<(Decision, BackendGuard)>,
    /// Its permit within the limits.
    pub(super) permit: Permit,
}

/// A request before its admission.
pub(super) struct IncomingRequest<'a> {
    /// The caller.
    pub(super) identity: &'a Identity,
    /// The service and version that it goes to.
    pub(super) route: &'a Route,
    /// The path of its endpoint.
    pub(super) path: &'a str,
    /// Its size and prefix.
    pub(super) routing: RoutingRequest,
    /// Whether it runs at a backend server already, so that only the limits apply to it.
    pub(super) is_running: bool,
}

impl Chooser {
    /// Creates a chooser that follows the settings, and spawns its tasks on a node's threads.
    pub(super) fn new(
        settings: Arc<ArcSwap<Snapshot>>,
        data_centre: DataCentreId,
        spawner: &Spawner,
        log: Logger,
    ) -> Arc<Chooser> {
        // INVARIANT: the crate registers this policy itself.
        let table =
            BackendTable::new(Options::default()).expect("the default policy is registered");
        let table = Arc::new(table);
        let origin = Instant::now();
        let (queue, queue_task) =
            AdmissionQueue::new(table.clone(), origin, QueueLimits::default());
        spawner.spawn(queue_task).detach();
        let poll = engines::poll(
            table.clone(),
            connect(),
            origin,
            spawner.clone(),
            log.clone(),
        );
        spawner.spawn(poll).detach();
        let local: NodeId = "self".into();
        let chooser = Arc::new(Chooser {
            table,
            queue,
            limiter: Limiter::default(),
            origin,
            settings,
            data_centre,
            nodes: ArcSwap::from_pointee(NodeSet {
                all: vec![local.clone()],
                local,
            }),
            revision: AtomicU64::new(0),
            log,
        });
        spawner.spawn(follow(Arc::downgrade(&chooser))).detach();
        chooser
    }

    /// Sets the nodes that share the backend servers: those in the platform's list of VMs,
    /// reachable or not.
    pub(super) fn set_nodes(&self, all: Vec<NodeId>, local: NodeId) {
        let old = self.nodes.load();
        if old.all != all || old.local != local {
            self.table.limits().set_nodes(&all, &local, self.now());
            self.nodes.store(Arc::new(NodeSet { all, local }));
            self.update(&self.settings.load());
        }
    }

    /// Returns a guard for a backend server where the request runs already, without a reservation.
    pub(super) fn guard_at(&self, addr: SocketAddr) -> BackendGuard {
        BackendGuard {
            addr,
            reservation: None,
            origin: self.origin,
            outcome: None,
        }
    }

    /// Admits a request: checks its limits, waits for its turn and chooses a backend server.
    pub(super) async fn admit(&self, incoming: IncomingRequest<'_>) -> Result<Admitted, Refusal> {
        let snapshot = self.follow_settings();
        let identity = incoming.identity;
        let scope = Scope {
            data_centre: Some(&self.data_centre),
            service: Some(&incoming.route.service),
            account: Some(&identity.account),
            ..Scope::default()
        };
        let account = snapshot.tree.resolve(&scope);
        let caller = snapshot.tree.resolve(&Scope {
            caller: Some(&identity.caller),
            ..scope
        });
        let scopes = [
            (limit_scope(identity, true), limits(&caller)),
            (limit_scope(identity, false), limits(&account)),
        ];
        let node_share = 1.0 / self.nodes.load().all.len().max(1) as f64;
        let tokens = incoming.routing.memory_tokens();
        let permit = self
            .limiter
            .acquire(self.now(), &scopes, tokens, node_share)
            .map_err(|exceeded| limit_refusal(&exceeded))?;
        if incoming.is_running {
            let first = None;
            return Ok(Admitted { first, permit });
        }
        let queued = QueuedRequest {
            pool: pool_id(incoming.route),
            route: incoming.path.into(),
            routing: incoming.routing,
            requester: crate::kernel::admission::Requester {
                account: identity.account.clone(),
                caller: identity.caller.clone(),
                account_weight: account.limits.weight,
                caller_weight: caller.limits.weight,
            },
            priority: caller.limits.priority,
            deadline: self.now() + caller.time.queue,
        };
        match self.queue.acquire(queued).await {
            Ok((decision, reservation)) => match self.guard(Some(reservation)) {
                Some(guard) => Ok(Admitted {
                    first: Some((decision, guard)),
                    permit,
                }),
                None => Err(Refusal::busy(
                    "no backend server has a usable address",
                    FOLLOW_INTERVAL,
                )),
            },
            Err(refusal) => {
                permit.refund();
                let message = "no backend server can take the request in time";
                Err(Refusal::busy(message, refusal.retry_after()))
            }
        }
    }

    /// Chooses a backend server for a further attempt, other than those excluded.
    pub(super) fn choose_again(
        &self,
        route: &Route,
        path: &str,
        routing: &RoutingRequest,
        exclude: &[BackendId],
    ) -> (Decision, Option<BackendGuard>) {
        self.follow_settings();
        let (pool, path): (PoolId, RouteId) = (pool_id(route), path.into());
        let request = Request {
            pool: &pool,
            route: &path,
            routing,
            exclude,
        };
        let (decision, reservation) = self.table.choose(self.now(), &request, fastrand::u64(..));
        (decision, self.guard(reservation))
    }

    /// Chooses a backend server for a call to a plain service, other than those excluded, and logs
    /// the decision.
    pub(super) fn choose_for_call(
        &self,
        route: &Route,
        exclude: &[BackendId],
        log: &Logger,
    ) -> Option<BackendGuard> {
        let routing = RoutingRequest {
            data_centre: Some(self.data_centre.clone()),
            idempotent: route.idempotent,
            purpose: if exclude.is_empty() {
                Purpose::New
            } else {
                Purpose::Repeat
            },
            ..RoutingRequest::default()
        };
        let (decision, guard) = self.choose_again(route, "", &routing, exclude);
        log_decision(log, route, &decision);
        guard
    }

    /// Describes a generation to the routing policy.
    ///
    /// `generated` is the number of tokens generated so far, and `max_tokens` the limit on the
    /// tokens of the whole answer.
    pub(super) fn routing_request(
        &self,
        prefix: Vec<u64>,
        prompt_bytes: usize,
        generated: u32,
        max_tokens: u32,
    ) -> RoutingRequest {
        RoutingRequest {
            prefix,
            prompt_tokens: u32::try_from(prompt_bytes / BYTES_PER_TOKEN + 1).unwrap_or(u32::MAX)
                + generated,
            output_tokens: max_tokens.saturating_sub(generated),
            data_centre: Some(self.data_centre.clone()),
            idempotent: true,
            purpose: if generated > 0 {
                Purpose::Ongoing
            } else {
                Purpose::New
            },
        }
    }

    /// Returns the number of requests that wait for a backend server.
    pub(super) fn waiting(&self) -> usize {
        self.queue.waiting()
    }

    /// Records the limit that a service names in its answer to a call that was sent at `sent`.
    pub(super) fn record_limit(&self, addr: SocketAddr, answer: &Answer, sent: Time) {
        let backend = addr.to_string();
        let limit = answer.request_limit;
        if limit.is_some_and(|limit| !is_valid_limit(limit)) {
            info!(self.log, "backend named an unclear limit"; "backend" => &backend);
        }
        let change = self
            .table
            .limits()
            .record(&backend, limit, sent, self.now());
        if let Some(change) = change {
            info!(self.log, "backend limit changed"; "backend" => backend, "limit" => change.after,
                "before" => change.before);
        }
    }

    /// Returns the table of backend servers.
    pub(super) fn table(&self) -> &BackendTable {
        &self.table
    }

    /// Returns the time on the chooser's clock.
    pub(super) fn now(&self) -> Time {
        self.origin.elapsed()
    }

    fn guard(&self, reservation: Option<Reservation>) -> Option<BackendGuard> {
        let reservation = reservation?;
        Some(BackendGuard {
            addr: reservation.backend().parse().ok()?,
            reservation: Some(reservation),
            origin: self.origin,
            outcome: None,
        })
    }

    /// Updates the table if the settings in force have changed, and returns them.
    fn follow_settings(&self) -> Arc<Snapshot> {
        let snapshot = self.settings.load_full();
        if self.revision.load(Ordering::Acquire) < snapshot.revision {
            self.update(&snapshot);
        }
        snapshot
    }

    fn update(&self, snapshot: &Snapshot) {
        let nodes = self.nodes.load();
        let routing = snapshot.tree.resolve(&Scope {
            data_centre: Some(&self.data_centre),
            ..Scope::default()
        });
        let subset = SubsetConfig {
            nodes: nodes.all.clone(),
            local: nodes.local.clone(),
            size: routing
                .routing
                .subset
                .map_or(DEFAULT_SUBSET_SIZE, |count| count as usize),
        };
        self.table.set_health(health_limits(&routing));
        self.table.update(&placements(snapshot), &subset);
        if !self.table.set_policy(&routing.routing.policy) {
            info!(self.log, "unknown routing policy in the settings; keeping the current one";
                "policy" => &routing.routing.policy);
        }
        let revision: Revision = snapshot.revision;
        self.revision.fetch_max(revision, Ordering::AcqRel);
    }
}

/// Bytes of text that are counted as one token.
const BYTES_PER_TOKEN: usize = 4;

impl BackendGuard {
    /// Records the first token of an answer.
    pub(super) fn record_first_token(&mut self) {
        if let Some(reservation) = &mut self.reservation {
            reservation.record_first_token(self.origin.elapsed());
        }
    }

    /// Sets the call's outcome, by which the server's health is judged.
    pub(super) fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = Some(outcome);
    }
}

impl Drop for BackendGuard {
    fn drop(&mut self) {
        if let Some(reservation) = self.reservation.take() {
            reservation.end(self.origin.elapsed(), self.outcome);
        }
    }
}

/// Logs a routing decision.
pub(super) fn log_decision(log: &Logger, route: &Route, decision: &Decision) {
    info!(log, "routed"; "version" => &*route.version, "choice" => decision.chosen.as_deref(),
        "policy" => decision.policy, "reason" => decision.reason.name(),
        "candidates" => decision.format_candidates(), "left_out" => decision.omitted);
}

/// Follows the settings and removes idle limits until the chooser is dropped.
async fn follow(chooser: std::sync::Weak<Chooser>) {
    let mut ticks: u32 = 0;
    while let Some(chooser) = chooser.upgrade() {
        chooser.follow_settings();
        ticks = ticks.wrapping_add(1);
        if ticks % SWEEP_TICKS == 0 {
            chooser.limiter.remove_idle(chooser.now());
        }
        drop(chooser);
        Timer::after(FOLLOW_INTERVAL).await;
    }
}

/// Returns a connector that reaches engines over HTTP.
fn connect() -> EngineConnector {
    Arc::new(|addr| {
        let addr: SocketAddr = addr.parse().ok()?;
        Some(Arc::new(HttpEngine::new(addr, REPORT_HEAD_TIMEOUT)) as Arc<dyn Engine>)
    })
}

/// Returns the backend servers of every version.
fn placements(snapshot: &Snapshot) -> Vec<Placement> {
    let mut placements = Vec::new();
    for (service, node) in &snapshot.tree.services {
        for (version, placed) in &node.versions {
            let servers = placed
                .placements
                .iter()
                .flat_map(|(data_centre, placement)| {
                    let servers = placement.servers.iter();
                    servers.map(|addr| (addr.to_string().into(), data_centre.clone()))
                });
            placements.push(Placement {
                pool: format!("{service}@{version}").into(),
                model: node.kind == ServiceKind::Model,
                servers: servers.collect(),
            });
        }
    }
    placements
}

/// Returns the limits on ejection that the settings give.
fn health_limits(policy: &ResolvedPolicy) -> health::Limits {
    health::Limits {
        consecutive_failures: policy.routing.failures,
        min_kept: 1.0 - policy.routing.ejected.fraction(),
        base_ejection: policy.routing.ejection,
        ..health::Limits::default()
    }
}

fn pool_id(route: &Route) -> PoolId {
    format!("{}@{}", route.service, route.version).into()
}

fn limit_scope(identity: &Identity, caller: bool) -> LimitScope {
    LimitScope {
        account: identity.account.clone(),
        caller: caller.then(|| identity.caller.clone()),
    }
}

fn limits(policy: &ResolvedPolicy) -> Limits {
    let policy_limits = &policy.limits;
    Limits {
        request_rate: policy_limits.requests.map(|rate| rate.per_second()),
        token_rate: policy_limits.tokens.map(|rate| rate.per_second()),
        open_requests: policy_limits.open_requests.map(u64::from),
        open_tokens: policy_limits.open_tokens,
    }
}

/// Returns the refusal of a request that is over a limit.
fn limit_refusal(exceeded: &Exceeded) -> Refusal {
    let owner = match exceeded.scope.caller {
        Some(_) => "the caller",
        None => "the client account",
    };
    let message = format!("{owner} has reached its limit of {}", exceeded.limit.name());
    Refusal::limited(message, exceeded.retry_after)
}
