//! The choice of a backend server in the table.

use std::{sync::Arc, time::Duration};

use super::{
    judge::RouteId,
    pool::{Pool, Standing},
    BackendTable, Decision, Member, PoolId, Reason, Reservation,
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
    /// What is known of it.
    pub routing: &'a RoutingRequest,
    /// Servers that it was lost at before.
    pub exclude: &'a [BackendId],
}

/// Choices in a row that may lose a race for memory.
const RACES: usize = 3;

impl BackendTable {
    /// Chooses a backend server and holds its memory; `random` is a fresh random number.
    ///
    /// # Panics
    ///
    /// Never, as long as policies return an index of a candidate.
    pub fn choose(
        &self,
        now: Time,
        request: &Request<'_>,
        random: u64,
    ) -> (Decision, Option<Reservation>) {
        let named = self.policy.load();
        let table = self.table.load();
        let pool = table
            .pools
            .get(request.pool)
            .filter(|pool| !pool.members.is_empty());
        let Some(pool) = pool else {
            return (Decision::unplaced(named.name), None);
        };
        let route = pool.routes.get(request.route).map(|route| &**route);
        let mut candidates = self.candidates(now, request, pool, route);
        if request.routing.idempotent {
            if let Some(found) = self.try_trial(now, request, pool, route, &candidates) {
                return found;
            }
        }
        let mut choice = named.policy.choose(request.routing, &candidates, random);
        for _ in 0..RACES {
            let Some(i) = choice.index else {
                break;
            };
            if pool.members[i]
                .memory
                .try_reserve(request.routing.memory_tokens())
            {
                let decision = Decision::new(named.name, Reason::Policy, &candidates, &choice);
                let reservation =
                    self.reservation(now, request, &pool.members[i], &candidates[i], false);
                return (decision, Some(reservation));
            }
            // Another thread took the memory in between.
            candidates[i].skip_reason = Some(SkipReason::Memory);
            choice = named.policy.choose(request.routing, &candidates, random);
        }
        choice.index = None;
        let decision = Decision::new(named.name, Reason::NoneFit, &candidates, &choice);
        (decision, None)
    }

    fn candidates<'a>(
        &self,
        now: Time,
        request: &Request<'_>,
        pool: &'a Pool,
        route: Option<&Standing>,
    ) -> Vec<Candidate<'a>> {
        let mut depths = vec![0; self.index.slots()];
        if !request.routing.prefix.is_empty() {
            self.index.depths(&request.routing.prefix, &mut depths);
        }
        let key = routing::prefix_key(&request.routing.prefix);
        let candidate = |(i, member): (usize, &'a Arc<Member>)| {
            let sharers = member.sharers();
            Candidate {
                backend: &member.backend,
                data_centre: &member.data_centre,
                outstanding: member.load.outstanding(now, sharers),
                backlog_tokens: member.load.backlog_tokens(sharers),
                free_tokens: member.memory.available(),
                cached_blocks: member.slot.map_or(0, |slot| depths[slot]),
                home_weight: key.map_or(0, |key| routing::home_weight(member.seed, key)),
                health: pool.weight(route, i),
                token_ms: member.load.token_ms(),
                slowdown: member.load.slowdown(),
                skip_reason: self.barred(request, pool, i),
            }
        };
        pool.members.iter().enumerate().map(candidate).collect()
    }

    /// Tells why a server can't be chosen, whatever the policy.
    fn barred(&self, request: &Request<'_>, pool: &Pool, i: usize) -> Option<SkipReason> {
        let member = &pool.members[i];
        let backlog = member.load.own_backlog_tokens() * u64::from(member.sharers());
        if request.exclude.contains(&member.backend) {
            Some(SkipReason::Excluded)
        } else if member.is_leaving() {
            Some(SkipReason::Leaving)
        } else if pool.is_lacking(i) {
            Some(SkipReason::Unloaded)
        } else if member.is_model() && backlog >= self.options.max_backlog_tokens {
            Some(SkipReason::Busy)
        } else {
            None
        }
    }

    /// Takes a trial that is offered, if the request fits.
    fn try_trial(
        &self,
        now: Time,
        request: &Request<'_>,
        pool: &Pool,
        route: Option<&Standing>,
        candidates: &[Candidate<'_>],
    ) -> Option<(Decision, Option<Reservation>)> {
        let i = (0..candidates.len()).find(|&i| {
            let c = &candidates[i];
            c.health <= 0.0
                && c.skip_reason.is_none()
                && request.routing.memory_tokens() <= c.free_tokens
                && pool.take_trial(route, i)
        })?;
        let scores = (0..candidates.len())
            .map(|other| (0.0, (other != i).then_some(SkipReason::Score)))
            .collect();
        let choice = Choice {
            index: Some(i),
            scores,
        };
        let decision = Decision::new(self.policy.load().name, Reason::Trial, candidates, &choice);
        // A trial that loses the race for memory is told as one that told nothing.
        let held = pool.members[i]
            .memory
            .try_reserve(request.routing.memory_tokens());
        let mut reservation =
            self.reservation(now, request, &pool.members[i], &candidates[i], true);
        if !held {
            reservation.need = 0;
            return None;
        }
        Some((decision, Some(reservation)))
    }

    fn reservation(
        &self,
        now: Time,
        request: &Request<'_>,
        member: &Arc<Member>,
        candidate: &Candidate<'_>,
        trial: bool,
    ) -> Reservation {
        let read = unread_tokens(request.routing, candidate.cached_blocks);
        let expected = Duration::from_secs_f64(
            expected_ms(request.routing, candidate, candidate.cached_blocks) / 1e3,
        );
        member.load.record_send(now, read);
        if let Some(slot) = member.slot {
            self.index.insert(slot, &request.routing.prefix);
        }
        Reservation {
            member: member.clone(),
            signals: self.signals.clone(),
            pool: request.pool.clone(),
            route: request.route.clone(),
            need: request.routing.memory_tokens(),
            read,
            sent: now,
            expected,
            began: false,
            ended: None,
            trial,
        }
    }
}
