//! A model of two candidates for the duties, the lease's record in the store, and the platform that
//! takes the calls.
//!
//! The candidates run [`Lease`] and [`DutyTerms`] as the driver does: it follows the lease, and checks
//! the grant again right before each call, any time later. A poll and its calls of the store are one
//! step unless the store loses the answer or carries a write out late; the model of the lease itself
//! searches all orders of these. The clocks run at the same rate, so the margin is zero.
//!
//! Time may pass while a candidate takes no step, which covers a pause anywhere but between the check
//! and the send of a call. That freeze is a step of its own. A call without an answer is carried out
//! at any time within `max_action`, any number of times or never.

use std::time::Duration;

use cassiareel::{
    kernel::{
        check::{search, Model},
        lease::{Action, Event, Lease, Record},
        Fence,
    },
    store::{StoreEra, StoreVersion},
};
use test_case::test_case;

use super::{CallEnd, DutyRules, DutyTerms};

/// The names of the candidates' machines.
const NAMES: [&str; 2] = ["a", "b"];

/// The lease's duration in units of the model's time.
const LEASE: u64 = 2;

/// The maximum number of states that a search may reach.
const MAX_STATES: usize = 400_000;

// The invariants.
const ABA: &str = "no A, B, A within the duration of the lease";

const REORDERED: &str = "no call is carried out after one with a higher token";

const SHARED: &str = "a token has one sender";

const REUSED: &str = "a refused token is not used again";

/// How the store handles the write of a poll.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Write {
    Answered,
    AnswerLost,
    Late,
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Sending {
    /// It is carried out and answered at once.
    Answered,
    /// It gets no answer.
    Unanswered,
    /// It gets no answer, and its sender crashes and restarts.
    Crashed,
}

/// A call without an answer, which may yet be carried out.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct OpenCall {
    fence: Fence,
    sender: usize,
    /// The time before which it is carried out.
    end: u64,
    /// Whether it was sent at the end of a freeze.
    exempt: bool,
}

/// The platform that takes the calls.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct Target {
    highest: Fence,
    /// The sender of the last call that was accepted.
    last: Option<usize>,
    /// The time of the last call that was accepted from each sender.
    times: [Option<u64>; 2],
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Candidate {
    lease: Lease,
    terms: DutyTerms,
    era: StoreEra,
    /// A call that passed the check before a freeze, with the time of the check.
    checked: Option<(Fence, u64)>,
    /// The highest token of the process that was refused.
    refused: Fence,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct World {
    now: u64,
    version: StoreVersion,
    record: Record,
    /// The version and the record before the last write.
    old: (StoreVersion, Record),
    late_writes: Vec<(StoreVersion, Record)>,
    open_calls: Vec<OpenCall>,
    target: Target,
    candidates: [Candidate; 2],
    /// The tokens of calls that were sent, with their senders.
    sent: Vec<(Fence, usize)>,
    faults: u8,
    restores: u8,
    violation: Option<&'static str>,
}

/// Bounds of a search.
#[derive(Clone, Copy)]
struct Duties {
    mutation: Option<&'static str>,
    checks_fencing: bool,
    /// The time that a search covers, after the candidates' first rest.
    horizon: u64,
    max_action: u64,
    faults: u8,
    /// Whether a fault may be the store's.
    store_fails: bool,
    restores: u8,
    /// The highest token that the platform has seen before.
    seen: Fence,
}

/// A step of a candidate, which changes the world.
type Change<'a> = &'a dyn Fn(&mut World);

impl Duties {
    fn rules(&self) -> DutyRules {
        DutyRules {
            lease: units(LEASE),
            max_action: units(self.max_action),
            call_timeout: units(1),
            checks_fencing: self.checks_fencing,
        }
    }

    fn candidate(&self, i: usize, incarnation: u64, now: u64) -> Candidate {
        let rules = self.rules();
        let mut timing = rules.timing();
        timing.margin = Duration::ZERO;
        let mut lease = Lease::new(NAMES[i].into(), incarnation, timing);
        lease.mutation = self.mutation;
        Candidate {
            lease,
            terms: DutyTerms::with_mutation(rules, units(now), self.mutation),
            era: 0,
            checked: None,
            refused: 0,
        }
    }

    /// The time at which the candidates of a search have rested since their start.
    fn begin(&self) -> u64 {
        LEASE + self.max_action
    }

    fn restart(&self, world: &mut World, i: usize) {
        // Each restart uses up a fault, so that no two processes have the same incarnation.
        let incarnation = 2 + u64::from(world.faults);
        world.candidates[i] = self.candidate(i, incarnation, world.now);
    }

    /// Polls as the driver of the lease does, and follows the lease.
    fn poll(&self, world: &mut World, i: usize, write: Write) {
        let now = units(world.now);
        let mut event = Event::Tick;
        loop {
            let candidate = &mut world.candidates[i];
            let era = candidate.era;
            let lease = &mut candidate.lease;
            lease.step(now, Event::EraSeen { era });
            let action = match lease.step(now, event) {
                None if lease.can_acquire(now) => lease.step(now, Event::Tick),
                action => action,
            };
            event = match action {
                Some(action) => world.call_store(i, &action, write),
                None => break,
            };
        }
        let candidate = &mut world.candidates[i];
        let grant = candidate.lease.grant(now);
        candidate.terms.observe(now, grant);
    }

    /// Sends a call that passed the check, and draws the conclusions of its outcome.
    fn send(&self, world: &mut World, i: usize, fence: Fence, exempt: bool, sending: Sending) {
        world.record_send(i, fence);
        let end = match sending {
            Sending::Answered => world.carry_out(self.checks_fencing, i, fence, exempt),
            Sending::Unanswered | Sending::Crashed => {
                world.faults -= 1;
                world.open_calls.push(OpenCall {
                    fence,
                    sender: i,
                    end: world.now + self.max_action,
                    exempt,
                });
                CallEnd::Open
            }
        };
        if sending == Sending::Crashed {
            return self.restart(world, i);
        }
        let now = units(world.now);
        let candidate = &mut world.candidates[i];
        if end == CallEnd::Fenced {
            candidate.refused = candidate.refused.max(fence);
        }
        if let Some(next) = candidate.terms.record(now, fence, end) {
            candidate.lease.step(now, Event::Fenced { fence, next });
        }
    }

    /// Stops a process as planned, and starts another one on the machine.
    fn stop(&self, world: &mut World, i: usize, write: Write) {
        let now = units(world.now);
        let candidate = &mut world.candidates[i];
        candidate.terms.observe(now, None);
        if candidate.terms.may_release(now) {
            if let Some(action) = candidate.lease.step(now, Event::Release) {
                world.call_store(i, &action, write);
            }
        }
        world.faults -= 1;
        self.restart(world, i);
    }

    /// Returns the steps of a candidate.
    fn candidate_steps(&self, world: &World, i: usize) -> Vec<(String, World)> {
        let mut steps = Vec::new();
        let mut add = |label: &str, change: Change<'_>| {
            let mut next = world.clone();
            change(&mut next);
            next.normalize();
            if next != *world {
                steps.push((format!("{}: {label}", NAMES[i]), next));
            }
        };
        let candidate = &world.candidates[i];
        let now = units(world.now);
        let is_faulty = world.faults > 0;
        let sendings = match is_faulty {
            true => &[Sending::Answered, Sending::Unanswered, Sending::Crashed][..],
            false => &[Sending::Answered],
        };
        if let Some((fence, at)) = candidate.checked {
            for sending in sendings {
                add(&format!("wakes, sends {fence}, {sending:?}"), &|w| {
                    w.candidates[i].checked = None;
                    self.send(w, i, fence, w.now > at, *sending);
                });
            }
            return steps;
        }
        add("polls", &|w| self.poll(w, i, Write::Answered));
        let grant = candidate.lease.grant(now);
        if let Some(fence) = candidate.terms.call_fence(now, grant) {
            for sending in sendings {
                add(&format!("sends {fence}, {sending:?}"), &|w| {
                    self.send(w, i, fence, false, *sending);
                });
            }
            if is_faulty {
                add("freezes before the send", &|w| {
                    w.faults -= 1;
                    w.candidates[i].checked = Some((fence, w.now));
                });
            }
        }
        if is_faulty && self.store_fails {
            for write in [Write::AnswerLost, Write::Late] {
                add(&format!("polls, write {write:?}"), &|w| {
                    self.poll(w, i, write);
                });
            }
        }
        if is_faulty {
            add("stops and restarts", &|w| self.stop(w, i, Write::Answered));
            add("crashes and restarts", &|w| {
                w.faults -= 1;
                self.restart(w, i);
            });
        }
        steps
    }
}

impl World {
    /// Drops what no longer matters.
    fn normalize(&mut self) {
        let (now, version) = (self.now, self.version);
        for candidate in &mut self.candidates {
            candidate.lease.normalize(units(now));
            candidate.terms.normalize(units(now));
        }
        self.late_writes
            .retain(|(base, _)| *base == version || base.is_none() && version.is_none());
        self.open_calls.retain(|call| call.end > now);
        self.open_calls.sort_unstable();
        for time in &mut self.target.times {
            time.take_if(|time| *time + LEASE <= now);
        }
        if self.restores == 0 {
            self.old = Default::default();
        }
    }

    /// Carries out a candidate's call of the store; returns its answer.
    fn call_store(&mut self, i: usize, action: &Action, write: Write) -> Event {
        match action {
            Action::Read => {
                self.candidates[i].era = self.version.era();
                let found = (!self.version.is_none()).then(|| (self.version, self.record.clone()));
                Event::Read { found }
            }
            Action::Write { version, record } if write == Write::Late => {
                self.faults -= 1;
                self.late_writes.push((*version, record.clone()));
                Event::Ambiguous
            }
            Action::Write { version, record } => {
                let event = self.apply(*version, record);
                if write == Write::AnswerLost {
                    self.faults -= 1;
                    return Event::Ambiguous;
                }
                self.candidates[i].era = self.version.era();
                event
            }
        }
    }

    /// Applies a conditional write. A creation names no era.
    fn apply(&mut self, base: StoreVersion, record: &Record) -> Event {
        let replaces = base == self.version || base.is_none() && self.version.is_none();
        if !replaces {
            return Event::Conflict;
        }
        self.old = (self.version, self.record.clone());
        self.version = StoreVersion::new(self.version.era(), self.version.revision() + 1);
        self.record = record.clone();
        Event::Written {
            version: self.version,
        }
    }

    /// Checks the token of a call that is sent.
    fn record_send(&mut self, i: usize, fence: Fence) {
        if fence <= self.candidates[i].refused {
            self.violation = Some(REUSED);
        }
        match self.sent.iter().find(|(token, _)| *token == fence) {
            Some((_, sender)) if *sender != i => {
                self.violation = Some(SHARED);
            }
            Some(_) => {}
            None => self.sent.push((fence, i)),
        }
    }

    /// Carries out a call at the platform.
    fn carry_out(&mut self, checks: bool, i: usize, fence: Fence, exempt: bool) -> CallEnd {
        let (now, target) = (self.now, &mut self.target);
        if checks && fence < target.highest {
            return CallEnd::Fenced;
        }
        if exempt && !checks {
            return CallEnd::Settled;
        }
        if fence < target.highest {
            self.violation = Some(REORDERED);
        }
        let is_other = target.last.is_some_and(|last| last != i);
        if is_other && target.times[i].is_some_and(|time| now < time + LEASE) {
            self.violation = Some(ABA);
        }
        target.highest = target.highest.max(fence);
        target.last = Some(i);
        target.times[i] = Some(now);
        CallEnd::Settled
    }
}

impl Model for Duties {
    type State = World;

    fn initial(&self) -> World {
        let candidate = |i| self.candidate(i, 1, 0);
        let mut world = World {
            now: self.begin(),
            version: StoreVersion::NONE,
            record: Record::default(),
            old: Default::default(),
            late_writes: Vec::new(),
            open_calls: Vec::new(),
            target: Target {
                highest: self.seen,
                ..Target::default()
            },
            candidates: [candidate(0), candidate(1)],
            sent: Vec::new(),
            faults: self.faults,
            restores: self.restores,
            violation: None,
        };
        // The candidates are alike: the first one creates the record.
        self.poll(&mut world, 0, Write::Answered);
        world.normalize();
        world
    }

    fn steps(&self, world: &World) -> Vec<(String, World)> {
        let mut steps = Vec::new();
        let mut add = |label: String, change: Change<'_>| {
            let mut next = world.clone();
            change(&mut next);
            next.normalize();
            steps.push((label, next));
        };
        if world.now < self.begin() + self.horizon {
            add(format!("time {}", world.now + 1), &|w| w.now += 1);
        }
        for (i, (base, record)) in world.late_writes.iter().enumerate() {
            add(format!("a late write: {record:?}"), &|w| {
                w.late_writes.remove(i);
                w.apply(*base, record);
            });
        }
        for call in &world.open_calls {
            add(format!("the platform carries out {call:?}"), &|w| {
                w.carry_out(self.checks_fencing, call.sender, call.fence, call.exempt);
            });
        }
        if world.restores > 0 {
            for (old, record) in [(StoreVersion::NONE, Record::default()), world.old.clone()] {
                add("the store is restored".to_owned(), &|w| {
                    w.restores -= 1;
                    w.version = StoreVersion::new(w.version.era() + 1, old.revision());
                    w.record = record.clone();
                });
            }
        }
        for i in 0..NAMES.len() {
            steps.extend(self.candidate_steps(world, i));
        }
        steps
    }

    fn invariant(&self, world: &World) -> Result<(), &'static str> {
        world.violation.map_or(Ok(()), Err)
    }
}

fn units(count: u64) -> Duration {
    Duration::from_secs(count)
}

const CHECKED: Duties = Duties {
    mutation: None,
    checks_fencing: true,
    horizon: 3,
    max_action: 2,
    faults: 2,
    store_fails: false,
    restores: 0,
    seen: 0,
};

const ONE_FAULT: Duties = Duties {
    horizon: 5,
    faults: 1,
    store_fails: true,
    ..CHECKED
};

const UNCHECKED: Duties = Duties {
    checks_fencing: false,
    horizon: 4,
    ..CHECKED
};

#[test_case(&CHECKED; "tokens are checked, two faults")]
#[test_case(&Duties { seen: 2, horizon: 4, ..ONE_FAULT }; "the platform has seen a higher token")]
#[test_case(&Duties { restores: 1, faults: 0, horizon: 4, ..CHECKED }; "tokens are checked, restored store")]
#[test_case(&UNCHECKED; "tokens are not checked, two faults")]
#[test_case(&ONE_FAULT; "tokens are checked, one fault")]
#[test_case(&Duties { checks_fencing: false, ..ONE_FAULT }; "tokens are not checked, one fault")]
#[test_case(&Duties { restores: 1, faults: 0, ..UNCHECKED }; "tokens are not checked, restored store")]
fn duties_are_safe_in_every_reachable_state(model: &Duties) {
    let report = search(model, MAX_STATES);
    println!(
        "duties, checked {}, {} s, {} faults, {} restores, seen {}: {report}",
        model.checks_fencing, model.horizon, model.faults, model.restores, model.seen
    );
    assert!(report.violation.is_none(), "{report}");
}

#[test_case("no rest after a start", CHECKED, ABA)]
#[test_case("no rest after earlier calls", CHECKED, ABA)]
#[test_case("no rest after a term", CHECKED, ABA)]
#[test_case("no wait for open calls", UNCHECKED, REORDERED)]
#[test_case("release with open calls", UNCHECKED, REORDERED)]
#[test_case("no check before a call", UNCHECKED, REORDERED)]
#[test_case("fence does not increase", CHECKED, SHARED)]
#[test_case("a refused token is used again", Duties { seen: 2, ..CHECKED }, REUSED)]
fn search_finds_defect(mutation: &'static str, model: Duties, invariant: &str) {
    let model = Duties {
        mutation: Some(mutation),
        ..model
    };
    let report = search(&model, MAX_STATES);
    println!("duties, {mutation}: {report}");
    let violation = report.violation.expect("the search finds the defect");
    assert_eq!(violation.invariant, invariant);
}
