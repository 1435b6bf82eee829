//! The state machine of one call on one node.

use std::time::Duration;

use super::{
    Action, EarlierCalls, Event, Outcome, QueryResult, Record, Reply, State, StoredRecord, Verdict,
    WriteError,
};
use crate::{kernel::Time, store::StoreVersion};

/// Time and retry limits of an order.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Limits {
    /// The time from the call until its order may no longer be sent.
    pub claim_timeout: Duration,
    /// The time from the permission to send until the service's answer counts as lost.
    pub answer_timeout: Duration,
    /// The time limit of querying the service about an attempt.
    pub query_timeout: Duration,
    /// The delay before another call to the store.
    pub retry_delay: Duration,
    /// The maximum number of sends, while no byte was sent to the service.
    pub max_sends: u32,
}

/// The stage of a call.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Stage {
    /// A write that would give the permission to send is in flight.
    Claiming,
    /// A read of the record, and so of the attempt that holds it, is in flight.
    Reading,
    /// The record is read again at a later time.
    Waiting { retry_at: Time },
    /// The order was handed over to be sent to the service.
    Sending {
        version: StoreVersion,
        deadline: Time,
    },
    /// The service is queried about an attempt, by the call that made the attempt or by a repeated
    /// call.
    Querying {
        stored: StoredRecord,
        deadline: Time,
    },
    /// The final state of the order is written, with retries until the store has it.
    Recording { record: Record, step: WriteStep },
    /// Nothing is left to do.
    Ended,
}

/// A step of writing the final state of an order.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum WriteStep {
    /// A write is in flight.
    Writing { version: StoreVersion },
    /// A read of the record's current version is in flight.
    Reading,
    /// The next try starts at a later time.
    Waiting { retry_at: Time },
}

/// A deliberate defect that the model check must find.
#[cfg(test)]
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Mutation {
    /// Sends before the record is written.
    SendFirst,
    /// Treats an ambiguous write as a permission to send.
    TrustAmbiguous,
    /// Treats any claim that is read back as its own.
    AnyAttempt,
    /// Sends again after a lost answer.
    SendAgain,
    /// Reports "not run" after a lost answer.
    NotRunAfterLoss,
    /// Takes over an unknown order.
    TakeUnknown,
    /// Takes over an order that an operator settled as not run.
    TakeSettled,
    /// Takes over a claim that has lapsed.
    TakeLapsed,
    /// Does not compare bodies.
    AnyBody,
    /// Reports that no earlier call ran without having read the record.
    AssumeFresh,
    /// Waits forever after a failed read.
    ForgetRead,
    /// Sends although the store may have lost the record of an earlier call.
    SendUnsettled,
}

/// A non-idempotent call on one node.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cassiareel::{
///     kernel::order::{Action, Event, Limits, Order, Record, State},
///     store::StoreVersion,
/// };
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
/// let actions = order.step(Duration::ZERO, Event::Written(Ok(StoreVersion::new(0, 1))));
/// assert!(matches!(actions[0], Action::Send { .. }));
/// ```
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Order {
    limits: Limits,
    // INVARIANT: names this call's attempt, in the claimed state.
    claim: Record,
    send_deadline: Time,
    // Until this time, records of earlier calls may be missing in the store.
    settled_at: Time,
    sends: u32,
    // INVARIANT: set while a write of this call is unresolved and may take effect later.
    has_open_write: bool,
    // INVARIANT: set once the store failed to apply a claim. The next read that fails or finds no
    // record then ends the call.
    write_failed: bool,
    // INVARIANT: set once a successful write or a read of the record showed that no earlier call ran.
    none_ran: bool,
    replied: bool,
    stage: Stage,
    #[cfg(test)]
    pub(crate) mutation: Option<Mutation>,
}

impl Order {
    /// Starts a call; the returned actions request the permission to send.
    pub fn start(limits: Limits, claim: Record, now: Time) -> (Order, Vec<Action>) {
        let send_deadline = now + limits.claim_timeout;
        let order = Order {
            limits,
            claim,
            send_deadline,
            settled_at: Time::ZERO,
            sends: 0,
            has_open_write: false,
            write_failed: false,
            none_ran: false,
            replied: false,
            stage: Stage::Claiming,
            #[cfg(test)]
            mutation: None,
        };
        let actions = vec![
            Action::Create(order.claim.clone()),
            Action::Wake { at: send_deadline },
        ];
        (order, actions)
    }

    /// Reports whether nothing is left to do.
    pub fn is_ended(&self) -> bool {
        self.stage == Stage::Ended
    }

    /// Reports whether the caller has its reply.
    pub fn is_answered(&self) -> bool {
        self.replied
    }

    /// Handles an event that occurs at the time `now`, and returns the resulting actions.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        if let Event::EraBegan { settled_at } = event {
            self.settled_at = self.settled_at.max(settled_at);
            return Vec::new();
        }
        match std::mem::replace(&mut self.stage, Stage::Ended) {
            Stage::Claiming => self.step_claiming(now, &event),
            Stage::Reading => self.step_reading(now, event),
            Stage::Waiting { retry_at } => self.step_waiting(now, &event, retry_at),
            Stage::Sending { version, deadline } => {
                self.step_sending(now, event, version, deadline)
            }
            Stage::Querying { stored, deadline } => {
                self.step_querying(now, event, stored, deadline)
            }
            Stage::Recording { record, step } => self.step_recording(now, event, record, step),
            Stage::Ended => Vec::new(),
        }
    }

    fn step_claiming(&mut self, now: Time, event: &Event) -> Vec<Action> {
        match event {
            Event::Written(Ok(version)) => {
                self.none_ran = true;
                self.send_order(now, *version)
            }
            Event::Written(Err(WriteError::Conflict)) => self.read_record(),
            Event::Written(Err(WriteError::NotApplied)) if self.has_open_write => {
                self.read_record()
            }
            Event::Written(Err(WriteError::NotApplied)) if self.write_failed => self.reject(),
            Event::Written(Err(WriteError::NotApplied)) => {
                // A store that rejects writes may still return the record of an earlier call.
                self.write_failed = true;
                self.read_record()
            }
            Event::Written(Err(WriteError::Ambiguous)) => {
                self.has_open_write = true;
                if self.is_mutated("TrustAmbiguous") {
                    return self.send_order(now, StoreVersion::new(0, 1));
                }
                self.read_record()
            }
            Event::Tick if now >= self.send_deadline => {
                // The write may still take effect, but the caller does not need to wait for it.
                self.has_open_write = true;
                self.reject()
            }
            _ => self.stay_in(Stage::Claiming),
        }
    }

    fn step_reading(&mut self, now: Time, event: Event) -> Vec<Action> {
        match event {
            Event::Read(Some(Some(stored))) => self.handle_record(now, stored),
            Event::Read(Some(None) | None) if self.write_failed => self.reject(),
            Event::Read(Some(None)) if now < self.send_deadline => {
                self.stage = Stage::Claiming;
                vec![Action::Create(self.claim.clone())]
            }
            // The read may come from an old replica, so it does not show that no earlier call ran.
            Event::Read(Some(None)) => self.reject(),
            Event::Read(None) if self.is_mutated("ForgetRead") => self.stay_in(Stage::Reading),
            Event::Read(None) if now < self.send_deadline => self.retry_later(now),
            Event::Read(None) => self.reject(),
            Event::Tick if now >= self.send_deadline && !self.is_mutated("ForgetRead") => {
                self.reject()
            }
            _ => self.stay_in(Stage::Reading),
        }
    }

    fn step_waiting(&mut self, now: Time, event: &Event, retry_at: Time) -> Vec<Action> {
        match event {
            Event::Tick if now >= retry_at => self.read_record(),
            _ => {
                self.stage = Stage::Waiting { retry_at };
                vec![Action::Wake { at: retry_at }]
            }
        }
    }

    /// Continues according to the stored record of this key.
    fn handle_record(&mut self, now: Time, stored: StoredRecord) -> Vec<Action> {
        if stored.record.digest != self.claim.digest && !self.is_mutated("AnyBody") {
            return self.finish(Reply::KeyReused);
        }
        let own = stored.record.attempt == self.claim.attempt || self.is_mutated("AnyAttempt");
        match stored.record.state.clone() {
            State::Claimed if own => {
                // No other attempt takes over a claim, so a read from an old replica is sufficient.
                self.none_ran = true;
                self.send_order(now, stored.version)
            }
            State::Claimed if stored.lapsed && self.is_mutated("TakeLapsed") => {
                self.take_over(now, &stored)
            }
            State::Claimed if stored.lapsed => self.query_attempt(now, stored),
            State::Claimed if now >= self.send_deadline => self.finish(Reply::InProgress),
            State::Claimed => self.retry_later(now),
            State::NotRun => self.take_over(now, &stored),
            State::Unknown if self.is_mutated("TakeUnknown") => self.take_over(now, &stored),
            State::Unknown => self.query_attempt(now, stored),
            State::Done { outcome } => self.finish(Reply::Outcome {
                outcome,
                repeat: true,
            }),
            State::Settled {
                verdict: Verdict::NotRun,
            } if self.is_mutated("TakeSettled") => self.take_over(now, &stored),
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
    ///
    /// After the send deadline the call is rejected instead.
    fn take_over(&mut self, now: Time, stored: &StoredRecord) -> Vec<Action> {
        if now >= self.send_deadline {
            return self.reject();
        }
        self.stage = Stage::Claiming;
        vec![Action::Replace {
            record: self.claim.clone(),
            version: stored.version,
        }]
    }

    /// Sends the order, for which this call has the permission.
    ///
    /// After the send deadline, and while records of earlier calls may be missing, it is recorded as
    /// not run instead.
    fn send_order(&mut self, now: Time, version: StoreVersion) -> Vec<Action> {
        self.has_open_write = false;
        if now < self.settled_at && !self.is_mutated("SendUnsettled") {
            return self.finish_unsettled(version);
        }
        if now >= self.send_deadline {
            return self.finish_not_run(version);
        }
        self.sends += 1;
        let deadline = now + self.limits.answer_timeout;
        self.stage = Stage::Sending { version, deadline };
        vec![
            Action::Send {
                attempt: self.claim.attempt.clone(),
                by: self.send_deadline,
            },
            Action::Wake { at: deadline },
        ]
    }

    fn step_sending(
        &mut self,
        now: Time,
        event: Event,
        version: StoreVersion,
        deadline: Time,
    ) -> Vec<Action> {
        match event {
            Event::Answered(outcome) => self.finish_ran(outcome, version),
            Event::NotSent if self.sends < self.limits.max_sends => self.send_order(now, version),
            Event::NotSent => self.finish_not_run(version),
            Event::Lost if self.is_mutated("NotRunAfterLoss") => self.finish_not_run(version),
            Event::Lost if self.is_mutated("SendAgain") => self.send_order(now, version),
            Event::Lost => self.query_own_attempt(now, version),
            Event::Tick if now >= deadline => self.query_own_attempt(now, version),
            _ => {
                self.stage = Stage::Sending { version, deadline };
                vec![Action::Wake { at: deadline }]
            }
        }
    }

    fn query_own_attempt(&mut self, now: Time, version: StoreVersion) -> Vec<Action> {
        let stored = StoredRecord {
            record: self.claim.clone(),
            version,
            lapsed: true,
        };
        self.query_attempt(now, stored)
    }

    fn query_attempt(&mut self, now: Time, stored: StoredRecord) -> Vec<Action> {
        let deadline = now + self.limits.query_timeout;
        let attempt = stored.record.attempt.clone();
        self.stage = Stage::Querying { stored, deadline };
        vec![Action::Query { attempt }, Action::Wake { at: deadline }]
    }

    fn step_querying(
        &mut self,
        now: Time,
        event: Event,
        stored: StoredRecord,
        deadline: Time,
    ) -> Vec<Action> {
        let own = stored.record.attempt == self.claim.attempt;
        match event {
            // The answer may still arrive while the service is queried.
            Event::Answered(outcome) if own => self.finish_ran(outcome, stored.version),
            Event::Queried(QueryResult::Ran(outcome)) => {
                let state = State::Done {
                    outcome: outcome.clone(),
                };
                let reply = Reply::Outcome {
                    outcome,
                    repeat: !own,
                };
                self.reply_and_record(reply, &stored, state)
            }
            Event::Queried(QueryResult::Blocked) => {
                let earlier = if own {
                    EarlierCalls::NotRun
                } else {
                    EarlierCalls::MayHaveRun
                };
                let reply = Reply::NotRun { earlier };
                self.reply_and_record(reply, &stored, State::NotRun)
            }
            Event::Queried(QueryResult::Inconclusive) => self.finish_unknown(&stored),
            Event::Tick if now >= deadline => self.finish_unknown(&stored),
            _ => {
                self.stage = Stage::Querying { stored, deadline };
                vec![Action::Wake { at: deadline }]
            }
        }
    }

    fn finish_unknown(&mut self, stored: &StoredRecord) -> Vec<Action> {
        if stored.record.state == State::Unknown {
            return self.finish(Reply::Unknown);
        }
        self.reply_and_record(Reply::Unknown, stored, State::Unknown)
    }

    fn finish_ran(&mut self, outcome: Outcome, version: StoreVersion) -> Vec<Action> {
        let state = State::Done {
            outcome: outcome.clone(),
        };
        let reply = Reply::Outcome {
            outcome,
            repeat: false,
        };
        self.record_own_state(reply, state, version)
    }

    fn finish_not_run(&mut self, version: StoreVersion) -> Vec<Action> {
        let reply = Reply::NotRun {
            earlier: EarlierCalls::NotRun,
        };
        self.record_own_state(reply, State::NotRun, version)
    }

    /// Ends a call whose key an earlier call may have used, in a record that the store has lost.
    fn finish_unsettled(&mut self, version: StoreVersion) -> Vec<Action> {
        let reply = Reply::NotRun {
            earlier: EarlierCalls::MayHaveRun,
        };
        self.record_own_state(reply, State::NotRun, version)
    }

    fn record_own_state(
        &mut self,
        reply: Reply,
        state: State,
        version: StoreVersion,
    ) -> Vec<Action> {
        let stored = StoredRecord {
            record: self.claim.clone(),
            version,
            lapsed: true,
        };
        self.reply_and_record(reply, &stored, state)
    }

    /// Replies at once, and writes the final state of the order until the store has it.
    fn reply_and_record(
        &mut self,
        reply: Reply,
        stored: &StoredRecord,
        state: State,
    ) -> Vec<Action> {
        let record = Record {
            state,
            ..stored.record.clone()
        };
        let mut actions = self.reply(reply);
        actions.push(Action::Replace {
            record: record.clone(),
            version: stored.version,
        });
        let version = stored.version;
        self.stage = Stage::Recording {
            record,
            step: WriteStep::Writing { version },
        };
        actions
    }

    /// Rejects a call that sent nothing and never will.
    fn reject(&mut self) -> Vec<Action> {
        let known = self.none_ran || self.is_mutated("AssumeFresh");
        let earlier = if known {
            EarlierCalls::NotRun
        } else {
            EarlierCalls::MayHaveRun
        };
        let mut actions = self.reply(Reply::NotRun { earlier });
        if !self.has_open_write {
            return actions;
        }
        // The claim may be in the store, or arrive there later. If it is missing, a record in the
        // state "not run" is created in its place, so that the unresolved write fails when it
        // arrives.
        let record = Record {
            state: State::NotRun,
            ..self.claim.clone()
        };
        actions.push(Action::Read);
        self.stage = Stage::Recording {
            record,
            step: WriteStep::Reading,
        };
        actions
    }

    fn step_recording(
        &mut self,
        now: Time,
        event: Event,
        record: Record,
        step: WriteStep,
    ) -> Vec<Action> {
        match (step, event) {
            (WriteStep::Writing { .. }, Event::Written(Ok(_))) => Vec::new(),
            (WriteStep::Writing { .. }, Event::Written(Err(WriteError::Conflict))) => {
                self.continue_recording(record, WriteStep::Reading, Action::Read)
            }
            (WriteStep::Writing { .. }, Event::Written(Err(_)))
            | (WriteStep::Reading, Event::Read(None)) => {
                let retry_at = now + self.limits.retry_delay;
                self.continue_recording(
                    record,
                    WriteStep::Waiting { retry_at },
                    Action::Wake { at: retry_at },
                )
            }
            (WriteStep::Reading, Event::Read(Some(Some(stored)))) => {
                if !record.supersedes(&stored.record) {
                    return Vec::new();
                }
                let version = stored.version;
                let action = Action::Replace {
                    record: record.clone(),
                    version,
                };
                self.continue_recording(record, WriteStep::Writing { version }, action)
            }
            (WriteStep::Reading, Event::Read(Some(None))) => {
                let action = Action::Create(record.clone());
                self.continue_recording(
                    record,
                    WriteStep::Writing {
                        version: StoreVersion::NONE,
                    },
                    action,
                )
            }
            (WriteStep::Waiting { retry_at }, Event::Tick) if now >= retry_at => {
                self.continue_recording(record, WriteStep::Reading, Action::Read)
            }
            (WriteStep::Waiting { retry_at }, _) => self.continue_recording(
                record,
                WriteStep::Waiting { retry_at },
                Action::Wake { at: retry_at },
            ),
            (step, _) => self.stay_in(Stage::Recording { record, step }),
        }
    }

    fn continue_recording(
        &mut self,
        record: Record,
        step: WriteStep,
        action: Action,
    ) -> Vec<Action> {
        self.stage = Stage::Recording { record, step };
        vec![action]
    }

    fn read_record(&mut self) -> Vec<Action> {
        self.stage = Stage::Reading;
        vec![Action::Read]
    }

    fn retry_later(&mut self, now: Time) -> Vec<Action> {
        let retry_at = self.send_deadline.min(now + self.limits.retry_delay);
        self.stage = Stage::Waiting { retry_at };
        vec![Action::Wake { at: retry_at }]
    }

    fn stay_in(&mut self, stage: Stage) -> Vec<Action> {
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
