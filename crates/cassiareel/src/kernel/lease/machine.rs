//! The state machine of one candidate.

use super::{Record, Timing};
use crate::kernel::{Fence, Incarnation, NodeId, Time};

/// What happened to a candidate.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The record was read; none where it does not exist.
    Read {
        /// The object's version and the record.
        found: Option<(u64, Record)>,
    },
    /// The record could not be read.
    ReadFailed,
    /// The write took effect and made this version.
    Written {
        /// The object's new version.
        version: u64,
    },
    /// Another writer was first.
    Conflict,
    /// The write certainly had no effect.
    NotApplied,
    /// The write may have taken effect.
    Ambiguous,
    /// The node stops as planned, and its last action has ended.
    Release,
}

/// What a candidate wants done; at most one call is out at a time.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Read the record.
    Read,
    /// Replace the record if its version is still this one; 0 creates it.
    Write {
        /// The version that the write is conditional on.
        version: u64,
        /// The new record.
        record: Record,
    },
}

/// The power to act.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Grant {
    /// The fencing number of every order.
    pub fence: Fence,
    /// No action starts at or after this time.
    pub valid_until: Time,
    /// Orders to backend servers that don't check fencing numbers start no earlier.
    pub commands_from: Time,
}

/// A version of the record, as first read.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Seen {
    version: u64,
    record: Record,
    since: Time,
}

/// A write whose outcome is not known yet.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Open {
    fence: Fence,
    version: u64,
    // INVARIANT: no write of this fence on this version was sent before.
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
/// use cassiareel::kernel::lease::{Action, Event, Lease, Timing};
///
/// let now = Duration::ZERO;
/// let mut lease = Lease::new("n1".into(), 1, Timing::default());
/// assert_eq!(lease.step(now, Event::Tick), Some(Action::Read));
/// lease.step(now, Event::Read { found: None });
/// assert!(matches!(lease.step(now, Event::Tick), Some(Action::Write { version: 0, .. })));
/// lease.step(now, Event::Written { version: 1 });
/// assert_eq!(lease.grant(now).unwrap().fence, 1);
/// assert!(lease.grant(Duration::from_secs(9)).is_none(), "a second before the lease's time");
/// ```
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Lease {
    me: NodeId,
    incarnation: Incarnation,
    timing: Timing,
    seen: Option<Seen>,
    held: Option<Grant>,
    renew_at: Time,
    open: Option<Open>,
    call: Option<Action>,
    call_sent: Time,
    fresh: bool,
    released: bool,
    /// The deliberately broken variant that a model check must catch.
    #[cfg(test)]
    pub(crate) mutation: Option<&'static str>,
}

impl Lease {
    /// A candidate that knows nothing of the record.
    pub fn new(me: NodeId, incarnation: Incarnation, timing: Timing) -> Lease {
        Lease {
            me,
            incarnation,
            timing,
            seen: None,
            held: None,
            renew_at: Time::ZERO,
            open: None,
            call: None,
            call_sent: Time::ZERO,
            fresh: false,
            released: false,
            #[cfg(test)]
            mutation: None,
        }
    }

    /// The power to act at this time, if any.
    ///
    /// Ask right before each action: a node that was paused finds its power gone.
    pub fn grant(&self, now: Time) -> Option<Grant> {
        self.held
            .filter(|held| now < held.valid_until || self.is_mutated("no bound"))
    }

    /// The newest record that was read, for status pages.
    pub fn record(&self) -> Option<&Record> {
        self.seen.as_ref().map(|seen| &seen.record)
    }

    /// Takes an event at a time; the action, if any, is to be carried out and answered.
    pub fn step(&mut self, now: Time, event: Event) -> Option<Action> {
        match event {
            Event::Tick => return self.tick(now),
            Event::Read { found } => self.read(now, found),
            Event::ReadFailed => self.call = None,
            Event::Written { version } => self.written(now, version),
            Event::Conflict => self.conflict(),
            Event::NotApplied => self.not_done(),
            Event::Ambiguous => self.ambiguous(now),
            Event::Release => return self.release(now),
        }
        None
    }

    fn tick(&mut self, now: Time) -> Option<Action> {
        if self.call.is_some() || self.released {
            return None;
        }
        if self.held.is_some_and(|held| now >= held.valid_until) && !self.is_mutated("no bound") {
            self.held = None;
        }
        let unresolved = self.open.is_some_and(|open| !open.read_back);
        let action = if unresolved {
            Some(Action::Read)
        } else if let Some(held) = self.held {
            (now >= self.renew_at).then(|| self.renewal(held))
        } else if std::mem::take(&mut self.fresh) && self.may_take(now) {
            Some(self.take())
        } else {
            Some(Action::Read)
        };
        self.send(now, action?)
    }

    /// Sends a call, and notes a write as open before it goes out.
    fn send(&mut self, now: Time, action: Action) -> Option<Action> {
        if let Action::Write { version, record } = &action {
            let earlier = self
                .open
                .filter(|open| open.fence == record.fence && open.version == *version);
            let wait = match (self.held, &self.seen) {
                (Some(held), _) => held.commands_from,
                (None, Some(seen)) if self.must_wait_out(&seen.record) => {
                    now + self.timing.max_action
                }
                _ => now,
            };
            self.open = Some(Open {
                fence: record.fence,
                version: *version,
                sent: earlier.map_or(now, |open| open.sent),
                commands_from: wait,
                read_back: true,
            });
        }
        self.call_sent = now;
        self.call = Some(action.clone());
        Some(action)
    }

    fn renewal(&self, held: Grant) -> Action {
        let seen = self.seen.as_ref().expect("a holder has seen its record");
        Action::Write {
            version: seen.version,
            record: Record {
                holder: Some(self.me.clone()),
                incarnation: self.incarnation,
                fence: held.fence,
                renewal: seen.record.renewal + 1,
            },
        }
    }

    fn take(&self) -> Action {
        let (version, fence) = self
            .seen
            .as_ref()
            .map_or((0, 0), |seen| (seen.version, seen.record.fence));
        let rise = u64::from(!self.is_mutated("fence does not rise") || version == 0);
        Action::Write {
            version,
            record: Record {
                holder: Some(self.me.clone()),
                incarnation: self.incarnation,
                fence: fence + rise,
                renewal: 0,
            },
        }
    }

    /// Reports whether the holder in the record must have stopped.
    fn may_take(&self, now: Time) -> bool {
        let Some(seen) = &self.seen else {
            return true;
        };
        let wait = if self.is_mutated("takes early") {
            self.timing.margin
        } else {
            self.timing.duration + self.timing.margin
        };
        seen.record.holder.is_none() || self.is_mine(&seen.record) || now >= seen.since + wait
    }

    fn must_wait_out(&self, record: &Record) -> bool {
        record.holder.is_some() && !self.is_mine(record) && !self.is_mutated("no waiting out")
    }

    fn is_mine(&self, record: &Record) -> bool {
        record.holder.as_ref() == Some(&self.me) && record.incarnation == self.incarnation
    }

    fn read(&mut self, now: Time, found: Option<(u64, Record)>) {
        self.call = None;
        let known = self.seen.as_ref().map_or(0, |seen| seen.version);
        let Some((version, record)) = found.filter(|(version, _)| *version >= known) else {
            // No record yet, or the word of a replica that is behind.
            self.fresh = known == 0;
            if let Some(open) = &mut self.open {
                open.read_back = open.version == 0;
            }
            return;
        };
        self.fresh = true;
        if version > known {
            self.seen = Some(Seen {
                version,
                record: record.clone(),
                since: now,
            });
        }
        let mine = self.is_mine(&record);
        match &mut self.open {
            Some(open) if mine && record.fence == open.fence && version > open.version => {
                let open = *open;
                self.gain(now, open, open.sent);
            }
            Some(open) if version == open.version => open.read_back = true,
            _ => self.open = None,
        }
        if self
            .held
            .is_some_and(|held| !mine || held.fence != record.fence)
        {
            self.held = None;
        }
    }

    fn written(&mut self, now: Time, version: u64) {
        let (Some(Action::Write { record, .. }), Some(open)) = (self.call.take(), self.open) else {
            return;
        };
        self.seen = Some(Seen {
            version,
            record,
            since: now,
        });
        // An earlier write on the same version can't have taken effect, as this one did.
        self.gain(now, open, self.call_sent);
    }

    fn gain(&mut self, now: Time, open: Open, sent: Time) {
        let from = if self.is_mutated("counts from the answer") {
            now
        } else {
            sent
        };
        self.held = Some(Grant {
            fence: open.fence,
            valid_until: from + self.timing.duration - self.timing.margin,
            commands_from: open.commands_from,
        });
        self.renew_at = sent + self.timing.renewal_interval();
        self.open = None;
    }

    fn conflict(&mut self) {
        self.call = None;
        // The other writer may be an earlier write of this candidate: the read tells.
        self.held = None;
        if let Some(open) = &mut self.open {
            open.read_back = false;
        }
    }

    fn not_done(&mut self) {
        self.call = None;
        if self.open.is_some_and(|open| open.sent == self.call_sent) {
            self.open = None;
        }
    }

    fn ambiguous(&mut self, now: Time) {
        if self.is_mutated("lost answer counts as success") {
            let version = self.seen.as_ref().map_or(0, |seen| seen.version) + 1;
            return self.written(now, version);
        }
        self.call = None;
        if let Some(open) = &mut self.open {
            open.read_back = false;
        }
    }

    fn release(&mut self, now: Time) -> Option<Action> {
        self.released = true;
        let held = self.held.take().filter(|held| now < held.valid_until)?;
        if self.call.is_some() {
            return None;
        }
        let Action::Write { version, record } = self.renewal(held) else {
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

    /// Sets the times that no longer matter to zero, so that a search meets equal states as equal.
    #[cfg(test)]
    pub(crate) fn normalize(&mut self, now: Time) {
        let wait = self.timing.duration + self.timing.margin;
        if self.call.is_none() {
            self.call_sent = Time::ZERO;
        }
        if self.mutation != Some("no bound") {
            self.held = self.held.filter(|held| now < held.valid_until);
        }
        if self.held.is_none() {
            self.renew_at = Time::ZERO;
        }
        if let Some(seen) = self.seen.as_mut().filter(|seen| now >= seen.since + wait) {
            seen.since = Time::ZERO;
        }
        if let Some(held) = self.held.as_mut().filter(|held| now >= held.commands_from) {
            held.commands_from = Time::ZERO;
        }
    }

    /// Reports whether this is the broken variant of a name.
    #[cfg(test)]
    fn is_mutated(&self, name: &str) -> bool {
        self.mutation == Some(name)
    }

    #[cfg(not(test))]
    fn is_mutated(&self, _name: &str) -> bool {
        false
    }
}
