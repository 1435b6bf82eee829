//! The table and the choice.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use arc_swap::ArcSwap;
use async_channel::Receiver;

use super::{
    judge::{Judge, Moved, RouteId, Told},
    pool::{Pool, Standing},
    ticket::Signals,
    CacheFeed, Decision, Member, PoolId, Reason, Ticket,
};
use crate::{
    backend::{CacheEvents, LoadReport},
    kernel::{
        health::{self, Outcome},
        routing::{
            self, expected_ms, unread_tokens, Ask, Candidate, Choice, Pass, Policy, PrefixIndex,
            Slot, Subsets,
        },
        BackendId, DataCentreId, NodeId, Time,
    },
};

/// How a table is made.
#[derive(Clone, Debug)]
pub struct Options {
    /// The policy's name.
    pub policy: &'static str,
    /// Blocks of prompts that are remembered.
    pub blocks: usize,
    /// Backend servers whose caches are remembered.
    pub slots: usize,
    /// Tokens of prompts that may wait at one engine for their first token, of all nodes.
    pub backlog: u64,
    /// Bounds on ejection and return.
    pub health: health::Limits,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            policy: "first-token",
            blocks: 1 << 18,
            slots: 64,
            backlog: 8_192,
            health: health::Limits::default(),
        }
    }
}

/// Where a version's backend servers are.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placement {
    /// The version's pool.
    pub pool: PoolId,
    /// Whether they are model engines.
    pub model: bool,
    /// The servers with their data centres.
    pub servers: Vec<(BackendId, DataCentreId)>,
}

/// The nodes that share the backend servers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fleet {
    /// Every node of the platform's list of VMs, reachable or not.
    pub nodes: Vec<NodeId>,
    /// This node.
    pub own: NodeId,
    /// Servers of each version that a node uses at most.
    pub subset: usize,
}

/// A request that needs a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The version's pool.
    pub pool: &'a PoolId,
    /// The route.
    pub route: &'a RouteId,
    /// What is known of it.
    pub ask: &'a Ask,
    /// Servers that it was lost at before.
    pub exclude: &'a [BackendId],
}

/// Outcomes that wait to be judged before further ones are dropped.
const TOLD: usize = 4096;
/// Choices in a row that may lose a race for memory.
const RACES: usize = 3;

/// A node's table of backend servers.
pub struct Engines {
    options: Options,
    policy: ArcSwap<Named>,
    table: ArcSwap<Table>,
    index: PrefixIndex,
    signals: Arc<Signals>,
    told: Receiver<Told>,
    room: Receiver<()>,
    // Only what replaces the table takes the lock; a request never does.
    writer: Mutex<Writer>,
}

/// A policy with its name.
struct Named {
    name: &'static str,
    policy: Box<dyn Policy>,
}

/// What the table points to.
#[derive(Debug, Default)]
struct Table {
    pools: HashMap<PoolId, Arc<Pool>>,
    members: HashMap<BackendId, Arc<Member>>,
}

/// What the replacers of the table keep.
#[derive(Debug, Default)]
struct Writer {
    judge: Judge,
    feeds: HashMap<BackendId, CacheFeed>,
    slots: Vec<Slot>,
}

impl Engines {
    /// Makes an empty table; none where no policy has the name in the options.
    pub fn new(options: Options) -> Option<Engines> {
        let policy = Named {
            name: options.policy,
            policy: routing::policy(options.policy)?,
        };
        let (told_in, told) = async_channel::bounded(TOLD);
        let (room_in, room) = async_channel::bounded(1);
        let writer = Writer {
            judge: Judge::new(options.health),
            feeds: HashMap::new(),
            slots: (0..options.slots).rev().collect(),
        };
        Some(Engines {
            policy: ArcSwap::from_pointee(policy),
            table: ArcSwap::default(),
            index: PrefixIndex::new(options.blocks, options.slots),
            signals: Arc::new(Signals {
                told: told_in,
                room: room_in,
            }),
            told,
            room,
            writer: Mutex::new(writer),
            options,
        })
    }

    /// Replaces the policy; false where no policy has the name, and the old one stays.
    pub fn set_policy(&self, name: &str) -> bool {
        if self.policy.load().name == name {
            return true;
        }
        let Some((name, policy)) = routing::named_policy(name) else {
            return false;
        };
        self.policy.store(Arc::new(Named { name, policy }));
        true
    }

    /// Replaces the servers by those of new settings or of a new membership. What is known of a
    /// server that stays is kept.
    pub fn update(&self, placements: &[Placement], fleet: &Fleet) {
        let mut writer = self.lock();
        let old = self.table.load_full();
        let mut table = Table::default();
        for placement in placements {
            let pool = self.pool(placement, fleet, &old, &mut table, &mut writer.slots);
            table.pools.insert(placement.pool.clone(), Arc::new(pool));
        }
        for (name, member) in &old.members {
            if !table.members.contains_key(name) {
                writer.feeds.remove(name);
                if let Some(slot) = member.slot {
                    self.index.replace(slot, &[]);
                    writer.slots.push(slot);
                }
            }
        }
        writer
            .judge
            .set_pools(table.pools.iter().map(|(id, pool)| (id, &**pool)));
        self.table.store(Arc::new(table));
    }

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
    ) -> (Decision, Option<Ticket>) {
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
        if request.ask.idempotent {
            if let Some(found) = self.try_trial(now, request, pool, route, &candidates) {
                return found;
            }
        }
        let mut choice = named.policy.choose(request.ask, &candidates, random);
        for _ in 0..RACES {
            let Some(i) = choice.index else {
                break;
            };
            if pool.members[i].memory.hold(request.ask.tokens()) {
                let decision = Decision::new(named.name, Reason::Policy, &candidates, &choice);
                let ticket = self.ticket(now, request, &pool.members[i], &candidates[i], false);
                return (decision, Some(ticket));
            }
            // Another thread took the memory in between.
            candidates[i].barred = Some(Pass::Memory);
            choice = named.policy.choose(request.ask, &candidates, random);
        }
        choice.index = None;
        let decision = Decision::new(named.name, Reason::NoneFit, &candidates, &choice);
        (decision, None)
    }

    /// Takes an engine's report of its load.
    pub fn on_load(&self, now: Time, backend: &str, report: &LoadReport) {
        if let Some(member) = self.table.load().members.get(backend) {
            member.report(now, report);
            let _ = self.signals.room.try_send(());
        }
    }

    /// Takes an engine's cache events, or a snapshot.
    pub fn on_cache(&self, backend: &str, answer: &CacheEvents) {
        let Some(slot) = self.member(backend).and_then(|member| member.slot) else {
            return;
        };
        let mut writer = self.lock();
        let feed = writer.feeds.entry(backend.into()).or_default();
        feed.apply(slot, answer, &self.index);
    }

    /// What to ask an engine's cache for next.
    pub fn cache_fetch(&self, backend: &str) -> super::Fetch {
        let writer = self.lock();
        writer
            .feeds
            .get(backend)
            .cloned()
            .unwrap_or_default()
            .fetch()
    }

    /// Holes seen in cache events of all engines.
    pub fn cache_gaps(&self) -> u64 {
        self.lock().feeds.values().map(CacheFeed::gaps).sum()
    }

    /// Notes that an engine could not be asked, for every pool that it is in.
    pub fn on_lost(&self, backend: &str) {
        let table = self.table.load();
        for (id, pool) in &table.pools {
            if let Some(member) = pool.members.iter().find(|m| &*m.backend == backend) {
                let _ = self.signals.told.try_send(Told {
                    pool: id.clone(),
                    route: "".into(),
                    backend: member.backend.clone(),
                    outcome: Some(Outcome::Lost),
                });
            }
        }
    }

    /// Judges the outcomes since the last time and publishes the servers' weights.
    pub fn tick(&self, now: Time) -> Vec<Moved> {
        let mut writer = self.lock();
        let mut table = self.table.load_full();
        let mut moved = Vec::new();
        while let Ok(told) = self.told.try_recv() {
            if let Some(pool) = table.pools.get(&told.pool) {
                moved.extend(writer.judge.record(now, &told, pool));
            }
        }
        moved.extend(writer.judge.tick(now));
        let extended: Vec<_> = table
            .pools
            .iter()
            .filter_map(|(id, pool)| Some((id.clone(), writer.judge.extend(id, pool)?)))
            .collect();
        if !extended.is_empty() {
            let mut pools = table.pools.clone();
            pools.extend(extended.into_iter().map(|(id, pool)| (id, Arc::new(pool))));
            table = Arc::new(Table {
                pools,
                members: table.members.clone(),
            });
            self.table.store(table.clone());
        }
        for (id, pool) in &table.pools {
            writer.judge.publish(now, id, pool);
            pool.note_lacking(id);
        }
        moved
    }

    /// Waits until there may be room for a request that found none.
    pub async fn room(&self) {
        // The sending side is kept by the table itself, so that this does not fail.
        let _ = self.room.recv().await;
    }

    /// A backend server, by its address.
    pub fn member(&self, backend: &str) -> Option<Arc<Member>> {
        self.table.load().members.get(backend).cloned()
    }

    /// The addresses of the model engines.
    pub fn models(&self) -> Vec<BackendId> {
        let table = self.table.load();
        let models = table.members.values().filter(|member| member.is_model());
        models.map(|member| member.backend.clone()).collect()
    }

    /// The tokens that this node's requests hold at a server.
    pub fn held(&self, backend: &str) -> u64 {
        self.member(backend)
            .map_or(0, |member| member.memory.held())
    }

    /// Bytes of the prefix index.
    pub fn index_bytes(&self) -> usize {
        self.index.bytes()
    }

    /// The servers of a pool that this node uses, in the order of their names.
    fn pool(
        &self,
        placement: &Placement,
        fleet: &Fleet,
        old: &Table,
        table: &mut Table,
        slots: &mut Vec<Slot>,
    ) -> Pool {
        let mut servers = placement.servers.clone();
        servers.sort();
        servers.dedup();
        let names: Vec<BackendId> = servers.iter().map(|(name, _)| name.clone()).collect();
        let subsets = Subsets::assign(&fleet.nodes, &names, fleet.subset);
        let own = fleet.nodes.iter().position(|node| *node == fleet.own);
        // A node that the list of VMs does not name yet uses the subset of the first one.
        let mut held = subsets.of(own.unwrap_or(0)).to_vec();
        held.sort_unstable();
        let members: Vec<Arc<Member>> = held
            .iter()
            .map(|&s| {
                let (name, data_centre) = &servers[s as usize];
                let kept = table.members.get(name).or_else(|| old.members.get(name));
                let member = kept.cloned().unwrap_or_else(|| {
                    let slot = if placement.model { slots.pop() } else { None };
                    let (name, data_centre) = (name.clone(), data_centre.clone());
                    Arc::new(Member::new(name, data_centre, slot, placement.model))
                });
                member.set_sharers(subsets.sharers(s as usize));
                table.members.insert(name.clone(), member.clone());
                member
            })
            .collect();
        let pool = Pool::new(members);
        pool.note_lacking(&placement.pool);
        pool
    }

    fn candidates<'a>(
        &self,
        now: Time,
        request: &Request<'_>,
        pool: &'a Pool,
        route: Option<&Standing>,
    ) -> Vec<Candidate<'a>> {
        let mut depths = vec![0; self.index.slots()];
        if !request.ask.prefix.is_empty() {
            self.index.depths(&request.ask.prefix, &mut depths);
        }
        let key = routing::prefix_key(&request.ask.prefix);
        let candidate = |(i, member): (usize, &'a Arc<Member>)| {
            let sharers = member.sharers();
            Candidate {
                backend: &member.backend,
                data_centre: &member.data_centre,
                outstanding: member.load.outstanding(now, sharers),
                backlog: member.load.backlog(sharers),
                free_tokens: member.memory.free(),
                cached: member.slot.map_or(0, |slot| depths[slot]),
                home: key.map_or(0, |key| routing::home_weight(member.seed, key)),
                health: pool.weight(route, i),
                token_ms: member.load.token_ms(),
                pace: member.load.pace(),
                barred: self.barred(request, pool, i),
            }
        };
        pool.members.iter().enumerate().map(candidate).collect()
    }

    /// Tells why a server can't be chosen, whatever the policy.
    fn barred(&self, request: &Request<'_>, pool: &Pool, i: usize) -> Option<Pass> {
        let member = &pool.members[i];
        let backlog = member.load.own_backlog() * u64::from(member.sharers());
        if request.exclude.contains(&member.backend) {
            Some(Pass::Excluded)
        } else if member.is_leaving() {
            Some(Pass::Leaving)
        } else if pool.is_lacking(i) {
            Some(Pass::Unloaded)
        } else if member.is_model() && backlog >= self.options.backlog {
            Some(Pass::Busy)
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
    ) -> Option<(Decision, Option<Ticket>)> {
        let i = (0..candidates.len()).find(|&i| {
            let c = &candidates[i];
            c.health <= 0.0
                && c.barred.is_none()
                && request.ask.tokens() <= c.free_tokens
                && pool.take_trial(route, i)
        })?;
        let scores = (0..candidates.len())
            .map(|other| (0.0, (other != i).then_some(Pass::Score)))
            .collect();
        let choice = Choice {
            index: Some(i),
            scores,
        };
        let decision = Decision::new(self.policy.load().name, Reason::Trial, candidates, &choice);
        // A trial that loses the race for memory is told as one that told nothing.
        let held = pool.members[i].memory.hold(request.ask.tokens());
        let mut ticket = self.ticket(now, request, &pool.members[i], &candidates[i], true);
        if !held {
            ticket.need = 0;
            return None;
        }
        Some((decision, Some(ticket)))
    }

    fn ticket(
        &self,
        now: Time,
        request: &Request<'_>,
        member: &Arc<Member>,
        candidate: &Candidate<'_>,
        trial: bool,
    ) -> Ticket {
        let read = unread_tokens(request.ask, candidate.cached);
        let expected =
            Duration::from_secs_f64(expected_ms(request.ask, candidate, candidate.cached) / 1e3);
        member.load.send(now, read);
        if let Some(slot) = member.slot {
            self.index.insert(slot, &request.ask.prefix);
        }
        Ticket {
            member: member.clone(),
            signals: self.signals.clone(),
            pool: request.pool.clone(),
            route: request.route.clone(),
            need: request.ask.tokens(),
            read,
            sent: now,
            expected,
            began: false,
            ended: None,
            trial,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Writer> {
        self.writer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl std::fmt::Debug for Engines {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Engines")
            .field("options", &self.options)
            .finish_non_exhaustive()
    }
}
