//! The state machine of one candidate for a lease.

use super::{Record, Timing};
use crate::{
    kernel::{next_number, Fence, Incarnation, NodeId, Time},
    store::{StoreEra, StoreVersion},
};

/// An event of a candidate.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    /// Time passed.
    Tick,
    /// An answer named the store's era.
    EraSeen {
        /// The era.
        era: StoreEra,
    },
    /// The record was read.
    Read {
        /// The object's version and the record; `None` if there is no record.
        found: Option<(StoreVersion, Record)>,
    },
    /// The record could not be read.
    ReadFailed,
    /// The write took effect.
    Written {
        /// The object's new version.
        version: StoreVersion,
    },
    /// Another write changed the record first.
    Conflict,
    /// The write certainly had no effect.
    NotApplied,
    /// The write may have taken effect.
    Ambiguous,
    /// The receiver of an action refused this fencing number, since it has seen a higher one.
    Fenced {
        /// The refused number.
        fence: Fence,
        /// The lowest number to take next.
        next: Fence,
    },
    /// The node is stopping as planned, and its last action has ended.
    Release,
}

/// An action for the driver; at most one call is in flight at a time.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Read the record.
    Read,
    /// Replace the record if it still has this version, or create it if there is none.
    Write {
        /// The version that the write is conditional on.
        version: StoreVersion,
        /// The new record.
        record: Record,
    },
}

/// The right to act as the holder of the lease.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Grant {
    /// The fencing number of every command.
    pub fence: Fence,
    /// The end of the right: no action starts at or after this time.
    pub valid_until: Time,
    /// The earliest start of commands to backend servers that don't check fencing numbers.
    pub commands_from: Time,
}

/// A version of the record, with the time at which it was first read.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct ObservedRecord {
    version: StoreVersion,
    record: Record,
    since: Time,
}

/// A write with an unknown outcome.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct PendingWrite {
    fence: Fence,
    version: StoreVersion,
    // INVARIANT: no earlier write with this fencing number and base version was sent.
    sent: Time,
    commands_from: Time,
    read_back: bool,
}

/// A candidate for a lease.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cassiareel::{
///     kernel::lease::{Action, Event, Lease, Timing},
///     store::StoreVersion,
/// };
///
/// let now = Duration::ZERO;
/// let mut lease = Lease::new("n1".into(), 1, Timing::default());
/// assert_eq!(lease.step(now, Event::Tick), Some(Action::Read));
/// lease.step(now, Event::Read { found: None });
/// assert!(matches!(lease.step(now, Event::Tick), Some(Action::Write { .. })));
/// lease.step(now, Event::Written { version: StoreVersion::new(0, 1) });
/// assert_eq!(lease.grant(now).unwrap().fence, 1);
/// assert!(lease.grant(Duration::from_secs(9)).is_none(), "the margin is a second");
/// ```
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Lease {
    me: NodeId,
    incarnation: Incarnation,
    timing: Timing,
    // The store's era, and the time at which this candidate first saw it.
    era: StoreEra,
    era_since: Time,
    // The highest fencing number that this candidate knows of.
    highest_fence: Fence,
    observed: Option<ObservedRecord>,
    grant: Option<Grant>,
    renew_at: Time,
    pending: Option<PendingWrite>,
    call: Option<Action>,
    call_sent: Time,
    just_read: bool,
    released: bool,
    // The highest fencing number that was refused; it is never granted again.
    refused_fence: Fence,
    /// The deliberate defect that a model check must find.
    #[cfg(any(test, feature = "check"))]
    pub mutation: Option<&'static str>,
}

impl Lease {
    /// Creates a candidate that has not read the record yet.
    pub fn new(me: NodeId, incarnation: Incarnation, timing: Timing) -> Lease {
        Lease {
            me,
            incarnation,
            timing,
            era: 0,
            era_since: Time::ZERO,
            highest_fence: 0,
            observed: None,
            grant: None,
            renew_at: Time::ZERO,
            pending: None,
            call: None,
            call_sent: Time::ZERO,
            just_read: false,
            released: false,
            refused_fence: 0,
            #[cfg(any(test, feature = "check"))]
            mutation: None,
        }
    }

    /// Returns the right to act at the time `now`, if this candidate holds the lease.
    ///
    /// Call this right before each action: the lease of a node that was paused may have ended.
    pub fn grant(&self, now: Time) -> Option<Grant> {
        self.grant
            .filter(|grant| now < grant.valid_until || self.is_mutated("no time limit"))
    }

    /// Returns the newest record that was read, for status pages.
    pub fn record(&self) -> Option<&Record> {
        self.observed.as_ref().map(|observed| &observed.record)
    }

    /// Returns the time at which the next tick is due: the renewal of a held lease, or the first
    /// moment at which the lease of another holder may be taken. Returns `None` where that is unknown.
    pub fn due_at(&self, now: Time) -> Option<Time> {
        if self.grant(now).is_some() {
            return Some(self.renew_at);
        }
        let observed = self.observed.as_ref()?;
        Some(observed.since + self.timing.duration + self.timing.margin)
    }

    /// Reports whether the next tick writes, on the basis of a record that was read just now.
    pub fn can_acquire(&self, now: Time) -> bool {
        let is_free = self.call.is_none() && !self.released && self.grant(now).is_none();
        let is_resolved = self.pending.is_none_or(|pending| pending.read_back);
        is_free && is_resolved && self.just_read && self.may_acquire(now)
    }

    /// Returns the store's era that this candidate knows of.
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Handles an event that occurs at the time `now`.
    ///
    /// The caller carries out the returned action, if any, and reports its result as an event.
    pub fn step(&mut self, now: Time, event: Event) -> Option<Action> {
        match event {
            Event::Tick => return self.tick(now),
            Event::EraSeen { era } => self.observe_era(now, era),
            Event::Read { found } => self.read(now, found),
            Event::ReadFailed => self.call = None,
            Event::Written { version } => self.written(now, version),
            Event::Conflict => self.conflict(),
            Event::NotApplied => self.not_done(),
            Event::Ambiguous => self.ambiguous(now),
            Event::Fenced { fence, next } => self.fenced(fence, next),
            Event::Release => return self.release(now),
        }
        None
    }

    /// Gives up everything that was based on the records of an earlier era.
    ///
    /// The restored record may be older than that of the last holder, who is not known then.
    fn observe_era(&mut self, now: Time, era: StoreEra) {
        if era <= self.era {
            return;
        }
        self.era = era;
        self.era_since = now;
        self.observed = None;
        self.grant = None;
        self.pending = None;
        self.just_read = false;
    }

    fn tick(&mut self, now: Time) -> Option<Action> {
        if self.call.is_some() || self.released {
            return None;
        }
        if self.grant.is_some_and(|grant| now >= grant.valid_until)
            && !self.is_mutated("no time limit")
        {
            self.grant = None;
        }
        let unresolved = self.pending.is_some_and(|pending| !pending.read_back);
        let action = if unresolved {
            Some(Action::Read)
        } else if let Some(grant) = self.grant {
            (now >= self.renew_at).then(|| self.renewal(grant))
        } else if std::mem::take(&mut self.just_read) && self.may_acquire(now) {
            Some(self.acquisition())
        } else {
            Some(Action::Read)
        };
        self.send(now, action?)
    }

    /// Records a call as in flight, and a write as pending before it is sent.
    fn send(&mut self, now: Time, action: Action) -> Option<Action> {
        if let Action::Write { version, record } = &action {
            let earlier = self
                .pending
                .filter(|pending| pending.fence == record.fence && pending.version == *version);
            let wait = match (self.grant, &self.observed) {
                (Some(grant), _) => grant.commands_from,
                (None, Some(observed)) if self.must_wait_for_commands(&observed.record) => {
                    now + self.timing.max_action
                }
                _ => now,
            };
            let wait = wait.max(self.lost_commands_end());
            self.pending = Some(PendingWrite {
                fence: record.fence,
                version: *version,
                sent: earlier.map_or(now, |pending| pending.sent),
                commands_from: wait,
                read_back: true,
            });
        }
        self.call_sent = now;
        self.call = Some(action.clone());
        Some(action)
    }

    fn renewal(&self, grant: Grant) -> Action {
        let observed = self
            .observed
            .as_ref()
            .expect("the holder has observed its record");
        Action::Write {
            version: observed.version,
            record: Record {
                holder: Some(self.me.clone()),
                incarnation: self.incarnation,
                fence: grant.fence,
                renewal: observed.record.renewal + 1,
            },
        }
    }

    fn acquisition(&self) -> Action {
        let (version, fence) = self
            .observed
            .as_ref()
            .map_or((StoreVersion::NONE, 0), |observed| {
                (observed.version, observed.record.fence)
            });
        let mut era = self.era;
        let mut last = fence.max(self.highest_fence);
        if self.is_mutated("fence does not increase") && !version.is_none() {
            last = fence.saturating_sub(1);
        }
        if self.is_mutated("fence ignores the era") {
            (era, last) = (0, fence);
        }
        Action::Write {
            version,
            record: Record {
                holder: Some(self.me.clone()),
                incarnation: self.incarnation,
                fence: next_number(last, era),
                renewal: 0,
            },
        }
    }

    /// Reports whether the holder named in the record must have stopped by now.
    fn may_acquire(&self, now: Time) -> bool {
        if now < self.lost_grant_end() {
            return false;
        }
        let Some(observed) = &self.observed else {
            return true;
        };
        let wait = if self.is_mutated("acquires early") {
            self.timing.margin
        } else {
            self.timing.duration + self.timing.margin
        };
        observed.record.holder.is_none()
            || self.is_mine(&observed.record)
            || now >= observed.since + wait
    }

    /// Returns the end of a grant whose record a restored store has lost.
    fn lost_grant_end(&self) -> Time {
        if self.era == 0 || self.is_mutated("no wait in a new era") {
            return Time::ZERO;
        }
        self.era_since + self.timing.duration + self.timing.margin
    }

    /// Returns the end of the last command under such a grant.
    fn lost_commands_end(&self) -> Time {
        match self.era {
            0 => Time::ZERO,
            _ => self.lost_grant_end() + self.timing.max_action,
        }
    }

    fn must_wait_for_commands(&self, record: &Record) -> bool {
        record.holder.is_some() && !self.is_mine(record) && !self.is_mutated("no wait for commands")
    }

    fn is_mine(&self, record: &Record) -> bool {
        record.holder.as_ref() == Some(&self.me) && record.incarnation == self.incarnation
    }

    fn read(&mut self, now: Time, found: Option<(StoreVersion, Record)>) {
        self.call = None;
        let known = self
            .observed
            .as_ref()
            .map_or(StoreVersion::NONE, |observed| observed.version);
        let Some((version, record)) =
            found.filter(|(version, _)| *version >= known && version.era() == self.era)
        else {
            // There is no record yet, or the answer comes from a replica that lags behind.
            self.just_read = known.is_none();
            if let Some(pending) = &mut self.pending {
                pending.read_back = pending.version.is_none();
            }
            return;
        };
        self.just_read = true;
        self.highest_fence = self.highest_fence.max(record.fence);
        if version > known {
            self.observed = Some(ObservedRecord {
                version,
                record: record.clone(),
                since: now,
            });
        }
        let mine = self.is_mine(&record);
        match &mut self.pending {
            Some(pending) if mine && record.fence == pending.fence && version > pending.version => {
                let pending = *pending;
                self.acquire(now, pending, pending.sent);
            }
            Some(pending) if version == pending.version => pending.read_back = true,
            _ => self.pending = None,
        }
        if self
            .grant
            .is_some_and(|grant| !mine || grant.fence != record.fence)
        {
            self.grant = None;
        }
    }

    fn written(&mut self, now: Time, version: StoreVersion) {
        let (Some(Action::Write { record, .. }), Some(pending)) = (self.call.take(), self.pending)
        else {
            return;
        };
        self.observed = Some(ObservedRecord {
            version,
            record,
            since: now,
        });
        // An earlier write based on the same version can't have taken effect, as this one did.
        self.acquire(now, pending, self.call_sent);
    }

    fn acquire(&mut self, now: Time, pending: PendingWrite, sent: Time) {
        let from = if self.is_mutated("counts from the answer") {
            now
        } else {
            sent
        };
        self.highest_fence = self.highest_fence.max(pending.fence);
        self.pending = None;
        if pending.fence <= self.refused_fence {
            return;
        }
        self.grant = Some(Grant {
            fence: pending.fence,
            valid_until: from + self.timing.duration - self.timing.margin,
            commands_from: pending.commands_from,
        });
        self.renew_at = sent + self.timing.renewal_interval();
    }

    /// Gives up a number that was refused, also where a renewal with it is in flight.
    fn fenced(&mut self, fence: Fence, next: Fence) {
        if self.is_mutated("a refused token is used again") {
            return;
        }
        self.refused_fence = self.refused_fence.max(fence);
        self.highest_fence = self.highest_fence.max(next.saturating_sub(1));
        if self.grant.is_some_and(|grant| grant.fence <= fence) {
            self.grant = None;
        }
    }

    fn conflict(&mut self) {
        self.call = None;
        // The conflicting write may be an earlier one of this candidate; the next read shows that.
        self.grant = None;
        if let Some(pending) = &mut self.pending {
            pending.read_back = false;
        }
    }

    fn not_done(&mut self) {
        self.call = None;
        if self
            .pending
            .is_some_and(|pending| pending.sent == self.call_sent)
        {
            self.pending = None;
        }
    }

    fn ambiguous(&mut self, now: Time) {
        if self.is_mutated("lost answer counts as success") {
            let version = self
                .observed
                .as_ref()
                .map_or(StoreVersion::NONE, |observed| observed.version);
            let version = StoreVersion::new(version.era(), version.revision() + 1);
            return self.written(now, version);
        }
        self.call = None;
        if let Some(pending) = &mut self.pending {
            pending.read_back = false;
        }
    }

    fn release(&mut self, now: Time) -> Option<Action> {
        self.released = true;
        let grant = self.grant.take().filter(|grant| now < grant.valid_until)?;
        if self.call.is_some() {
            return None;
        }
        let Action::Write { version, record } = self.renewal(grant) else {
            return None;
        };
        self.call = Some(Action::Read);
        Some(Action::Write {
            version,
            record: Record {
                holder: None,
                ..record
            },
        })
    }

    /// Sets the times that no longer matter to zero, so that a search treats equivalent states as
    /// equal.
    #[cfg(any(test, feature = "check"))]
    pub fn normalize(&mut self, now: Time) {
        let wait = self.timing.duration + self.timing.margin;
        if self.call.is_none() {
            self.call_sent = Time::ZERO;
        }
        if self.mutation != Some("no time limit") {
            self.grant = self.grant.filter(|grant| now < grant.valid_until);
        }
        if self.grant.is_none() {
            self.renew_at = Time::ZERO;
        }
        if self.era == 0 || now >= self.lost_commands_end() {
            self.era_since = Time::ZERO;
        }
        if let Some(observed) = self
            .observed
            .as_mut()
            .filter(|observed| now >= observed.since + wait)
        {
            observed.since = Time::ZERO;
        }
        if let Some(grant) = self
            .grant
            .as_mut()
            .filter(|grant| now >= grant.commands_from)
        {
            grant.commands_from = Time::ZERO;
        }
    }

    /// Reports whether the named defect is active.
    #[cfg(any(test, feature = "check"))]
    fn is_mutated(&self, name: &str) -> bool {
        self.mutation == Some(name)
    }

    #[cfg(not(any(test, feature = "check")))]
    fn is_mutated(&self, _name: &str) -> bool {
        false
    }
}
