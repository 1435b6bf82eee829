//! The health of a node's backend servers, derived from the outcomes of calls.

use std::{collections::HashMap, sync::Arc};

use super::{
    pool::{Pool, RouteHealth},
    PoolId,
};
use crate::kernel::{
    health::{Change, Group, Limits, Outcome},
    BackendId, Time,
};

/// A route of a service, such as `/v1/completions`.
pub type RouteId = Arc<str>;

/// The route id that stands for the server as a whole.
const WHOLE_SERVER: &str = "";
/// Number of routes of a pool with separate health. Calls on further routes count only for the
/// server as a whole.
const MAX_ROUTES: usize = 64;

/// The outcome of a call.
#[derive(Clone, Debug)]
pub(super) struct CallOutcome {
    pub(super) pool: PoolId,
    pub(super) route: RouteId,
    pub(super) backend: BackendId,
    /// None if the call is no evidence about the server, such as one whose caller disconnected.
    pub(super) outcome: Option<Outcome>,
}

/// A change of a server's health stage, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HealthChange {
    /// The version's pool.
    pub pool: PoolId,
    /// The route; empty for the server as a whole.
    pub route: RouteId,
    /// What changed.
    pub change: Change,
}

/// Tracks the health of servers by the outcomes of calls.
#[derive(Debug, Default)]
pub(super) struct HealthTracker {
    limits: Limits,
    groups: HashMap<PoolId, HashMap<RouteId, Group>>,
}

impl HealthTracker {
    /// Creates a tracker with limits on ejection.
    pub(super) fn new(limits: Limits) -> HealthTracker {
        HealthTracker {
            limits,
            groups: HashMap::new(),
        }
    }

    /// Sets the limits of all groups.
    pub(super) fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        let groups = self.groups.values_mut().flat_map(HashMap::values_mut);
        groups.for_each(|group| group.set_limits(limits));
    }

    /// Sets the servers of each pool.
    pub(super) fn set_pools<'a, I>(&mut self, pools: I)
    where
        I: Iterator<Item = (&'a PoolId, &'a Pool)>,
    {
        let mut old = std::mem::take(&mut self.groups);
        for (id, pool) in pools {
            let names: Vec<BackendId> = pool.servers.iter().map(|m| m.backend.clone()).collect();
            let mut groups = old.remove(id).unwrap_or_default();
            groups
                .entry(WHOLE_SERVER.into())
                .or_insert_with(|| Group::new(self.limits));
            groups
                .values_mut()
                .for_each(|group| group.set_servers(&names));
            self.groups.insert(id.clone(), groups);
        }
    }

    /// Records an outcome. An outcome of a pool that no longer exists is ignored.
    pub(super) fn record(
        &mut self,
        now: Time,
        call: &CallOutcome,
        pool: &Pool,
    ) -> Vec<HealthChange> {
        let limits = self.limits;
        let Some(groups) = self.groups.get_mut(&call.pool) else {
            return Vec::new();
        };
        if !groups.contains_key(&call.route) && groups.len() <= MAX_ROUTES {
            let names: Vec<BackendId> = pool.servers.iter().map(|m| m.backend.clone()).collect();
            let mut group = Group::new(limits);
            group.set_servers(&names);
            groups.insert(call.route.clone(), group);
        }
        let mut changes = Vec::new();
        for route in [&*call.route, WHOLE_SERVER] {
            let Some((id, group)) = groups
                .get_key_value(route)
                .map(|(id, _)| id.clone())
                .and_then(|id| groups.get_mut(&id).map(|group| (id, group)))
            else {
                continue;
            };
            // A fault counts for the route; a lost connection counts for the server as a whole.
            let outcome = match (call.outcome, route == WHOLE_SERVER) {
                (Some(Outcome::Fault), true) => Some(Outcome::Success),
                (Some(Outcome::Lost), false) => None,
                (outcome, _) => outcome,
            };
            let change = match outcome {
                Some(outcome) => group.record(now, &call.backend, outcome),
                None => {
                    group.cancel_trial(&call.backend);
                    None
                }
            };
            changes.extend(change.map(|change| HealthChange {
                pool: call.pool.clone(),
                route: id,
                change,
            }));
            if call.route.is_empty() {
                break;
            }
        }
        changes
    }

    /// Advances servers whose time in their stage is over.
    pub(super) fn tick(&mut self, now: Time) -> Vec<HealthChange> {
        let mut changes = Vec::new();
        for (pool, groups) in &mut self.groups {
            for (route, group) in groups {
                changes.extend(group.tick(now).into_iter().map(|change| HealthChange {
                    pool: pool.clone(),
                    route: route.clone(),
                    change,
                }));
            }
        }
        changes
    }

    /// Returns the pool with health added for the routes that it lacks; none if it lacks no route.
    pub(super) fn extend(&self, id: &PoolId, pool: &Pool) -> Option<Pool> {
        let groups = self.groups.get(id)?;
        let missing: Vec<RouteId> = groups
            .keys()
            .filter(|route| !route.is_empty() && !pool.routes.contains_key(*route))
            .cloned()
            .collect();
        if missing.is_empty() {
            return None;
        }
        let mut pool = pool.clone();
        for route in missing {
            pool.routes
                .insert(route, Arc::new(RouteHealth::new(pool.servers.len())));
        }
        Some(pool)
    }

    /// Publishes weights and offered trials to the pool, where choices read them.
    pub(super) fn publish(&mut self, now: Time, id: &PoolId, pool: &Pool) {
        let Some(groups) = self.groups.get_mut(id) else {
            return;
        };
        for (route, group) in groups {
            let route_health = match route.is_empty() {
                true => Some(&pool.base),
                false => pool.routes.get(route),
            };
            let Some(route_health) = route_health else {
                continue;
            };
            for (i, server) in pool.servers.iter().enumerate() {
                let weight = group.weight(now, &server.backend);
                route_health.set_weight(i, weight);
                if weight > 0.0 {
                    route_health.withdraw_trial(i);
                } else if group.start_trial(&server.backend, true) {
                    // Only idempotent requests take the offered trial.
                    route_health.offer_trial(i);
                }
            }
        }
    }
}
