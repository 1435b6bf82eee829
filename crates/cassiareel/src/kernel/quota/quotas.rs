//! All limits as one node knows them: the permits that it holds, and the quotas that it owns.

use std::{collections::HashMap, time::Duration};

use super::{
    super::{suspect::ProcessKey, Time},
    owners as owners_among, quota,
    reachability::Reachability,
    LimitChange, LimitReading, NodeKey, PermitGrant, PermitPool, PermitRequest, Purpose,
    QuotaOwner, Rate, ReportedReading, OWNER_DELAY,
};

/// The most processes that are kept; those without a limit are dropped.
const MAX_PROCESSES: usize = 1024;

/// How long a process without a limit is kept, so that an older answer does not bring the limit
/// back.
const ENDED_RETENTION: Duration = Duration::from_secs(60);

/// One call to a node: a request for permits of each process, or none for a probe.
#[derive(Clone, Debug, PartialEq)]
pub struct PermitCall {
    /// The owner of the quotas.
    pub to: NodeKey,
    /// The processes and requests.
    pub requests: Vec<(ProcessKey, PermitRequest)>,
}

/// One process that names a limit or did.
#[derive(Clone, Debug, Default)]
struct Process {
    pool: PermitPool,
    owner: Option<QuotaOwner>,
}

/// All limits as one node knows them.
#[derive(Clone, Debug)]
pub struct Quotas {
    own: NodeKey,
    started: Time,
    nodes: Vec<NodeKey>,
    /// The list before, and when it was replaced.
    previous: Vec<NodeKey>,
    nodes_changed: Time,
    reachability: Reachability,
    processes: HashMap<ProcessKey, Process>,
}

impl Quotas {
    /// Creates the state of a node that has just started and knows no other node.
    pub fn new(own: NodeKey, now: Time) -> Quotas {
        Quotas {
            own,
            started: now,
            nodes: Vec::new(),
            previous: Vec::new(),
            nodes_changed: now,
            reachability: Reachability::default(),
            processes: HashMap::new(),
        }
    }

    /// Returns this node's key.
    pub fn own(&self) -> NodeKey {
        self.own
    }

    /// Sets this node's key, where it was not known at the start.
    pub fn set_own(&mut self, own: NodeKey) {
        self.own = own;
    }

    /// Replaces the list of nodes.
    pub fn set_nodes(&mut self, mut nodes: Vec<NodeKey>, now: Time) {
        nodes.sort_unstable();
        if self.nodes != nodes {
            self.previous = std::mem::replace(&mut self.nodes, nodes);
            self.nodes_changed = now;
        }
    }

    /// Adds a node that is not in the list yet; reports whether it was missing.
    pub fn add_node(&mut self, node: NodeKey, now: Time) -> bool {
        let is_new = !self.nodes.contains(&node);
        if is_new {
            let nodes = self.nodes.iter().copied().chain([node]).collect();
            self.set_nodes(nodes, now);
        }
        is_new
    }

    /// Records what an answer says of a process's limit; returns the change where another limit
    /// holds.
    pub fn record(
        &mut self,
        process: ProcessKey,
        reading: LimitReading,
        now: Time,
    ) -> Option<LimitChange> {
        if reading.limit.is_none() && !self.processes.contains_key(&process) {
            return None;
        }
        self.drop_ended(now);
        let entry = self.processes.entry(process).or_default();
        let change = entry.pool.record(reading, now);
        if entry.pool.limit(now).is_none() {
            entry.owner = None;
        }
        if !self.has_limits(now) {
            self.reachability.clear();
        }
        change
    }

    /// Returns the limit of a process.
    pub fn limit(&self, process: ProcessKey, now: Time) -> Option<Rate> {
        self.processes.get(&process)?.pool.limit(now)
    }

    /// Returns the reading of a process's limit that holds.
    pub fn reading(&self, process: ProcessKey) -> Option<LimitReading> {
        self.processes.get(&process)?.pool.reading()
    }

    /// Returns the readings of all processes, for another node.
    pub fn readings(&self, now: Time) -> Vec<ReportedReading> {
        let processes = self.processes.keys();
        processes
            .filter_map(|process| self.report(*process, now))
            .collect()
    }

    /// Returns the reading of one process, for another node.
    pub fn report(&self, process: ProcessKey, now: Time) -> Option<ReportedReading> {
        Some(ReportedReading::new(process, self.reading(process)?, now))
    }

    /// Returns the processes with a limit, and the permits held for each.
    pub fn limited(&self, now: Time) -> Vec<(ProcessKey, &PermitPool)> {
        let processes = self.processes.iter();
        processes
            .filter(|(_, entry)| entry.pool.limit(now).is_some())
            .map(|(process, entry)| (*process, &entry.pool))
            .collect()
    }

    /// Returns a digest of the processes that have a limit; 0 if none has.
    pub fn digest(&self, now: Time) -> u64 {
        let limited = self.limited(now).into_iter();
        limited.fold(0, |digest, (process, _)| digest ^ process)
    }

    /// Reports whether any process has a limit.
    pub fn has_limits(&self, now: Time) -> bool {
        let mut entries = self.processes.values();
        entries.any(|entry| entry.pool.limit(now).is_some())
    }

    /// Reports whether a request may be sent to a process now.
    pub fn may_send(&self, process: ProcessKey, purpose: Purpose, now: Time) -> bool {
        let entry = self.processes.get(&process);
        entry.is_none_or(|entry| entry.pool.may_send(purpose, now))
    }

    /// Takes a permit for a request to a process; returns `false` if there is none for it.
    pub fn take(&mut self, process: ProcessKey, purpose: Purpose, now: Time) -> bool {
        let entry = self.processes.get_mut(&process);
        entry.is_none_or(|entry| entry.pool.take(purpose, now))
    }

    /// Counts a request that would have been sent to a process if there were a permit.
    pub fn note_want(&mut self, process: ProcessKey, purpose: Purpose, now: Time) {
        if let Some(entry) = self.processes.get_mut(&process) {
            entry.pool.note_want(purpose, now);
        }
    }

    /// Returns when a permit of a process is expected at the earliest.
    pub fn expected_wait(&self, process: ProcessKey, now: Time) -> Duration {
        let entry = self.processes.get(&process);
        entry.map_or(Duration::ZERO, |entry| entry.pool.expected_wait(now))
    }

    /// Returns the owners of a process's limit, as far as this node knows.
    pub fn owners(&self, process: ProcessKey, now: Time) -> Vec<NodeKey> {
        let Some(limit) = self.limit(process, now) else {
            return Vec::new();
        };
        owners_among(process, limit, &self.reachability.live(&self.nodes, now))
    }

    /// Returns the calls to be made now. Quotas of this node itself are used at once.
    pub fn calls(&mut self, now: Time) -> Vec<PermitCall> {
        let is_wanted = |entry: &Process| entry.pool.is_wanted(now);
        let wanted = self.processes.iter().filter(|(_, entry)| is_wanted(entry));
        let processes: Vec<ProcessKey> = wanted.map(|(process, _)| *process).collect();
        if processes.is_empty() && !self.has_limits(now) {
            return Vec::new();
        }
        let mut calls: HashMap<NodeKey, Vec<(ProcessKey, PermitRequest)>> = HashMap::new();
        for node in self.reachability.take_probes() {
            calls.entry(node).or_default();
        }
        for process in processes {
            let owners = self.owners(process, now);
            let Some(entry) = self.processes.get_mut(&process) else {
                continue;
            };
            for (owner, request) in entry.pool.requests(&owners, now) {
                if owner == self.own {
                    let grant = self.grant(self.own, process, &request, now);
                    self.receive(self.own, process, grant, now);
                } else {
                    calls.entry(owner).or_default().push((process, request));
                }
            }
        }
        let call = |(to, requests)| PermitCall { to, requests };
        calls.into_iter().map(call).collect()
    }

    /// Grants permits out of this node's quota; `None` if it owns none now.
    pub fn grant(
        &mut self,
        node: NodeKey,
        process: ProcessKey,
        request: &PermitRequest,
        now: Time,
    ) -> Option<PermitGrant> {
        let limit = self.limit(process, now)?;
        let owners = self.owners(process, now);
        if !owners.contains(&self.own) {
            // The other node may have found an owner gone that this node has not called lately.
            for owner in owners {
                self.reachability.request_probe(owner, now);
            }
            self.processes.get_mut(&process)?.owner = None;
            return None;
        }
        if !self.is_owner_ready(process, limit, now) {
            return None;
        }
        if !owners_among(process, limit, &self.nodes).contains(&self.own) {
            // This node replaces an owner, which may be back.
            self.reachability.probe_gone(now);
        }
        let quota = quota(limit, owners.len());
        let entry = self.processes.get_mut(&process)?;
        let owner = entry
            .owner
            .get_or_insert_with(|| QuotaOwner::new(quota, now));
        owner.set_quota(quota, now);
        Some(owner.grant(node, request, now))
    }

    /// Returns the owner of this node's quota; `None` if it has granted no permits.
    pub fn owner(&self, process: ProcessKey) -> Option<&QuotaOwner> {
        self.processes.get(&process)?.owner.as_ref()
    }

    /// Records the answer of an owner that was asked at `asked_at`.
    pub fn receive(
        &mut self,
        owner: NodeKey,
        process: ProcessKey,
        grant: Option<PermitGrant>,
        asked_at: Time,
    ) {
        if grant.is_none() {
            // An owner that this node counts as gone may be back.
            self.reachability.probe_gone(asked_at);
        }
        if let Some(entry) = self.processes.get_mut(&process) {
            let grant = grant.unwrap_or(PermitGrant {
                permits: 0,
                next: super::REQUEST_INTERVAL,
            });
            entry.pool.receive(owner, grant, asked_at);
        }
    }

    /// Records that a node answered a call; reports whether it had been silent.
    pub fn record_answer(&mut self, node: NodeKey) -> bool {
        self.reachability.record_answer(node)
    }

    /// Records that a node did not answer a call; reports whether that is new.
    pub fn record_silence(&mut self, call: &PermitCall, now: Time) -> bool {
        for (process, _) in &call.requests {
            if let Some(entry) = self.processes.get_mut(process) {
                entry.pool.record_silence(call.to, now);
            }
        }
        self.reachability.record_silence(call.to, now)
    }

    /// Reports whether this node may grant permits of a process: it has run long enough, and was an
    /// owner by the list before or has had the present list for long enough.
    fn is_owner_ready(&self, process: ProcessKey, limit: Rate, now: Time) -> bool {
        if now < self.started + OWNER_DELAY {
            return false;
        }
        let previous = self.reachability.live(&self.previous, now);
        owners_among(process, limit, &previous).contains(&self.own)
            || now >= self.nodes_changed + OWNER_DELAY
    }

    /// Drops processes without a limit where there are many.
    fn drop_ended(&mut self, now: Time) {
        if self.processes.len() < MAX_PROCESSES {
            return;
        }
        self.processes.retain(|_, entry| {
            let reading = entry.pool.reading();
            let is_recent =
                |reading: LimitReading| now.saturating_sub(reading.received) < ENDED_RETENTION;
            entry.pool.limit(now).is_some() || reading.is_some_and(is_recent)
        });
    }
}
