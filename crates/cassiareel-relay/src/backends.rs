//! The backend servers in use, with the node's own open work at each.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        Arc, Mutex, MutexGuard,
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use cassiareel::{
    kernel::suspect::ProcessKey,
    runtime::{lock, Spawner},
};

use crate::{
    backoff::{Backoff, Backoffs},
    clock::{self, millis, Moment},
    kernel::{Candidate, Health, ReportedLoad},
    model::{Entry, Phase, ServiceId},
    net::Pool,
    protocol::Load,
};

/// A backend server in use.
#[derive(Debug)]
pub(crate) struct Backend {
    /// A number that is unique to this backend server and never used again.
    pub number: u64,
    /// Its entry in the registry.
    pub entry: Entry,
    process: ProcessKey,
    /// The pool of connections to it.
    pub pool: Pool,
    /// The backoff that it has requested of this node.
    backoff: Arc<Backoff>,
    /// Whether the registry says that it takes no new work.
    is_draining: AtomicBool,
    /// When it became known.
    known_since: Moment,
    ended_at_ms: AtomicU64,
    /// Whether the registry has no entry of it any more.
    is_removed: AtomicBool,
    open_requests: AtomicU32,
    unread_tokens: AtomicU64,
    tokens: AtomicU64,
    received_at_ms: AtomicU64,
    lost_at_ms: AtomicU64,
    unreachable_at_ms: AtomicU64,
    reported: Mutex<ReportedLoad>,
    health: Mutex<Health>,
}

impl Backend {
    fn new(number: u64, entry: Entry, backoff: Arc<Backoff>, spawner: &Spawner) -> Backend {
        Backend {
            number,
            process: entry.process_key(),
            backoff,
            pool: Pool::new(entry.address, spawner.clone()),
            is_draining: AtomicBool::new(entry.phase == Phase::Draining),
            known_since: clock::now(),
            entry,
            ended_at_ms: AtomicU64::new(0),
            is_removed: AtomicBool::new(false),
            open_requests: AtomicU32::new(0),
            unread_tokens: AtomicU64::new(0),
            tokens: AtomicU64::new(0),
            received_at_ms: AtomicU64::new(0),
            lost_at_ms: AtomicU64::new(0),
            unreachable_at_ms: AtomicU64::new(0),
            reported: Mutex::default(),
            health: Mutex::default(),
        }
    }

    /// Returns the facts by which it is chosen or not.
    pub(crate) fn candidate(&self, now: Moment, near: bool) -> Candidate {
        let reported = *lock(&self.reported);
        let health = lock(&self.health);
        Candidate {
            local: near,
            slots: self.entry.slots,
            open_requests: self.open_requests.load(Ordering::Relaxed),
            unread_tokens: self.unread_tokens.load(Ordering::Relaxed),
            peak_tokens: self.tokens.load(Ordering::Relaxed),
            other_requests: reported.others(),
            usual_requests: reported.usual_others(now),
            report_age: reported.age(now),
            latency: health.latency(),
            service_time: health.service_time(),
            work_factor: reported.work_factor(now),
            error_rate: health.error_rate(),
            suspect: health.is_suspect(now),
            preference_rank: 0.0,
            tried: false,
            excluded: !self.accepts_requests(now),
        }
    }

    /// Returns the number of the node's own open requests at it.
    pub(crate) fn open_requests(&self) -> u32 {
        self.open_requests.load(Ordering::Relaxed)
    }

    /// Records a load that the backend server reported.
    pub(crate) fn note_load(&self, load: Load, now: Moment) {
        let own = self.open_requests.load(Ordering::Relaxed);
        let requests = load.running + load.waiting;
        lock(&self.reported).record(requests, own, load.work_percent, now);
    }

    /// Returns the key of its process, which is the same on all nodes.
    pub(crate) fn process(&self) -> ProcessKey {
        self.process
    }

    /// Locks its health, to read or update it.
    pub(crate) fn health(&self) -> MutexGuard<'_, Health> {
        lock(&self.health)
    }

    /// Records that bytes were received from it.
    pub(crate) fn note_received(&self, now: Moment) {
        self.received_at_ms.store(millis(now), Ordering::Relaxed);
    }

    /// Reports whether any byte was received from it in the last `span`.
    pub(crate) fn received_within(&self, now: Moment, span: Duration) -> bool {
        let received = self.received_at_ms.load(Ordering::Relaxed);
        received > 0 && millis(now).saturating_sub(received) < millis(span)
    }

    /// Reports whether any byte was received from it at or after `since`.
    pub(crate) fn received_since(&self, since: Moment) -> bool {
        let received = self.received_at_ms.load(Ordering::Relaxed);
        received > 0 && received >= millis(since)
    }

    /// Records that its process may be lost, so that it is avoided for a while. Its runs go on.
    pub(crate) fn mark_lost(&self, now: Moment) {
        self.lost_at_ms.store(millis(now), Ordering::Relaxed);
        self.health().record_loss(now);
        self.pool.clear();
    }

    /// Records that a connection attempt got no answer. The VM of a process that only pauses
    /// accepts connections.
    pub(crate) fn mark_unreachable(&self, now: Moment) {
        self.unreachable_at_ms.store(millis(now), Ordering::Relaxed);
    }

    /// Records that its process has ended: nothing or another process listens at its address.
    pub(crate) fn mark_ended(&self) {
        let now = millis(clock::now()).max(1);
        self.ended_at_ms.store(now, Ordering::Relaxed);
        self.pool.clear();
    }

    /// Records that the registry has no entry of it any more. It gets no new work; its process may
    /// go on serving for a while, so its requests go on.
    fn mark_removed(&self) {
        self.is_removed.store(true, Ordering::Relaxed);
        self.pool.clear();
    }

    /// Reports whether the registry has no entry of it any more.
    pub(crate) fn is_removed(&self) -> bool {
        self.is_removed.load(Ordering::Relaxed)
    }

    /// Reports whether it is leaving, by its own answer or by the registry.
    pub(crate) fn is_leaving(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed) || self.is_removed() || self.backoff.is_leaving()
    }

    /// Returns the backoff that it has requested of this node.
    pub(crate) fn backoff(&self) -> &Backoff {
        &self.backoff
    }

    /// Reports whether its process is known to have ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.ended_at_ms.load(Ordering::Relaxed) > 0
    }

    /// Reports whether its process is known to have ended, and no byte was received from it after
    /// that. A process that closes its listener may still finish its requests.
    pub(crate) fn has_ended_silently(&self) -> bool {
        self.was_marked(&self.ended_at_ms, Moment::ZERO)
    }

    /// Reports whether it takes new work from this node.
    pub(crate) fn accepts_requests(&self, now: Moment) -> bool {
        self.is_staying() && self.backoff.left(now).is_none()
    }

    /// Reports whether it may take new work now or later.
    fn is_staying(&self) -> bool {
        !self.is_leaving() && !self.has_ended()
    }

    /// Reports whether its process is known to have ended, or may be lost since `since`.
    pub(crate) fn is_gone(&self, since: Moment) -> bool {
        self.has_ended() || self.was_lost(since)
    }

    /// Reports whether it was marked as lost at or after `since`, and no byte was received from it
    /// after that.
    pub(crate) fn was_lost(&self, since: Moment) -> bool {
        self.was_marked(&self.lost_at_ms, since)
    }

    /// Reports whether it was found to be unreachable at or after `since`, and no byte was received
    /// from it after that.
    pub(crate) fn was_unreachable(&self, since: Moment) -> bool {
        self.was_marked(&self.unreachable_at_ms, since)
    }

    /// Reports whether the time in `mark` is not before `since`, and no byte was received after it.
    fn was_marked(&self, mark: &AtomicU64, since: Moment) -> bool {
        let marked = mark.load(Ordering::Relaxed);
        let received = self.received_at_ms.load(Ordering::Relaxed);
        marked > 0 && marked >= millis(since) && received <= marked
    }
}

/// Counts one open request, or one copy of a run, at a backend server; dropping it removes the
/// counts.
#[derive(Debug)]
pub(crate) struct LoadGuard {
    /// The backend server.
    pub backend: Arc<Backend>,
    unread: u64,
    tokens: u64,
    takes_slot: bool,
}

impl LoadGuard {
    /// Counts a request that runs, with the prompt tokens to be read and the tokens in memory at
    /// its end.
    pub(crate) fn run(backend: &Arc<Backend>, unread: u64, tokens: u64) -> LoadGuard {
        backend.open_requests.fetch_add(1, Ordering::Relaxed);
        LoadGuard::count(backend, unread, tokens, true)
    }

    /// Counts a copy of another engine's run, which takes memory only.
    pub(crate) fn copy(backend: &Arc<Backend>, tokens: u64) -> LoadGuard {
        LoadGuard::count(backend, 0, tokens, false)
    }

    /// Records that the prompt was read.
    pub(crate) fn note_prompt_read(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        self.backend
            .unread_tokens
            .fetch_sub(unread, Ordering::Relaxed);
    }

    fn count(backend: &Arc<Backend>, unread: u64, tokens: u64, takes_slot: bool) -> LoadGuard {
        backend.unread_tokens.fetch_add(unread, Ordering::Relaxed);
        backend.tokens.fetch_add(tokens, Ordering::Relaxed);
        LoadGuard {
            backend: backend.clone(),
            unread,
            tokens,
            takes_slot,
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.note_prompt_read();
        self.backend
            .tokens
            .fetch_sub(self.tokens, Ordering::Relaxed);
        if self.takes_slot {
            self.backend.open_requests.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// The backend servers of one service.
pub(crate) type ServiceBackends = Arc<Vec<Arc<Backend>>>;

/// The backend servers of all services; requests read it without a lock.
#[derive(Debug)]
pub(crate) struct Backends {
    services: ArcSwap<HashMap<ServiceId, ServiceBackends>>,
    backoffs: Backoffs,
    next_number: AtomicU64,
    spawner: Spawner,
}

impl Backends {
    /// Creates an empty set.
    pub(crate) fn new(spawner: Spawner) -> Backends {
        Backends {
            services: ArcSwap::default(),
            backoffs: Backoffs::default(),
            next_number: AtomicU64::new(1),
            spawner,
        }
    }

    /// Returns the backend servers of a service.
    pub(crate) fn of_service(&self, service: &str) -> ServiceBackends {
        self.services
            .load()
            .get(service)
            .cloned()
            .unwrap_or_default()
    }

    /// Returns the time until the first backend server of a service takes requests, of those that
    /// are neither leaving nor ended: after the backoff that it requested, and after the time that
    /// `limit_wait` returns for its limit. Returns `None` if there are none.
    pub(crate) fn time_to_accept<F>(
        &self,
        service: &str,
        now: Moment,
        limit_wait: F,
    ) -> Option<Duration>
    where
        F: Fn(&Backend) -> Duration,
    {
        let backends = self.of_service(service);
        let staying = backends.iter().filter(|backend| backend.is_staying());
        let times = staying.map(|backend| {
            let backoff = backend.backoff.left(now).unwrap_or_default();
            backoff.max(limit_wait(backend))
        });
        times.min()
    }

    /// Returns the backend server whose process has a key.
    pub(crate) fn find_process(&self, process: ProcessKey) -> Option<Arc<Backend>> {
        let services = self.services.load();
        let mut backends = services.values().flat_map(|backends| backends.iter());
        backends.find(|backend| backend.process == process).cloned()
    }

    /// Returns the part of a service's backend servers that became known in the last `span`.
    pub(crate) fn turnover(&self, service: &str, span: Duration, now: Moment) -> f64 {
        let backends = self.of_service(service);
        let is_new = |backend: &&Arc<Backend>| now.saturating_sub(backend.known_since) < span;
        let new = backends.iter().filter(is_new).count();
        new as f64 / backends.len().max(1) as f64
    }

    /// Replaces the backend servers by those in the registry. Processes that stay keep their state.
    pub(crate) fn replace<'a, I>(&self, entries: I)
    where
        I: Iterator<Item = &'a Entry>,
    {
        let old = self.services.load_full();
        let known: HashMap<ProcessKey, &Arc<Backend>> = old
            .values()
            .flat_map(|backends| backends.iter())
            .map(|backend| (backend.process, backend))
            .collect();
        let mut services: HashMap<ServiceId, Vec<Arc<Backend>>> = HashMap::new();
        let mut kept = HashSet::new();
        let mut addresses = HashSet::new();
        for entry in newest_by_address(entries) {
            addresses.insert(entry.address);
            let backend = self.keep_or_add(&known, entry);
            kept.insert(backend.number);
            services
                .entry(entry.service.clone())
                .or_default()
                .push(backend);
        }
        for backend in old.values().flat_map(|backends| backends.iter()) {
            if kept.contains(&backend.number) {
                continue;
            }
            if addresses.contains(&backend.entry.address) {
                backend.mark_ended();
            } else {
                backend.mark_removed();
            }
        }
        let services = services
            .into_iter()
            .map(|(service, backends)| (service, Arc::new(backends)))
            .collect();
        self.services.store(Arc::new(services));
    }

    /// Returns the backend server of a known process, or creates one.
    fn keep_or_add(
        &self,
        known: &HashMap<ProcessKey, &Arc<Backend>>,
        entry: &Entry,
    ) -> Arc<Backend> {
        match known.get(&entry.process_key()) {
            Some(backend) if backend.entry.is_same_process(entry) => {
                let draining = entry.phase == Phase::Draining;
                backend.is_draining.store(draining, Ordering::Relaxed);
                Arc::clone(backend)
            }
            _ => {
                let number = self.next_number.fetch_add(1, Ordering::Relaxed);
                let backoff = self.backoffs.get_or_create(entry.process_key());
                Arc::new(Backend::new(number, entry.clone(), backoff, &self.spawner))
            }
        }
    }
}

/// Drops entries whose address is also that of a process that started later: their own process has
/// ended, though the registry drops them only after a while.
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
        let newest_entry = newest.entry(entry.address).or_insert(entry);
        if newest_entry.start_time < entry.start_time {
            *newest_entry = entry;
        }
    }
    newest.into_values().chain(undated).collect()
}
