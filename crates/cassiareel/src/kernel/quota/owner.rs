//! The owner of a quota, which grants permits to nodes.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

use super::{super::Time, NodeKey, Rate, REQUEST_INTERVAL};

/// The longest interval between a node's requests.
const MAX_REQUEST_INTERVAL: Duration = Duration::from_secs(20);

/// Requests a second that an owner takes for each permit a second, and at least.
const REQUESTS_PER_PERMIT: f64 = 4.0;
const MIN_REQUESTS: f64 = 8.0;

/// Permits that may be granted in advance to requests that can't wait.
const URGENT_ADVANCE: f64 = 1.0;

/// How long permits are kept for a node that may ask again but does not.
const RESERVATION_GRACE: Duration = Duration::from_millis(200);

/// A node's request for permits.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PermitRequest {
    /// Requests a second that the node would send to the process.
    pub demand: Rate,
    /// The permits that it wants for work that begins.
    pub wanted: u32,
    /// The permits that it wants for work that was begun before.
    pub urgent: u32,
    /// The permits of this owner that expired unused.
    pub returned: u32,
}

/// The answer to a request for permits.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PermitGrant {
    /// The permits.
    pub permits: u32,
    /// When the node may ask again.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub next: Duration,
}

/// The demand of one node.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    rate: Rate,
    /// The node's part of the permits so far, less those that it got. It is negative for a node
    /// that got more.
    owed: f64,
    /// The permits that the node wanted and did not get.
    missing: u32,
    /// When the node may ask again.
    next: Time,
}

impl Demand {
    /// Reports whether the node counts among those that want permits.
    fn is_current(&self, now: Time) -> bool {
        now < self.next + REQUEST_INTERVAL
    }

    /// Returns the permits that are kept for the node.
    fn reserved(&self, now: Time) -> u32 {
        if now >= self.next + RESERVATION_GRACE {
            return 0;
        }
        whole(self.owed).min(self.missing)
    }
}

/// The owner of one quota: a bucket of permits that fills at the quota's rate.
#[derive(Clone, Debug)]
pub struct QuotaOwner {
    quota: Rate,
    permits: f64,
    filled_at: Time,
    demands: HashMap<NodeKey, Demand>,
}

impl QuotaOwner {
    /// Creates an owner whose bucket is empty at `now`.
    pub fn new(quota: Rate, now: Time) -> QuotaOwner {
        QuotaOwner {
            quota,
            permits: 0.0,
            filled_at: now,
            demands: HashMap::new(),
        }
    }

    /// Changes the quota.
    pub fn set_quota(&mut self, quota: Rate, now: Time) {
        self.fill(now);
        self.quota = quota;
        self.permits = self.permits.min(self.capacity());
    }

    /// Returns the quota.
    pub fn quota(&self) -> Rate {
        self.quota
    }

    /// Returns the number of nodes that lately wanted permits.
    pub fn users(&self) -> usize {
        self.demands.len()
    }

    /// Returns the requests a second that all nodes lately wanted to send, where `node` now wants to
    /// send `rate`.
    fn total_demand(&self, node: NodeKey, rate: Rate) -> Rate {
        let others = self.demands.iter().filter(|(other, _)| **other != node);
        others.map(|(_, demand)| demand.rate).sum::<Rate>() + rate
    }

    /// Grants permits to a node.
    ///
    /// Work that was begun before goes first, up to a small advance on the quota. Other work gets
    /// the permits that are there, except those that nodes are owed which got less so far: of nodes
    /// that ask at regular intervals the same one could come too late each time. No node gets more
    /// at once than its part of the demand.
    pub fn grant(&mut self, node: NodeKey, request: &PermitRequest, now: Time) -> PermitGrant {
        self.demands.retain(|_, demand| demand.is_current(now));
        self.fill(now);
        self.permits = (self.permits + f64::from(request.returned)).min(self.capacity());
        let known = self.demands.get(&node);
        let owed = known.map_or(0.0, |demand| demand.owed) + f64::from(request.returned);
        let next = self.next_request(node, request.demand);
        let rate = request.demand;
        let urgent = whole(self.permits + URGENT_ADVANCE).min(request.urgent);
        self.permits -= f64::from(urgent);
        let part = rate / self.total_demand(node, rate).max(f64::MIN_POSITIVE);
        let share = whole((self.capacity() * part).ceil()).max(1);
        let free = whole(self.permits).saturating_sub(self.reserved_before(node, owed, now));
        let other = free.min(request.wanted).min(share);
        self.permits -= f64::from(other);
        let capacity = self.capacity();
        let demand = Demand {
            rate,
            owed: (owed - f64::from(urgent + other)).clamp(-capacity, capacity),
            missing: request.wanted - other,
            next: now + next,
        };
        self.demands.insert(node, demand);
        PermitGrant {
            permits: urgent + other,
            next,
        }
    }

    /// Returns the permits that are kept for nodes which are owed more than `node`.
    fn reserved_before(&self, node: NodeKey, owed: f64, now: Time) -> u32 {
        let others = self.demands.iter().filter(|(other, _)| **other != node);
        let first = others.filter(|(_, demand)| demand.owed > owed);
        first.map(|(_, demand)| demand.reserved(now)).sum()
    }

    /// Returns when a node may ask again: all nodes together ask little more often than permits
    /// become free, and those with a high demand more often than others.
    fn next_request(&self, node: NodeKey, demand: Rate) -> Duration {
        let others = self.demands.iter().filter(|(other, _)| **other != node);
        let (users, total) = others.fold((1, demand), |(users, total), (_, other)| {
            (users + 1, total + other.rate)
        });
        let requests = (self.quota * REQUESTS_PER_PERMIT).max(MIN_REQUESTS);
        let users = f64::from(users);
        let mean = total / users;
        let interval = users / requests * (mean / demand.max(f64::MIN_POSITIVE)).min(1.0);
        Duration::from_secs_f64(interval).clamp(REQUEST_INTERVAL, MAX_REQUEST_INTERVAL)
    }

    /// Adds the permits since the last time, and owes each node its part.
    fn fill(&mut self, now: Time) {
        let spent = now.saturating_sub(self.filled_at);
        let added = self.quota * spent.as_secs_f64();
        self.permits = (self.permits + added).min(self.capacity());
        self.filled_at = self.filled_at.max(now);
        let capacity = self.capacity();
        let total: Rate = self.demands.values().map(|demand| demand.rate).sum();
        for demand in self.demands.values_mut() {
            let part = demand.rate / total.max(f64::MIN_POSITIVE);
            demand.owed = (demand.owed + added * part).min(capacity);
        }
    }

    /// Returns the most permits in the bucket: those of one interval between requests, so that none
    /// is lost where one node alone asks for them.
    fn capacity(&self) -> f64 {
        1.0 + self.quota * REQUEST_INTERVAL.as_secs_f64()
    }
}

/// Returns the whole permits in a number that is not negative, or 0.
fn whole(permits: f64) -> u32 {
    permits.max(0.0) as u32
}
