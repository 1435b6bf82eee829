//! The state machine of one call at one node.

use std::time::Duration;

use super::{
    Action, EarlierCalls, Event, Outcome, QueryResult, Record, Reply, State, StoredRecord, Verdict,
    WriteError,
};
use crate::{kernel::Time, store::StoreVersion};

/// Bounds on an order.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Limits {
    /// Time from the call to the last moment at which it may be sent.
    pub claim_timeout: Duration,
    /// Time from the permission to the service's answer.
    pub answer_timeout: Duration,
    /// Time to ask the service what became of it.
    pub query_timeout: Duration,
    /// Time between calls of the store that wait for something.
    pub retry_delay: Duration,
    /// Times that a send may be tried while no byte has gone out.
    pub max_sends: u32,
}

/// Where the call stands.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Stage {
    /// A write that gives the permission is out.
    Claiming,
    /// A read is out that tells who holds the record.
    Reading,
    /// Another read comes at a time.
    Waiting { again: Time },
    /// The order is out at the service.
    Sending { version: StoreVersion, until: Time },
    /// The service is asked about an attempt, by its holder or by a repeat.
    Asking { read: StoredRecord, until: Time },
    /// What became of it is written, until the store has it.
    Recording { record: Record, step: Step },
    /// Nothing is left to do.
    Ended,
}

/// A step of writing what became of an order.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Step {
    /// A write is out.
    Writing { version: StoreVersion },
    /// A read is out that tells the version.
    Reading,
    /// The next try comes at a time.
    Waiting { again: Time },
}

/// A defect that the model check must find.
#[cfg(test)]
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Mutation {
    /// Sends before the record is written.
    SendFirst,
    /// Takes an ambiguous write for a permission.
    TrustAmbiguous,
    /// Takes any claim that is read back for its own.
    AnyAttempt,
    /// Sends again after a lost answer.
    SendAgain,
    /// Says "not run" after a lost answer.
    NotRunAfterLoss,
    /// Takes over an unknown order.
    TakeUnknown,
    /// Takes over an order that an operator settled as not run.
    TakeSettled,
    /// Takes over a claim that has lapsed.
    TakeLapsed,
    /// Does not compare bodies.
    AnyBody,
    /// Says that no earlier call ran without having read the record.
    AssumeFresh,
    /// Waits for ever after a read failed.
    ForgetRead,
}

/// A non-idempotent call at one node.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cassiareel::kernel::order::{Action, Event, Limits, Order, Record, State};
///
/// let limits = Limits {
///     claim_timeout: Duration::from_secs(2),
///     answer_timeout: Duration::from_secs(10),
///     query_timeout: Duration::from_secs(1),
///     retry_delay: Duration::from_millis(100),
///     max_sends: 3,
/// };
/// let record = Record {
///     account: "zrinski".into(),
///     caller: "shop".into(),
///     key: "gift-set-81".into(),
///     service: "orders".into(),
///     digest: "5f".into(),
///     attempt: "n1-7".into(),
///     since_ms: 0,
///     state: State::Claimed,
/// };
/// let (mut order, actions) = Order::start(limits, record, Duration::ZERO);
/// assert!(matches!(actions[0], Action::Create(_)));
/// let actions = order.step(Duration::ZERO, Event::Written(Ok(1)));
/// assert!(matches!(actions[0], Action::Send { .. }));
/// ```
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Order {
    limits: Limits,
    // INVARIANT: names this call's attempt, in the state of a claim.
    claim: Record,
    until: Time,
    sends: u32,
    // INVARIANT: set once a write that may take effect later was left open.
    open: bool,
    // INVARIANT: set once the store refused a claim: the next read that tells nothing ends the call.
    down: bool,
    // INVARIANT: set once the record was read and showed that no earlier call ran.
    fresh: bool,
    replied: bool,
    stage: Stage,
    #[cfg(test)]
    pub(crate) mutation: Option<Mutation>,
}

impl Order {
    /// Starts a call; the actions ask for the permission to send.
    pub fn start(limits: Limits, claim: Record, now: Time) -> (Order, Vec<Action>) {
        let until = now + limits.claim_timeout;
        let order = Order {
            limits,
            claim,
            until,
            sends: 0,
            open: false,
            down: false,
            fresh: false,
            replied: false,
            stage: Stage::Claiming,
            #[cfg(test)]
            mutation: None,
        };
        let actions = vec![
            Action::Create(order.claim.clone()),
            Action::Wake { at: until },
        ];
        (order, actions)
    }

    /// Reports whether nothing is left to do.
    pub fn is_ended(&self) -> bool {
        self.stage == Stage::Ended
    }

    /// Reports whether the caller has its answer.
    pub fn is_answered(&self) -> bool {
        self.replied
    }

    /// Takes an event at a time.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        match std::mem::replace(&mut self.stage, Stage::Ended) {
            Stage::Claiming => self.claiming(now, &event),
            Stage::Reading => self.reading(now, event),
            Stage::Waiting { again } => self.waiting(now, &event, again),
            Stage::Sending { version, until } => self.sending(now, event, version, until),
            Stage::Asking { read, until } => self.asking(now, event, read, until),
            Stage::Recording { record, step } => self.recording(now, event, record, step),
            Stage::Ended => Vec::new(),
        }
    }

    fn claiming(&mut self, now: Time, event: &Event) -> Vec<Action> {
        match event {
            Event::Written(Ok(version)) => {
                self.fresh = true;
                self.permitted(now, *version)
            }
            Event::Written(Err(WriteError::Conflict)) => self.read(),
            Event::Written(Err(WriteError::NotApplied)) if self.open => self.read(),
            Event::Written(Err(WriteError::NotApplied)) if self.down => self.refuse(),
            Event::Written(Err(WriteError::NotApplied)) => {
                // A store that takes no writes may still tell what became of an earlier call.
                self.down = true;
                self.read()
            }
            Event::Written(Err(WriteError::Ambiguous)) => {
                self.open = true;
                if self.is_mutated("TrustAmbiguous") {
                    return self.permitted(now, 1);
                }
                self.read()
            }
            Event::Tick if now >= self.until => {
                // The write may still take effect; the caller need not wait for it.
                self.open = true;
                self.refuse()
            }
            _ => self.stay(Stage::Claiming),
        }
    }

    fn reading(&mut self, now: Time, event: Event) -> Vec<Action> {
        match event {
            Event::Read(Some(Some(read))) => self.judge(now, read),
            Event::Read(Some(None) | None) if self.down => self.refuse(),
            Event::Read(Some(None)) if now < self.until => {
                self.stage = Stage::Claiming;
                vec![Action::Create(self.claim.clone())]
            }
            // The read may come from an old replica, and proves nothing of earlier calls.
            Event::Read(Some(None)) => self.refuse(),
            Event::Read(None) if self.is_mutated("ForgetRead") => self.stay(Stage::Reading),
            Event::Read(None) if now < self.until => self.pause(now),
            Event::Read(None) => self.refuse(),
            Event::Tick if now >= self.until && !self.is_mutated("ForgetRead") => self.refuse(),
            _ => self.stay(Stage::Reading),
        }
    }

    fn waiting(&mut self, now: Time, event: &Event, again: Time) -> Vec<Action> {
        match event {
            Event::Tick if now >= again => self.read(),
            _ => {
                self.stage = Stage::Waiting { again };
                vec![Action::Wake { at: again }]
            }
        }
    }

    /// Goes on from the record of this key.
    fn judge(&mut self, now: Time, read: StoredRecord) -> Vec<Action> {
        if read.record.digest != self.claim.digest && !self.is_mutated("AnyBody") {
            return self.finish(Reply::KeyReused);
        }
        let own = read.record.attempt == self.claim.attempt || self.is_mutated("AnyAttempt");
        match read.record.state.clone() {
            State::Claimed if own => {
                // Nobody takes a claim over, so that a read from an old replica serves too.
                self.fresh = true;
                self.permitted(now, read.version)
            }
            State::Claimed if read.lapsed && self.is_mutated("TakeLapsed") => self.take(now, &read),
            State::Claimed if read.lapsed => self.ask(now, read),
            State::Claimed if now >= self.until => self.finish(Reply::InProgress),
            State::Claimed => self.pause(now),
            State::NotRun => self.take(now, &read),
            State::Unknown if self.is_mutated("TakeUnknown") => self.take(now, &read),
            State::Unknown => self.ask(now, read),
            State::Done { outcome } => self.finish(Reply::Outcome {
                outcome,
                repeat: true,
            }),
            State::Settled {
                verdict: Verdict::NotRun,
            } if self.is_mutated("TakeSettled") => self.take(now, &read),
            State::Settled {
                verdict: Verdict::NotRun,
            }
            | State::Expired { ran: Some(false) } => self.finish(Reply::SettledNotRun),
            State::Settled {
                verdict: Verdict::Ran,
            }
            | State::Expired { ran: Some(true) } => self.finish(Reply::RanBefore),
            State::Expired { ran: None } => self.finish(Reply::Unknown),
        }
    }

    /// Takes over a record whose attempt sent nothing and never will.
    fn take(&mut self, now: Time, read: &StoredRecord) -> Vec<Action> {
        if now >= self.until {
            return self.refuse();
        }
        self.stage = Stage::Claiming;
        vec![Action::Replace {
            record: self.claim.clone(),
            version: read.version,
        }]
    }

    /// Goes on with the permission to send.
    fn permitted(&mut self, now: Time, version: StoreVersion) -> Vec<Action> {
        self.open = false;
        if now >= self.until {
            return self.not_run(version);
        }
        self.sends += 1;
        let until = now + self.limits.answer_timeout;
        self.stage = Stage::Sending { version, until };
        vec![
            Action::Send {
                attempt: self.claim.attempt.clone(),
                by: self.until,
            },
            Action::Wake { at: until },
        ]
    }

    fn sending(
        &mut self,
        now: Time,
        event: Event,
        version: StoreVersion,
        until: Time,
    ) -> Vec<Action> {
        match event {
            Event::Answered(outcome) => self.ran(outcome, version),
            Event::NotSent if self.sends < self.limits.max_sends => self.permitted(now, version),
            Event::NotSent => self.not_run(version),
            Event::Lost if self.is_mutated("NotRunAfterLoss") => self.not_run(version),
            Event::Lost if self.is_mutated("SendAgain") => self.permitted(now, version),
            Event::Lost => self.ask_own(now, version),
            Event::Tick if now >= until => self.ask_own(now, version),
            _ => {
                self.stage = Stage::Sending { version, until };
                vec![Action::Wake { at: until }]
            }
        }
    }

    fn ask_own(&mut self, now: Time, version: StoreVersion) -> Vec<Action> {
        let read = StoredRecord {
            record: self.claim.clone(),
            version,
            lapsed: true,
        };
        self.ask(now, read)
    }

    fn ask(&mut self, now: Time, read: StoredRecord) -> Vec<Action> {
        let until = now + self.limits.query_timeout;
        let attempt = read.record.attempt.clone();
        self.stage = Stage::Asking { read, until };
        vec![Action::Query { attempt }, Action::Wake { at: until }]
    }

    fn asking(&mut self, now: Time, event: Event, read: StoredRecord, until: Time) -> Vec<Action> {
        let own = read.record.attempt == self.claim.attempt;
        match event {
            // The answer may come while the service is asked.
            Event::Answered(outcome) if own => self.ran(outcome, read.version),
            Event::Queried(QueryResult::Ran(outcome)) => {
                let state = State::Done {
                    outcome: outcome.clone(),
                };
                let reply = Reply::Outcome {
                    outcome,
                    repeat: !own,
                };
                self.answer_and_record(reply, &read, state)
            }
            Event::Queried(QueryResult::Blocked) => {
                let earlier = if own {
                    EarlierCalls::NotRun
                } else {
                    EarlierCalls::MayHaveRun
                };
                let reply = Reply::NotRun { earlier };
                self.answer_and_record(reply, &read, State::NotRun)
            }
            Event::Queried(QueryResult::Inconclusive) => self.unknown(&read),
            Event::Tick if now >= until => self.unknown(&read),
            _ => {
                self.stage = Stage::Asking { read, until };
                vec![Action::Wake { at: until }]
            }
        }
    }

    fn unknown(&mut self, read: &StoredRecord) -> Vec<Action> {
        if read.record.state == State::Unknown {
            return self.finish(Reply::Unknown);
        }
        self.answer_and_record(Reply::Unknown, read, State::Unknown)
    }

    fn ran(&mut self, outcome: Outcome, version: StoreVersion) -> Vec<Action> {
        let state = State::Done {
            outcome: outcome.clone(),
        };
        let reply = Reply::Outcome {
            outcome,
            repeat: false,
        };
        self.record(reply, state, version)
    }

    fn not_run(&mut self, version: StoreVersion) -> Vec<Action> {
        let reply = Reply::NotRun {
            earlier: EarlierCalls::NotRun,
        };
        self.record(reply, State::NotRun, version)
    }

    fn record(&mut self, reply: Reply, state: State, version: StoreVersion) -> Vec<Action> {
        let read = StoredRecord {
            record: self.claim.clone(),
            version,
            lapsed: true,
        };
        self.answer_and_record(reply, &read, state)
    }

    /// Answers at once and writes what became of the order until the store has it.
    fn answer_and_record(
        &mut self,
        reply: Reply,
        read: &StoredRecord,
        state: State,
    ) -> Vec<Action> {
        let record = Record {
            state,
            ..read.record.clone()
        };
        let mut actions = self.reply(reply);
        actions.push(Action::Replace {
            record: record.clone(),
            version: read.version,
        });
        let version = read.version;
        self.stage = Stage::Recording {
            record,
            step: Step::Writing { version },
        };
        actions
    }

    /// Refuses a call that sent nothing and never will.
    fn refuse(&mut self) -> Vec<Action> {
        let known = self.fresh || self.is_mutated("AssumeFresh");
        let earlier = if known {
            EarlierCalls::NotRun
        } else {
            EarlierCalls::MayHaveRun
        };
        let mut actions = self.reply(Reply::NotRun { earlier });
        if !self.open {
            return actions;
        }
        // The claim may be in the store, or get there later; where it is not, the release takes
        // its place, so that a later claim by the open write fails.
        let record = Record {
            state: State::NotRun,
            ..self.claim.clone()
        };
        actions.push(Action::Read);
        self.stage = Stage::Recording {
            record,
            step: Step::Reading,
        };
        actions
    }

    fn recording(&mut self, now: Time, event: Event, record: Record, step: Step) -> Vec<Action> {
        match (step, event) {
            (Step::Writing { .. }, Event::Written(Ok(_))) => Vec::new(),
            (Step::Writing { .. }, Event::Written(Err(WriteError::Conflict))) => {
                self.record_step(record, Step::Reading, Action::Read)
            }
            (Step::Writing { .. }, Event::Written(Err(_))) | (Step::Reading, Event::Read(None)) => {
                let again = now + self.limits.retry_delay;
                self.record_step(record, Step::Waiting { again }, Action::Wake { at: again })
            }
            (Step::Reading, Event::Read(Some(Some(read)))) => {
                if read.record.attempt != record.attempt || !overwrites(&record, &read.record) {
                    return Vec::new();
                }
                let version = read.version;
                let action = Action::Replace {
                    record: record.clone(),
                    version,
                };
                self.record_step(record, Step::Writing { version }, action)
            }
            (Step::Reading, Event::Read(Some(None))) => {
                let action = Action::Create(record.clone());
                self.record_step(record, Step::Writing { version: 0 }, action)
            }
            (Step::Waiting { again }, Event::Tick) if now >= again => {
                self.record_step(record, Step::Reading, Action::Read)
            }
            (Step::Waiting { again }, _) => {
                self.record_step(record, Step::Waiting { again }, Action::Wake { at: again })
            }
            (step, _) => self.stay(Stage::Recording { record, step }),
        }
    }

    fn record_step(&mut self, record: Record, step: Step, action: Action) -> Vec<Action> {
        self.stage = Stage::Recording { record, step };
        vec![action]
    }

    fn read(&mut self) -> Vec<Action> {
        self.stage = Stage::Reading;
        vec![Action::Read]
    }

    fn pause(&mut self, now: Time) -> Vec<Action> {
        let again = self.until.min(now + self.limits.retry_delay);
        self.stage = Stage::Waiting { again };
        vec![Action::Wake { at: again }]
    }

    fn stay(&mut self, stage: Stage) -> Vec<Action> {
        self.stage = stage;
        Vec::new()
    }

    fn finish(&mut self, reply: Reply) -> Vec<Action> {
        self.stage = Stage::Ended;
        self.reply(reply)
    }

    fn reply(&mut self, reply: Reply) -> Vec<Action> {
        if std::mem::replace(&mut self.replied, true) {
            return Vec::new();
        }
        vec![Action::Reply(reply)]
    }

    #[cfg(test)]
    fn is_mutated(&self, name: &str) -> bool {
        self.mutation.is_some_and(|m| format!("{m:?}") == name)
    }

    #[cfg(not(test))]
    fn is_mutated(&self, _name: &str) -> bool {
        false
    }
}

/// Reports whether what an attempt knows is more than what is stored of it.
fn overwrites(record: &Record, stored: &Record) -> bool {
    match stored.state {
        State::Claimed => true,
        State::Unknown => record.state != State::Unknown,
        _ => false,
    }
}
