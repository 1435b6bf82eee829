//! The backend servers in use, with the node's own open work at each.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        Arc, Mutex, MutexGuard,
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use cassiareel::runtime::{lock, Spawner};

use crate::{
    clock::{self, millis, Moment},
    dialect::Load,
    kernel::{Candidate, Health},
    model::{Entry, Phase, ServiceId},
    net::Pool,
    wishes::{Wish, Wishes},
};

/// A backend server in use.
#[derive(Debug)]
pub(crate) struct Member {
    /// A number of its own, never used again.
    pub number: u64,
    /// What the registry says.
    pub entry: Entry,
    /// Kept connections.
    pub pool: Pool,
    /// What it asked of this node.
    wish: Arc<Wish>,
    /// Whether the registry says that it takes no new work.
    closed: AtomicBool,
    /// When it became known.
    since: Moment,
    ended: AtomicBool,
    open: AtomicU32,
    unread: AtomicU64,
    tokens: AtomicU64,
    heard: AtomicU64,
    lost: AtomicU64,
    told: Mutex<Told>,
    health: Mutex<Health>,
}

/// The load that was told last.
#[derive(Clone, Copy, Debug, Default)]
struct Told {
    others: u32,
    at: Moment,
}

impl Member {
    fn new(number: u64, entry: Entry, wish: Arc<Wish>, spawner: &Spawner) -> Member {
        Member {
            number,
            wish,
            pool: Pool::new(entry.address, spawner.clone()),
            closed: AtomicBool::new(entry.phase == Phase::Draining),
            since: clock::now(),
            entry,
            ended: AtomicBool::new(false),
            open: AtomicU32::new(0),
            unread: AtomicU64::new(0),
            tokens: AtomicU64::new(0),
            heard: AtomicU64::new(0),
            lost: AtomicU64::new(0),
            told: Mutex::default(),
            health: Mutex::default(),
        }
    }

    /// The facts for a choice.
    pub(crate) fn candidate(&self, now: Moment, near: bool) -> Candidate {
        let told = *lock(&self.told);
        let health = lock(&self.health);
        Candidate {
            local: near,
            slots: self.entry.slots,
            open_requests: self.open.load(Ordering::Relaxed),
            unread_tokens: self.unread.load(Ordering::Relaxed),
            peak_tokens: self.tokens.load(Ordering::Relaxed),
            other_requests: told.others,
            report_age: now.saturating_sub(told.at),
            latency: health.latency(),
            service_time: health.service_time(),
            error_rate: health.error_rate(),
            suspect: health.is_suspect(now),
            preference_rank: 0.0,
            tried: false,
            excluded: !self.is_open(now),
        }
    }

    /// Takes in a load that the backend server told.
    pub(crate) fn told(&self, load: Load, now: Moment) {
        let own = self.open.load(Ordering::Relaxed);
        let all = load.running + load.waiting;
        *lock(&self.told) = Told {
            others: all.saturating_sub(own),
            at: now,
        };
    }

    /// Its health, to read or update.
    pub(crate) fn health(&self) -> MutexGuard<'_, Health> {
        lock(&self.health)
    }

    /// Notes bytes from it.
    pub(crate) fn hear(&self, now: Moment) {
        self.heard.store(millis(now), Ordering::Relaxed);
    }

    /// Reports whether any byte came from it in the last `span`.
    pub(crate) fn was_heard(&self, now: Moment, span: Duration) -> bool {
        let heard = self.heard.load(Ordering::Relaxed);
        heard > 0 && millis(now).saturating_sub(heard) < millis(span)
    }

    /// Reports whether any byte came from it after `since`.
    pub(crate) fn was_heard_since(&self, since: Moment) -> bool {
        let heard = self.heard.load(Ordering::Relaxed);
        heard > 0 && heard >= millis(since)
    }

    /// Notes that it is believed to be gone.
    pub(crate) fn lose(&self, now: Moment) {
        self.lost.store(millis(now), Ordering::Relaxed);
        self.health().record_loss(now);
        self.pool.clear();
    }

    /// Notes that another process has its address.
    pub(crate) fn replaced(&self) {
        self.ended.store(true, Ordering::Relaxed);
        self.pool.clear();
    }

    /// Reports whether it leaves, by its own word or the registry's.
    pub(crate) fn is_leaving(&self) -> bool {
        self.closed.load(Ordering::Relaxed) || self.wish.is_leaving()
    }

    /// What it asked of this node.
    pub(crate) fn wish(&self) -> &Wish {
        &self.wish
    }

    /// Reports whether its process is known to have ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    /// Reports whether it takes new work from this node.
    pub(crate) fn is_open(&self, now: Moment) -> bool {
        !self.is_leaving() && !self.has_ended() && self.wish.rest_left(now).is_none()
    }

    /// Reports whether its process is known to have ended or is believed to be lost since `since`.
    pub(crate) fn is_gone(&self, since: Moment) -> bool {
        self.has_ended() || self.was_lost(since)
    }

    /// Reports whether it was believed to be gone at or after `since`, and was not heard after it.
    pub(crate) fn was_lost(&self, since: Moment) -> bool {
        let lost = self.lost.load(Ordering::Relaxed);
        lost > 0 && lost >= millis(since) && self.heard.load(Ordering::Relaxed) <= lost
    }
}

/// One open request at a backend server; dropping it takes the request off the counts.
#[derive(Debug)]
pub(crate) struct Place {
    /// The backend server.
    pub member: Arc<Member>,
    unread: u64,
    tokens: u64,
    slot: bool,
}

impl Place {
    /// A place of a request that runs, with prompt tokens to read and memory at its end.
    pub(crate) fn run(member: &Arc<Member>, unread: u64, tokens: u64) -> Place {
        member.open.fetch_add(1, Ordering::Relaxed);
        Place::count(member, unread, tokens, true)
    }

    /// A place of a copy of another engine's run, which takes memory only.
    pub(crate) fn copy(member: &Arc<Member>, tokens: u64) -> Place {
        Place::count(member, 0, tokens, false)
    }

    /// Notes that the prompt was read.
    pub(crate) fn read(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        self.member.unread.fetch_sub(unread, Ordering::Relaxed);
    }

    fn count(member: &Arc<Member>, unread: u64, tokens: u64, slot: bool) -> Place {
        member.unread.fetch_add(unread, Ordering::Relaxed);
        member.tokens.fetch_add(tokens, Ordering::Relaxed);
        Place {
            member: member.clone(),
            unread,
            tokens,
            slot,
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.read();
        self.member.tokens.fetch_sub(self.tokens, Ordering::Relaxed);
        if self.slot {
            self.member.open.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// The members of one service.
pub(crate) type Members = Arc<Vec<Arc<Member>>>;

/// The backend servers of all services; requests read it without a lock.
#[derive(Debug)]
pub(crate) struct Fleet {
    services: ArcSwap<HashMap<ServiceId, Members>>,
    wishes: Wishes,
    numbers: AtomicU64,
    spawner: Spawner,
}

impl Fleet {
    /// No backend server is known.
    pub(crate) fn new(spawner: Spawner) -> Fleet {
        Fleet {
            services: ArcSwap::default(),
            wishes: Wishes::default(),
            numbers: AtomicU64::new(1),
            spawner,
        }
    }

    /// The members of a service.
    pub(crate) fn members(&self, service: &str) -> Members {
        self.services
            .load()
            .get(service)
            .cloned()
            .unwrap_or_default()
    }

    /// When the first of a service's members wants requests again, where those that live and stay want
    /// none now.
    pub(crate) fn rest_left(&self, service: &str, now: Moment) -> Option<Duration> {
        let members = self.members(service);
        let stay = members
            .iter()
            .filter(|member| !member.is_leaving() && !member.has_ended());
        let rests: Option<Vec<Duration>> = stay.map(|member| member.wish.rest_left(now)).collect();
        rests?.into_iter().min()
    }

    /// The part of a service's members that became known in the last `span`.
    pub(crate) fn turnover(&self, service: &str, span: Duration, now: Moment) -> f64 {
        let members = self.members(service);
        let is_new = |member: &&Arc<Member>| now.saturating_sub(member.since) < span;
        let new = members.iter().filter(is_new).count();
        new as f64 / members.len().max(1) as f64
    }

    /// Replaces what is known. Processes that stay keep their state.
    pub(crate) fn replace<'a, I>(&self, entries: I)
    where
        I: Iterator<Item = &'a Entry>,
    {
        let old = self.services.load_full();
        let mut services: HashMap<ServiceId, Vec<Arc<Member>>> = HashMap::new();
        let mut kept = Vec::new();
        for entry in newest_by_address(entries) {
            let member = self.keep_or_add(&old, entry);
            kept.push(member.number);
            services
                .entry(entry.service.clone())
                .or_default()
                .push(member);
        }
        for member in old.values().flat_map(|members| members.iter()) {
            if !kept.contains(&member.number) {
                member.replaced();
            }
        }
        let services = services
            .into_iter()
            .map(|(service, members)| (service, Arc::new(members)))
            .collect();
        self.services.store(Arc::new(services));
    }

    /// The member of a process that is known, or a new one.
    fn keep_or_add(&self, old: &HashMap<ServiceId, Members>, entry: &Entry) -> Arc<Member> {
        let known = old
            .get(&entry.service)
            .and_then(|members| members.iter().find(|m| m.entry.is_same_process(entry)));
        match known {
            Some(member) => {
                let draining = entry.phase == Phase::Draining;
                member.closed.store(draining, Ordering::Relaxed);
                member.clone()
            }
            None => {
                let number = self.numbers.fetch_add(1, Ordering::Relaxed);
                let wish = self.wishes.of(entry.process_key());
                Arc::new(Member::new(number, entry.clone(), wish, &self.spawner))
            }
        }
    }
}

/// Leaves out entries whose address a process that started later has: theirs has ended, though the
/// registry drops them only after a while.
fn newest_by_address<'a, I>(entries: I) -> Vec<&'a Entry>
where
    I: Iterator<Item = &'a Entry>,
{
    let mut newest: HashMap<SocketAddr, &Entry> = HashMap::new();
    let mut undated = Vec::new();
    for entry in entries {
        if entry.start_time.is_none() {
            undated.push(entry);
            continue;
        }
        let held = newest.entry(entry.address).or_insert(entry);
        if held.start_time < entry.start_time {
            *held = entry;
        }
    }
    newest.into_values().chain(undated).collect()
}
