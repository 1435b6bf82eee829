//! The choice of a backend server from the table.

use std::{sync::Arc, time::Duration};

use super::{
    health::RouteId,
    pool::{Pool, RouteHealth},
    BackendServer, BackendTable, Decision, PoolId, Reason, Reservation,
};
use crate::kernel::{
    routing::{self, expected_ms, unread_tokens, Candidate, Choice, RoutingRequest, SkipReason},
    BackendId, Time,
};

/// A request that needs a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The version's pool.
    pub pool: &'a PoolId,
    /// The route.
    pub route: &'a RouteId,
    /// Its size and prefix.
    pub routing: &'a RoutingRequest,
    /// Servers at which earlier attempts were lost.
    pub exclude: &'a [BackendId],
}

/// Number of choices in a row that may lose a race with another thread for a server's memory.
const MAX_RESERVE_RACES: usize = 3;

impl BackendTable {
    /// Chooses a backend server and reserves its memory; `random` is a fresh random number.
    ///
    /// # Panics
    ///
    /// Panics if a policy returns an index that is not that of a candidate.
    pub fn choose(
        &self,
        now: Time,
        request: &Request<'_>,
        random: u64,
    ) -> (Decision, Option<Reservation>) {
        let named_policy = self.policy.load();
        let table = self.table.load();
        let pool = table
            .pools
            .get(request.pool)
            .filter(|pool| !pool.servers.is_empty());
        let Some(pool) = pool else {
            return (Decision::unplaced(named_policy.name), None);
        };
        let route = pool.routes.get(request.route).map(|route| &**route);
        let mut candidates = self.candidates(now, request, pool, route);
        if request.routing.idempotent {
            if let Some(found) = self.try_trial(now, request, pool, route, &candidates) {
                return found;
            }
        }
        let mut choice = named_policy
            .policy
            .choose(request.routing, &candidates, random);
        for _ in 0..MAX_RESERVE_RACES {
            let Some(i) = choice.index else {
                break;
            };
            if !self.take_permit(request, &pool.servers[i], now) {
                candidates[i].skip_reason = Some(SkipReason::Limit);
                choice = named_policy
                    .policy
                    .choose(request.routing, &candidates, random);
                continue;
            }
            if pool.servers[i]
                .memory
                .try_reserve(request.routing.memory_tokens())
            {
                let decision =
                    Decision::new(named_policy.name, Reason::Policy, &candidates, &choice);
                let reservation =
                    self.reservation(now, request, &pool.servers[i], &candidates[i], false);
                return (decision, Some(reservation));
            }
            // Another thread has reserved the memory in the meantime.
            candidates[i].skip_reason = Some(SkipReason::Memory);
            choice = named_policy
                .policy
                .choose(request.routing, &candidates, random);
        }
        choice.index = None;
        let decision = Decision::new(named_policy.name, Reason::NoneFit, &candidates, &choice);
        (decision, None)
    }

    /// Takes a permit for a request; returns `false` if the server's limit leaves none.
    fn take_permit(&self, request: &Request<'_>, server: &BackendServer, now: Time) -> bool {
        let purpose = request.routing.purpose;
        self.limits.take(&server.backend, purpose, now)
    }

    fn candidates<'a>(
        &self,
        now: Time,
        request: &Request<'_>,
        pool: &'a Pool,
        route: Option<&RouteHealth>,
    ) -> Vec<Candidate<'a>> {
        let mut depths = vec![0; self.index.slots()];
        if !request.routing.prefix.is_empty() {
            self.index.depths(&request.routing.prefix, &mut depths);
        }
        let key = routing::prefix_key(&request.routing.prefix);
        let candidate = |(i, server): (usize, &'a Arc<BackendServer>)| {
            let sharers = server.sharers();
            Candidate {
                backend: &server.backend,
                data_centre: &server.data_centre,
                outstanding: server.load.outstanding(now, sharers),
                backlog_tokens: server.load.backlog_tokens(sharers),
                free_tokens: server.memory.available(),
                cached_blocks: server.cache_slot.map_or(0, |slot| depths[slot]),
                home_weight: key.map_or(0, |key| routing::home_weight(server.home_seed, key)),
                health: pool.weight(route, i),
                token_ms: server.load.token_ms(),
                slowdown: server.load.slowdown(),
                skip_reason: self.skip_reason(now, request, pool, i),
            }
        };
        pool.servers.iter().enumerate().map(candidate).collect()
    }

    /// Returns the reason why a server can't be chosen under any policy, or none if it can.
    fn skip_reason(
        &self,
        now: Time,
        request: &Request<'_>,
        pool: &Pool,
        i: usize,
    ) -> Option<SkipReason> {
        let server = &pool.servers[i];
        let backlog = server.load.own_backlog_tokens() * u64::from(server.sharers());
        if request.exclude.contains(&server.backend) {
            Some(SkipReason::Excluded)
        } else if server.is_leaving() {
            Some(SkipReason::Leaving)
        } else if pool.is_missing_version(i) {
            Some(SkipReason::Unloaded)
        } else if server.is_model() && backlog >= self.options.max_backlog_tokens {
            Some(SkipReason::Busy)
        } else if !self
            .limits
            .may_send(&server.backend, request.routing.purpose, now)
        {
            Some(SkipReason::Limit)
        } else {
            None
        }
    }

    /// Takes an offered trial if the request fits the server's memory.
    fn try_trial(
        &self,
        now: Time,
        request: &Request<'_>,
        pool: &Pool,
        route: Option<&RouteHealth>,
        candidates: &[Candidate<'_>],
    ) -> Option<(Decision, Option<Reservation>)> {
        let i = (0..candidates.len()).find(|&i| {
            let c = &candidates[i];
            c.health <= 0.0
                && c.skip_reason.is_none()
                && request.routing.memory_tokens() <= c.free_tokens
                && pool.take_trial(route, i)
                && self.take_permit(request, &pool.servers[i], now)
        })?;
        let scores = (0..candidates.len())
            .map(|other| (0.0, (other != i).then_some(SkipReason::Score)))
            .collect();
        let choice = Choice {
            index: Some(i),
            scores,
        };
        let decision = Decision::new(self.policy.load().name, Reason::Trial, candidates, &choice);
        // A trial that loses the race for memory is dropped without an outcome.
        let reserved = pool.servers[i]
            .memory
            .try_reserve(request.routing.memory_tokens());
        let mut reservation =
            self.reservation(now, request, &pool.servers[i], &candidates[i], true);
        if !reserved {
            reservation.reserved_tokens = 0;
            return None;
        }
        Some((decision, Some(reservation)))
    }

    fn reservation(
        &self,
        now: Time,
        request: &Request<'_>,
        server: &Arc<BackendServer>,
        candidate: &Candidate<'_>,
        trial: bool,
    ) -> Reservation {
        let prefill_tokens = unread_tokens(request.routing, candidate.cached_blocks);
        let expected_time = Duration::from_secs_f64(
            expected_ms(request.routing, candidate, candidate.cached_blocks) / 1e3,
        );
        server.load.record_send(now, prefill_tokens);
        if let Some(slot) = server.cache_slot {
            self.index.insert(slot, &request.routing.prefix);
        }
        Reservation {
            server: server.clone(),
            signals: self.signals.clone(),
            pool: request.pool.clone(),
            route: request.route.clone(),
            reserved_tokens: request.routing.memory_tokens(),
            prefill_tokens,
            sent_at: now,
            expected_time,
            has_first_token: false,
            ended_at: None,
            trial,
        }
    }
}
