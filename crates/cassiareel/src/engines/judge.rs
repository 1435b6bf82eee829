//! The health groups of a node, fed by the outcomes of calls.

use std::{collections::HashMap, sync::Arc};

use super::{
    pool::{Pool, Standing},
    PoolId,
};
use crate::kernel::{
    health::{Change, Group, Limits, Outcome},
    BackendId, Time,
};

/// A route of a service, such as `/v1/completions`.
pub type RouteId = Arc<str>;

/// The route that stands for the server as a whole.
const ANY: &str = "";
/// Routes of a pool that are judged apart; calls on further ones count for the server alone.
const MOST_ROUTES: usize = 64;

/// The outcome of a call.
#[derive(Clone, Debug)]
pub(super) struct Told {
    pub(super) pool: PoolId,
    pub(super) route: RouteId,
    pub(super) backend: BackendId,
    /// None where the call told nothing, such as one that its caller left.
    pub(super) outcome: Option<Outcome>,
}

/// A change of a server's stage, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Moved {
    /// The version's pool.
    pub pool: PoolId,
    /// The route; empty for the server as a whole.
    pub route: RouteId,
    /// What changed.
    pub change: Change,
}

/// Judges servers by the outcomes of calls.
#[derive(Debug, Default)]
pub(super) struct Judge {
    limits: Limits,
    groups: HashMap<PoolId, HashMap<RouteId, Group>>,
}

impl Judge {
    /// A judge with bounds.
    pub(super) fn new(limits: Limits) -> Judge {
        Judge {
            limits,
            groups: HashMap::new(),
        }
    }

    /// Sets the bounds of all groups.
    pub(super) fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        let groups = self.groups.values_mut().flat_map(HashMap::values_mut);
        groups.for_each(|group| group.set_limits(limits));
    }

    /// Sets the pools' servers.
    pub(super) fn set_pools<'a, I>(&mut self, pools: I)
    where
        I: Iterator<Item = (&'a PoolId, &'a Pool)>,
    {
        let mut old = std::mem::take(&mut self.groups);
        for (id, pool) in pools {
            let names: Vec<BackendId> = pool.members.iter().map(|m| m.backend.clone()).collect();
            let mut groups = old.remove(id).unwrap_or_default();
            groups
                .entry(ANY.into())
                .or_insert_with(|| Group::new(self.limits));
            groups
                .values_mut()
                .for_each(|group| group.set_servers(&names));
            self.groups.insert(id.clone(), groups);
        }
    }

    /// Takes an outcome; one of a pool that is gone is ignored.
    pub(super) fn record(&mut self, now: Time, told: &Told, pool: &Pool) -> Vec<Moved> {
        let limits = self.limits;
        let Some(groups) = self.groups.get_mut(&told.pool) else {
            return Vec::new();
        };
        if !groups.contains_key(&told.route) && groups.len() <= MOST_ROUTES {
            let names: Vec<BackendId> = pool.members.iter().map(|m| m.backend.clone()).collect();
            let mut group = Group::new(limits);
            group.set_servers(&names);
            groups.insert(told.route.clone(), group);
        }
        let mut moved = Vec::new();
        for route in [&*told.route, ANY] {
            let Some((id, group)) = groups
                .get_key_value(route)
                .map(|(id, _)| id.clone())
                .and_then(|id| groups.get_mut(&id).map(|group| (id, group)))
            else {
                continue;
            };
            // A fault is the route's; the loss of a connection is the server's, on any route.
            let outcome = match (told.outcome, route == ANY) {
                (Some(Outcome::Fault), true) => Some(Outcome::Success),
                (Some(Outcome::Lost), false) => None,
                (outcome, _) => outcome,
            };
            let change = match outcome {
                Some(outcome) => group.record(now, &told.backend, outcome),
                None => {
                    group.cancel_trial(&told.backend);
                    None
                }
            };
            moved.extend(change.map(|change| Moved {
                pool: told.pool.clone(),
                route: id,
                change,
            }));
            if told.route.is_empty() {
                break;
            }
        }
        moved
    }

    /// Moves servers whose time has come.
    pub(super) fn tick(&mut self, now: Time) -> Vec<Moved> {
        let mut moved = Vec::new();
        for (pool, groups) in &mut self.groups {
            for (route, group) in groups {
                moved.extend(group.tick(now).into_iter().map(|change| Moved {
                    pool: pool.clone(),
                    route: route.clone(),
                    change,
                }));
            }
        }
        moved
    }

    /// Adds standings for routes that a pool lacks; none where it lacks none.
    pub(super) fn extend(&self, id: &PoolId, pool: &Pool) -> Option<Pool> {
        let groups = self.groups.get(id)?;
        let lacking: Vec<RouteId> = groups
            .keys()
            .filter(|route| !route.is_empty() && !pool.routes.contains_key(*route))
            .cloned()
            .collect();
        if lacking.is_empty() {
            return None;
        }
        let mut pool = pool.clone();
        for route in lacking {
            pool.routes
                .insert(route, Arc::new(Standing::new(pool.members.len())));
        }
        Some(pool)
    }

    /// Publishes weights and trials to those who choose.
    pub(super) fn publish(&mut self, now: Time, id: &PoolId, pool: &Pool) {
        let Some(groups) = self.groups.get_mut(id) else {
            return;
        };
        for (route, group) in groups {
            let standing = match route.is_empty() {
                true => Some(&pool.base),
                false => pool.routes.get(route),
            };
            let Some(standing) = standing else {
                continue;
            };
            for (i, member) in pool.members.iter().enumerate() {
                let weight = group.weight(now, &member.backend);
                standing.set_weight(i, weight);
                if weight > 0.0 {
                    standing.withdraw(i);
                } else if group.start_trial(&member.backend, true) {
                    // Only idempotent requests look at the offer.
                    standing.offer(i);
                }
            }
        }
    }
}
