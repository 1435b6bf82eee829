//! The way of a node's requests to its backend servers: limits, queue and choice.

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
    backend::{Engine, HttpEngine},
    engines::{
        self, Connect, Decision, Engines, Fleet, Gate, Options, Placement, PoolId, Request,
        RouteId, Ticket, Wanted,
    },
    kernel::{
        admission::{Exceeded, LimitScope, Limiter, Limits, Permit, QueueLimits},
        health::{self, Outcome},
        routing::RoutingRequest,
        BackendId, DataCentreId, NodeId, Revision, Time,
    },
    runtime::Spawner,
    settings::{Identity, ResolvedPolicy, Route, Scope, ServiceKind, Snapshot},
};

/// Time for an engine to begin its answer to a report's request.
const ENGINE_HEAD: Duration = Duration::from_secs(2);
/// Time between looks at new settings and at idle limits.
const LOOK: Duration = Duration::from_millis(100);
/// Looks between sweeps of idle limits.
const SWEEP: u32 = 100;
/// Servers of a version that a node uses where the settings do not say.
const SUBSET: usize = 64;

/// Chooses backend servers, within the limits of who asks.
pub(super) struct Chooser {
    engines: Arc<Engines>,
    gate: Gate,
    limiter: Limiter,
    origin: Instant,
    settings: Arc<ArcSwap<Snapshot>>,
    data_centre: DataCentreId,
    fleet: ArcSwap<Nodes>,
    // The revision of the settings that the table follows.
    revision: AtomicU64,
    log: Logger,
}

/// The nodes that share the backend servers.
struct Nodes {
    all: Vec<NodeId>,
    own: NodeId,
}

/// A request's place at a backend server, given back when dropped.
pub(super) struct Place {
    /// The backend server's address.
    pub(super) addr: SocketAddr,
    ticket: Option<Ticket>,
    origin: Instant,
    outcome: Option<Outcome>,
}

/// A request that was let in.
pub(super) struct Admitted {
    /// Its first place, and why it was chosen; none once it is taken.
    pub(super) first: Option<(Decision, Place)>,
    /// Its place within the limits.
    pub(super) permit: Permit,
}

/// A request before it is let in.
pub(super) struct Arrival<'a> {
    /// Who asks.
    pub(super) identity: &'a Identity,
    /// Where it goes.
    pub(super) route: &'a Route,
    /// The route's path.
    pub(super) path: &'a str,
    /// What is known of it.
    pub(super) ask: RoutingRequest,
    /// Whether it runs at a backend server already, so that it only counts in the limits.
    pub(super) runs: bool,
}

impl Chooser {
    /// A chooser that follows settings, with its tasks on a node's threads.
    pub(super) fn new(
        settings: Arc<ArcSwap<Snapshot>>,
        data_centre: DataCentreId,
        spawner: &Spawner,
        log: Logger,
    ) -> Arc<Chooser> {
        // INVARIANT: the crate registers this policy itself.
        let engines = Engines::new(Options::default()).expect("the default policy is registered");
        let engines = Arc::new(engines);
        let origin = Instant::now();
        let (gate, keeper) = Gate::new(engines.clone(), origin, QueueLimits::default());
        spawner.spawn(keeper).detach();
        let poll = engines::poll(
            engines.clone(),
            connect(),
            origin,
            spawner.clone(),
            log.clone(),
        );
        spawner.spawn(poll).detach();
        let own: NodeId = "self".into();
        let chooser = Arc::new(Chooser {
            engines,
            gate,
            limiter: Limiter::default(),
            origin,
            settings,
            data_centre,
            fleet: ArcSwap::from_pointee(Nodes {
                all: vec![own.clone()],
                own,
            }),
            revision: AtomicU64::new(0),
            log,
        });
        spawner.spawn(follow(Arc::downgrade(&chooser))).detach();
        chooser
    }

    /// Sets the nodes that share the backend servers: those of the platform's list of VMs, reachable
    /// or not.
    pub(super) fn set_nodes(&self, all: Vec<NodeId>, own: NodeId) {
        let old = self.fleet.load();
        if old.all != all || old.own != own {
            self.fleet.store(Arc::new(Nodes { all, own }));
            self.update(&self.settings.load());
        }
    }

    /// Takes a place at a backend server where the request runs already.
    pub(super) fn at(&self, addr: SocketAddr) -> Place {
        Place {
            addr,
            ticket: None,
            origin: self.origin,
            outcome: None,
        }
    }

    /// Lets a request in, when its turn comes, with a backend server chosen.
    pub(super) async fn admit(&self, arrival: Arrival<'_>) -> Result<Admitted, Refusal> {
        let snapshot = self.follow_settings();
        let identity = arrival.identity;
        let scope = Scope {
            data_centre: Some(&self.data_centre),
            service: Some(&arrival.route.service),
            account: Some(&identity.account),
            ..Scope::default()
        };
        let account = snapshot.tree.resolve(&scope);
        let caller = snapshot.tree.resolve(&Scope {
            caller: Some(&identity.caller),
            ..scope
        });
        let levels = [
            (level(identity, true), limits(&caller)),
            (level(identity, false), limits(&account)),
        ];
        let part = 1.0 / self.fleet.load().all.len().max(1) as f64;
        let tokens = arrival.ask.memory_tokens();
        let permit = self
            .limiter
            .acquire(self.now(), &levels, tokens, part)
            .map_err(|exceeded| limited(&exceeded))?;
        if arrival.runs {
            let first = None;
            return Ok(Admitted { first, permit });
        }
        let wanted = Wanted {
            pool: pool_id(arrival.route),
            route: arrival.path.into(),
            ask: arrival.ask,
            who: crate::kernel::admission::Requester {
                account: identity.account.clone(),
                caller: identity.caller.clone(),
                account_weight: account.limits.weight,
                caller_weight: caller.limits.weight,
            },
            priority: caller.limits.priority,
            deadline: self.now() + caller.time.queue,
        };
        match self.gate.enter(wanted).await {
            Ok((decision, ticket)) => match self.place(Some(ticket)) {
                Some(place) => Ok(Admitted {
                    first: Some((decision, place)),
                    permit,
                }),
                None => Err(Refusal::busy(
                    "no backend server has a usable address",
                    LOOK,
                )),
            },
            Err(refusal) => {
                permit.refund();
                let words = "no backend server can take the request in time";
                Err(Refusal::busy(words, refusal.retry_after()))
            }
        }
    }

    /// Chooses a backend server for a generation that goes on, other than those excluded.
    pub(super) fn resume(
        &self,
        route: &Route,
        path: &str,
        ask: &RoutingRequest,
        exclude: &[BackendId],
    ) -> (Decision, Option<Place>) {
        self.follow_settings();
        let (pool, path): (PoolId, RouteId) = (pool_id(route), path.into());
        let request = Request {
            pool: &pool,
            route: &path,
            ask,
            exclude,
        };
        let (decision, ticket) = self.engines.choose(self.now(), &request, fastrand::u64(..));
        (decision, self.place(ticket))
    }

    /// Chooses a backend server for a call of a plain service, other than those excluded.
    pub(super) fn choose(
        &self,
        route: &Route,
        exclude: &[BackendId],
        log: &Logger,
    ) -> Option<Place> {
        let ask = RoutingRequest {
            data_centre: Some(self.data_centre.clone()),
            idempotent: route.idempotent,
            ..RoutingRequest::default()
        };
        let (decision, place) = self.resume(route, "", &ask, exclude);
        log_decision(log, route, &decision);
        place
    }

    /// What is known of a generation, of whose answer some tokens are there.
    pub(super) fn ask(
        &self,
        prefix: Vec<u64>,
        text: usize,
        got: u32,
        bound: u32,
    ) -> RoutingRequest {
        RoutingRequest {
            prefix,
            prompt_tokens: u32::try_from(text / TOKEN_BYTES + 1).unwrap_or(u32::MAX) + got,
            output_tokens: bound.saturating_sub(got),
            data_centre: Some(self.data_centre.clone()),
            idempotent: true,
        }
    }

    /// Requests that wait for a place.
    pub(super) fn waiting(&self) -> usize {
        self.gate.waiting()
    }

    /// Time on the chooser's clock.
    pub(super) fn now(&self) -> Time {
        self.origin.elapsed()
    }

    fn place(&self, ticket: Option<Ticket>) -> Option<Place> {
        let ticket = ticket?;
        Some(Place {
            addr: ticket.backend().parse().ok()?,
            ticket: Some(ticket),
            origin: self.origin,
            outcome: None,
        })
    }

    /// Brings the table up to the settings in force.
    fn follow_settings(&self) -> Arc<Snapshot> {
        let snapshot = self.settings.load_full();
        if self.revision.load(Ordering::Acquire) < snapshot.revision {
            self.update(&snapshot);
        }
        snapshot
    }

    fn update(&self, snapshot: &Snapshot) {
        let nodes = self.fleet.load();
        let routing = snapshot.tree.resolve(&Scope {
            data_centre: Some(&self.data_centre),
            ..Scope::default()
        });
        let fleet = Fleet {
            nodes: nodes.all.clone(),
            own: nodes.own.clone(),
            subset: routing
                .routing
                .subset
                .map_or(SUBSET, |count| count as usize),
        };
        self.engines.set_health(health_limits(&routing));
        self.engines.update(&placements(snapshot), &fleet);
        if !self.engines.set_policy(&routing.routing.policy) {
            info!(self.log, "policy not known"; "policy" => &routing.routing.policy);
        }
        let revision: Revision = snapshot.revision;
        self.revision.fetch_max(revision, Ordering::AcqRel);
    }
}

/// Bytes of text that count as a token.
const TOKEN_BYTES: usize = 4;

impl Place {
    /// Notes the first token of an answer.
    pub(super) fn first_token(&mut self) {
        if let Some(ticket) = &mut self.ticket {
            ticket.first_token(self.origin.elapsed());
        }
    }

    /// Notes how the call went, as far as the server is to blame.
    pub(super) fn note(&mut self, outcome: Outcome) {
        self.outcome = Some(outcome);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            ticket.end(self.origin.elapsed(), self.outcome);
        }
    }
}

/// Writes the line of a routing decision.
pub(super) fn log_decision(log: &Logger, route: &Route, decision: &Decision) {
    info!(log, "routed"; "version" => &*route.version, "choice" => decision.chosen.as_deref(),
        "policy" => decision.policy, "reason" => decision.reason.name(),
        "candidates" => decision.candidates(), "left_out" => decision.left_out);
}

/// Follows settings and forgets idle limits until the chooser is gone.
async fn follow(chooser: std::sync::Weak<Chooser>) {
    let mut looks: u32 = 0;
    while let Some(chooser) = chooser.upgrade() {
        chooser.follow_settings();
        looks = looks.wrapping_add(1);
        if looks % SWEEP == 0 {
            chooser.limiter.remove_idle(chooser.now());
        }
        drop(chooser);
        Timer::after(LOOK).await;
    }
}

/// Reaches engines over HTTP.
fn connect() -> Connect {
    Arc::new(|addr| {
        let addr: SocketAddr = addr.parse().ok()?;
        Some(Arc::new(HttpEngine::new(addr, ENGINE_HEAD)) as Arc<dyn Engine>)
    })
}

/// Every version's backend servers.
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

/// The bounds on ejection that the settings give.
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

fn level(identity: &Identity, caller: bool) -> LimitScope {
    LimitScope {
        account: identity.account.clone(),
        caller: caller.then(|| identity.caller.clone()),
    }
}

fn limits(policy: &ResolvedPolicy) -> Limits {
    let said = &policy.limits;
    Limits {
        request_rate: said.requests.map(|rate| rate.per_second()),
        token_rate: said.tokens.map(|rate| rate.per_second()),
        open_requests: said.open_requests.map(u64::from),
        open_tokens: said.open_tokens,
    }
}

/// The refusal of a request over a limit.
fn limited(exceeded: &Exceeded) -> Refusal {
    let whose = match exceeded.scope.caller {
        Some(_) => "the caller",
        None => "the client account",
    };
    let words = format!("{whose} has reached its limit of {}", exceeded.limit.name());
    Refusal::limited(words, exceeded.retry_after)
}
