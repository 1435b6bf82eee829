//! The permits that one node holds for one process.

use std::{collections::HashMap, time::Duration};

use super::{
    super::Time, quota, LimitReading, NodeKey, PermitGrant, PermitRequest, Rate, PERMIT_LIFETIME,
};

/// How long a reading holds that no later answer confirms.
const READING_LIFETIME: Duration = Duration::from_secs(60);

/// The time over which a node's demand is averaged.
const DEMAND_TIME: Duration = Duration::from_secs(1);

/// The shortest time over which demand is counted.
const MIN_DEMAND_TIME: Duration = Duration::from_millis(100);

/// How far ahead a node asks for permits.
const DEMAND_AHEAD: Duration = Duration::from_millis(700);

/// How long an owner that did not answer is not asked.
const RETRY_DELAY: Duration = Duration::from_millis(1000);

/// The shortest time between two requests to an owner for urgent permits.
const URGENT_INTERVAL: Duration = Duration::from_millis(100);

/// What a permit is used for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Purpose {
    /// Work that was begun before, such as a stream that is resumed.
    Ongoing,
    /// Work that begins.
    #[default]
    New,
    /// A repeat of work that failed elsewhere. It leaves the last permit to work that begins.
    Repeat,
}

/// A change of the limit that holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// The limit before; `None` if there was none.
    pub before: Option<Rate>,
    /// The limit now; `None` if there is none.
    pub after: Option<Rate>,
}

impl LimitChange {
    /// Reports whether other nodes should learn of the change at once: a limit begins, ends or moves
    /// by more than a fifth.
    pub fn is_notable(&self) -> bool {
        match (self.before, self.after) {
            (Some(before), Some(after)) => (after - before).abs() > before * 0.2,
            _ => true,
        }
    }
}

/// Permits of one owner.
#[derive(Clone, Copy, Debug)]
struct HeldPermits {
    owner: NodeKey,
    count: u32,
    expires: Time,
}

/// What is known of an owner.
#[derive(Clone, Copy, Debug, Default)]
struct OwnerContact {
    /// When it may be asked again.
    next_request: Time,
    /// When it was asked last.
    asked_at: Time,
    /// The permits that it was asked for, while its answer is awaited.
    pending: Option<u32>,
    /// Whether it did not answer the last request.
    is_silent: bool,
    /// Permits of it that expired unused.
    unused: u32,
}

/// The limit of one process as one node knows it, and the permits that the node holds.
#[derive(Clone, Debug, Default)]
pub struct PermitPool {
    reading: Option<LimitReading>,
    held: Vec<HeldPermits>,
    owners: HashMap<NodeKey, OwnerContact>,
    /// Requests that would have been sent since `counted_from`.
    wants: u32,
    counted_from: Time,
    demand: Rate,
    /// Requests that can't wait and found no permit.
    urgent: u32,
    last_want: Option<Time>,
    /// The owner that is asked first for a single permit.
    turn: usize,
    /// The number of permits that were used.
    used: u64,
}

impl PermitPool {
    /// Records what an answer says of the limit; returns the change where another limit holds.
    pub fn record(&mut self, reading: LimitReading, now: Time) -> Option<LimitChange> {
        let before = self.limit(now);
        let merged = self.reading.map_or(reading, |known| known.merge(reading));
        self.reading = Some(merged);
        let after = self.limit(now);
        if before == after {
            return None;
        }
        match (before, after) {
            (Some(before), Some(after)) if after < before => self.keep_part(after / before),
            (_, None) => self.clear(),
            _ => {}
        }
        Some(LimitChange { before, after })
    }

    /// Returns the limit that holds; `None` if there is none.
    pub fn limit(&self, now: Time) -> Option<Rate> {
        let reading = self.reading?;
        let is_current = now.saturating_sub(reading.received) < READING_LIFETIME;
        reading.limit.filter(|_| is_current)
    }

    /// Returns the reading that holds, if any answer was received.
    pub fn reading(&self) -> Option<LimitReading> {
        self.reading
    }

    /// Returns the node's demand in requests a second.
    pub fn demand(&self) -> Rate {
        self.demand
    }

    /// Returns the number of permits that were used since the limit began.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Returns the number of permits that can be used.
    pub fn available(&self, now: Time) -> u32 {
        let usable = self.held.iter().filter(|held| now < held.expires);
        usable.map(|held| held.count).sum()
    }

    /// Reports whether a request may be sent now.
    pub fn may_send(&self, purpose: Purpose, now: Time) -> bool {
        let required = match purpose {
            Purpose::Ongoing | Purpose::New => 1,
            Purpose::Repeat => 2,
        };
        self.limit(now).is_none() || self.available(now) >= required
    }

    /// Takes a permit for a request; returns `false` if there is none for it. Where no limit holds,
    /// none is required.
    pub fn take(&mut self, purpose: Purpose, now: Time) -> bool {
        if self.limit(now).is_none() {
            return true;
        }
        self.note_want(purpose, now);
        if !self.may_send(purpose, now) {
            return false;
        }
        let usable = self.held.iter_mut().filter(|held| now < held.expires);
        if let Some(next) = usable.min_by_key(|held| held.expires) {
            next.count -= 1;
            self.used += 1;
        }
        self.held.retain(|held| held.count > 0);
        self.urgent = self.urgent.saturating_sub(1);
        true
    }

    /// Counts a request that would have been sent to the process.
    pub fn note_want(&mut self, purpose: Purpose, now: Time) {
        if purpose == Purpose::Repeat {
            return;
        }
        if self.last_want.is_none() {
            self.counted_from = now.saturating_sub(DEMAND_TIME);
        }
        self.last_want = Some(now);
        self.wants += 1;
        if purpose == Purpose::Ongoing {
            self.urgent += 1;
        }
    }

    /// Reports whether requests were lately to be sent to the process while it has a limit.
    pub fn is_wanted(&self, now: Time) -> bool {
        let last = self.last_want;
        let is_recent = last.is_some_and(|at| now.saturating_sub(at) < DEMAND_TIME);
        is_recent && self.limit(now).is_some()
    }

    /// Returns the requests to be sent to owners now.
    pub fn requests(&mut self, owners: &[NodeKey], now: Time) -> Vec<(NodeKey, PermitRequest)> {
        let owners = owners.iter().copied();
        let due: Vec<NodeKey> = owners.filter(|owner| self.may_ask(*owner, now)).collect();
        if due.is_empty() || !self.is_wanted(now) {
            return Vec::new();
        }
        self.expire(now);
        self.update_demand(now);
        let ahead = (self.demand * DEMAND_AHEAD.as_secs_f64()).ceil() as u32;
        let pending: u32 = self.owners.values().filter_map(|owner| owner.pending).sum();
        let needed = ahead.max(1).saturating_sub(self.available(now) + pending);
        let urgent = std::mem::take(&mut self.urgent);
        self.turn += 1;
        let count = due.len() as u32;
        let mut requests = Vec::new();
        for (i, owner) in due.iter().enumerate() {
            let place = ((i + self.turn) % due.len()) as u32;
            let part = |total: u32| total / count + u32::from(place < total % count);
            let contact = self.owners.entry(*owner).or_default();
            let request = PermitRequest {
                demand: self.demand,
                wanted: part(needed),
                urgent: part(urgent),
                returned: contact.unused,
            };
            if request.wanted + request.urgent == 0 {
                continue;
            }
            // Returned at most once, also if the request is lost.
            contact.unused = 0;
            contact.pending = Some(request.wanted);
            contact.asked_at = now;
            requests.push((*owner, request));
        }
        requests
    }

    /// Records the answer of an owner that was asked at `asked_at`.
    pub fn receive(&mut self, owner: NodeKey, grant: PermitGrant, asked_at: Time) {
        let contact = self.owners.entry(owner).or_default();
        contact.pending = None;
        contact.is_silent = false;
        contact.next_request = asked_at + grant.next;
        if grant.permits > 0 {
            self.held.push(HeldPermits {
                owner,
                count: grant.permits,
                expires: asked_at + PERMIT_LIFETIME,
            });
        }
    }

    /// Records that an owner did not answer.
    pub fn record_silence(&mut self, owner: NodeKey, now: Time) {
        let contact = self.owners.entry(owner).or_default();
        contact.pending = None;
        contact.next_request = now + RETRY_DELAY;
        contact.is_silent = true;
    }

    /// Returns when a permit is expected at the earliest, as far as this node knows.
    pub fn expected_wait(&self, now: Time) -> Duration {
        let Some(limit) = self.limit(now) else {
            return Duration::ZERO;
        };
        if self.available(now) > 0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(1.0 / quota(limit, 1))
    }

    fn may_ask(&self, owner: NodeKey, now: Time) -> bool {
        let Some(contact) = self.owners.get(&owner) else {
            return true;
        };
        let is_urgent =
            self.urgent > 0 && !contact.is_silent && contact.asked_at + URGENT_INTERVAL <= now;
        contact.pending.is_none() && (contact.next_request <= now || is_urgent)
    }

    /// Adds the requests since the last time to the demand.
    fn update_demand(&mut self, now: Time) {
        let spent = now.saturating_sub(self.counted_from);
        if spent < MIN_DEMAND_TIME {
            return;
        }
        let newest = f64::from(self.wants) / spent.as_secs_f64();
        let weight = 1.0 - (-spent.as_secs_f64() / DEMAND_TIME.as_secs_f64()).exp();
        self.demand += (newest - self.demand) * weight;
        self.wants = 0;
        self.counted_from = now;
    }

    /// Drops expired permits, to be returned to their owners.
    fn expire(&mut self, now: Time) {
        let expired = self.held.iter().filter(|held| held.expires <= now);
        for held in expired {
            self.owners.entry(held.owner).or_default().unused += held.count;
        }
        self.held.retain(|held| now < held.expires);
    }

    /// Keeps a part of the permits, since the limit fell.
    fn keep_part(&mut self, part: f64) {
        for held in &mut self.held {
            held.count = (f64::from(held.count) * part) as u32;
        }
        self.held.retain(|held| held.count > 0);
    }

    fn clear(&mut self) {
        let reading = self.reading;
        *self = PermitPool {
            reading,
            ..PermitPool::default()
        };
    }
}
