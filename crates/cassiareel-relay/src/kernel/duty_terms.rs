/*!
When the holder of the duties' lease may make a call.

The lease alone says who holds it. A call may outlast the lease: it may be carried out some time after
it was sent. This module adds the rests and waits that keep calls of two holders apart.
*/

use std::time::Duration;

use cassiareel::kernel::{
    lease::{Grant, Timing},
    Fence,
};

use crate::clock::Moment;

/// The longest wait for the answer to a call.
const MAX_CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// The wait for an answer as a part of the lease's duration. Between two renewals, the lease is valid
/// for longer than that.
const CALL_TIMEOUT_PART: f64 = 0.3;

/// The time that is allowed from a call to its last effect, in durations of the lease.
const MAX_ACTION_PART: f64 = 4.0 / 3.0;

/// The margin of the lease is its duration divided by this number.
const MARGIN_DIVISOR: u32 = 6;

/// The largest exponent of two by which the next fencing token rises after refusals.
const MAX_RISE: u32 = 32;

/// The rules of a deployment's duties.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct DutyRules {
    /// The duration of the lease.
    pub lease: Duration,
    /// The longest time from a call to its last effect.
    pub max_action: Duration,
    /// How long an answer is waited for.
    pub call_timeout: Duration,
    /// Whether the platform refuses calls with lower fencing tokens than it has seen.
    pub checks_fencing: bool,
}

impl DutyRules {
    /// Returns the rules for a duration of the lease.
    pub fn new(lease: Duration, checks_fencing: bool) -> DutyRules {
        DutyRules {
            lease,
            max_action: lease.mul_f64(MAX_ACTION_PART),
            call_timeout: lease.mul_f64(CALL_TIMEOUT_PART).min(MAX_CALL_TIMEOUT),
            checks_fencing,
        }
    }

    /// Returns the times of the lease.
    pub fn timing(&self) -> Timing {
        Timing {
            duration: self.lease,
            margin: self.lease / MARGIN_DIVISOR,
            max_action: self.max_action,
        }
    }
}

/// What is known of a call that has ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum CallEnd {
    /// It was carried out, or never will be.
    Settled,
    /// It may yet be carried out.
    Open,
    /// It was refused, since a higher fencing token was seen.
    Fenced,
}

/// A time during which a node holds the lease with one fencing token.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct DutyTerm {
    /// The fencing token.
    pub fence: Fence,
    /// The earliest time of a call.
    pub from: Moment,
}

/// The change of a node's term.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TermChange {
    /// The fencing token of the term that has ended.
    pub ended: Option<Fence>,
    /// The term that has begun.
    pub began: Option<DutyTerm>,
}

/// A node's terms as the holder of the duties' lease.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct DutyTerms {
    rules: DutyRules,
    term: Option<DutyTerm>,
    /// No call is made before this time: another node may have acted in between.
    rest_until: Moment,
    /// The latest time at which a call without an answer may be carried out.
    open_until: Moment,
    /// The highest fencing token that was refused; no call is made with it again.
    refused: Fence,
    /// The number of refusals since a call was carried out.
    refusals: u32,
    /// The deliberate defect that the model check must find.
    #[cfg(test)]
    mutation: Option<&'static str>,
}

impl DutyTerms {
    /// Creates the terms of a process that started at `now`. An earlier process on the same machine may
    /// have sent a call just before, which is carried out up to `max_action` later, and another node
    /// may act in between.
    pub fn new(rules: DutyRules, now: Moment) -> DutyTerms {
        DutyTerms {
            rules,
            term: None,
            rest_until: now + rules.max_action + rules.lease,
            open_until: Moment::ZERO,
            refused: 0,
            refusals: 0,
            #[cfg(test)]
            mutation: None,
        }
    }

    /// Creates terms with a deliberate defect that the model check must find.
    #[cfg(test)]
    pub(crate) fn with_mutation(
        rules: DutyRules,
        now: Moment,
        mutation: Option<&'static str>,
    ) -> DutyTerms {
        let mut terms = DutyTerms::new(rules, now);
        terms.mutation = mutation;
        if terms.is_mutated("no rest after a start") {
            terms.rest_until = now;
        }
        if terms.is_mutated("no rest after earlier calls") {
            terms.rest_until = now + rules.lease;
        }
        terms
    }

    /// Returns the rules.
    pub fn rules(&self) -> DutyRules {
        self.rules
    }

    /// Follows the node's lease; returns what changed.
    pub fn observe(&mut self, now: Moment, grant: Option<Grant>) -> TermChange {
        let grant = grant.filter(|grant| grant.fence > self.refused);
        let fence = grant.map(|grant| grant.fence);
        let ended = self.term.take_if(|term| Some(term.fence) != fence);
        if ended.is_some() && !self.is_mutated("no rest after a term") {
            self.rest_until = now.max(self.open_until) + self.rules.lease;
        }
        let mut began = None;
        if let (None, Some(grant)) = (self.term, grant) {
            began = Some(DutyTerm {
                fence: grant.fence,
                from: self.first_call(now, grant),
            });
            self.term = began;
        }
        TermChange {
            ended: ended.map(|term| term.fence),
            began,
        }
    }

    /// Returns the earliest time of a call in a term that begins.
    fn first_call(&self, now: Moment, grant: Grant) -> Moment {
        let rested = now.max(self.rest_until);
        if self.rules.checks_fencing || self.is_mutated("no wait for open calls") {
            return rested;
        }
        // A call with a lower token may yet be carried out: one of another holder, or one of an
        // earlier term of this node.
        rested.max(grant.commands_from).max(self.open_until)
    }

    /// Returns the fencing token of a call that is sent now; `None` where none may be sent. The lease
    /// has to outlast the time in which the call is sent.
    pub fn call_fence(&self, now: Moment, grant: Option<Grant>) -> Option<Fence> {
        let term = self.term?;
        if self.is_mutated("no check before a call") {
            return Some(term.fence);
        }
        let grant = grant.filter(|grant| grant.fence == term.fence)?;
        let lasts = now + self.rules.call_timeout <= grant.valid_until;
        let refused = term.fence <= self.refused;
        (lasts && !refused && now >= term.from).then_some(term.fence)
    }

    /// Records the end of a call; returns the lowest fencing token to take next, if it was refused.
    pub fn record(&mut self, now: Moment, fence: Fence, end: CallEnd) -> Option<Fence> {
        match end {
            CallEnd::Settled => self.refusals = 0,
            CallEnd::Open => self.open_until = self.open_until.max(now + self.rules.max_action),
            CallEnd::Fenced => return Some(self.refuse(fence)),
        }
        None
    }

    /// Ends the use of a fencing token. The next one is higher by a power of two that doubles with each
    /// refusal, since the highest token that the platform has seen can't be read.
    fn refuse(&mut self, fence: Fence) -> Fence {
        if !self.is_mutated("a refused token is used again") {
            self.refused = self.refused.max(fence);
        }
        let rise = 1 << self.refusals.min(MAX_RISE);
        self.refusals += 1;
        fence.saturating_add(rise)
    }

    /// Reports whether the lease may be released for the next holder to act at once. Where tokens are
    /// not checked, it has to wait for calls that may yet be carried out.
    pub fn may_release(&self, now: Moment) -> bool {
        self.rules.checks_fencing
            || now >= self.open_until
            || self.is_mutated("release with open calls")
    }

    /// Sets the times that no longer matter to zero, so that a search treats equivalent states as
    /// equal.
    #[cfg(test)]
    pub(crate) fn normalize(&mut self, now: Moment) {
        for time in [&mut self.rest_until, &mut self.open_until] {
            if *time <= now {
                *time = Moment::ZERO;
            }
        }
        if let Some(term) = self.term.as_mut().filter(|term| term.from <= now) {
            term.from = Moment::ZERO;
        }
    }

    /// Reports whether the named defect is active.
    #[cfg(test)]
    fn is_mutated(&self, name: &str) -> bool {
        self.mutation == Some(name)
    }

    #[cfg(not(test))]
    fn is_mutated(&self, _name: &str) -> bool {
        false
    }
}
