//! The driver of one order.

use std::{
    collections::VecDeque,
    future::pending,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};

use futures_lite::FutureExt;
use slog::{info, Logger};
use smol::Timer;

use super::{
    store::{now_ms, Records},
    OrderClient, SendResult,
};
use crate::{
    hooks::{self, Hooks, Step},
    kernel::{
        order::{Action, Event, Limits, Order, Record, Reply, State},
        AccountId, CallerId, ServiceId, Time,
    },
    observe::{Counter, Metrics},
    runtime::Spawner,
    store::Objects,
    wire::BoxFuture,
};

/// Slack for clocks that differ, after which a claim counts as lapsed.
const LAPSE_MARGIN: Duration = Duration::from_secs(5);

/// A call as its caller names it.
#[derive(Clone, Debug)]
pub struct Request {
    /// The client account.
    pub account: AccountId,
    /// The caller beneath it.
    pub caller: CallerId,
    /// The service.
    pub service: ServiceId,
    /// The `Idempotency-Key`.
    pub key: Arc<str>,
    /// SHA-256 of method, path and body, in hexadecimal.
    pub digest: Arc<str>,
}

/// The orders of a node.
pub struct Orders {
    records: Records,
    hooks: Arc<dyn Hooks>,
    spawner: Spawner,
    /// Names the node's life, so that no two attempts in the fleet have the same name.
    life: String,
    attempts: AtomicU64,
}

impl Orders {
    /// Orders whose records are kept in `objects`.
    pub fn new(
        objects: Arc<dyn Objects>,
        spawner: Spawner,
        hooks: Arc<dyn Hooks>,
        metrics: Arc<Metrics>,
        log: Logger,
    ) -> Orders {
        Orders {
            records: Records {
                objects,
                metrics,
                log,
            },
            hooks,
            spawner,
            life: format!("{:016x}{:016x}", fastrand::u64(..), now_ms()),
            attempts: AtomicU64::new(0),
        }
    }

    /// The records, for operators.
    pub(super) fn records(&self) -> &Records {
        &self.records
    }

    /// Makes a call and returns the answer for its caller; none when the node stops before.
    ///
    /// Dropping the returned future does not end the call.
    pub async fn call(
        &self,
        request: Request,
        limits: Limits,
        courier: Arc<dyn OrderClient>,
        log: Logger,
    ) -> Option<Reply> {
        let number = self.attempts.fetch_add(1, Ordering::Relaxed);
        let claim = Record {
            account: request.account,
            caller: request.caller,
            key: request.key,
            service: request.service,
            digest: request.digest,
            attempt: format!("{}-{number}", self.life).into(),
            since_ms: now_ms(),
            state: State::Claimed,
        };
        let (reply, replied) = async_channel::bounded(1);
        let log =
            log.new(slog::o!("order" => name(&claim), "attempt" => claim.attempt.to_string()));
        let driver = Driver {
            name: name(&claim),
            lapse: limits.claim_timeout
                + limits.answer_timeout
                + limits.query_timeout
                + LAPSE_MARGIN,
            records: Records {
                log: log.clone(),
                ..self.records.clone()
            },
            hooks: self.hooks.clone(),
            courier,
            log,
            reply,
            origin: Instant::now(),
            wake: Duration::MAX,
            store: None,
            send: None,
            ask: None,
        };
        self.spawner.spawn(driver.run(limits, claim)).detach();
        replied.recv().await.ok()
    }
}

/// The name of a record's object.
fn name(record: &Record) -> String {
    super::record_name(
        &record.account,
        &record.caller,
        &record.service,
        &record.key,
    )
}

/// A call of the store or the service under way.
type Pending = Option<BoxFuture<'static, Event>>;

/// The state of an order at work.
struct Driver {
    name: String,
    lapse: Duration,
    records: Records,
    hooks: Arc<dyn Hooks>,
    courier: Arc<dyn OrderClient>,
    log: Logger,
    reply: async_channel::Sender<Reply>,
    origin: Instant,
    wake: Time,
    // INVARIANT: a newer call of the store takes the place of an older one, whose answer would
    // otherwise be taken for its own.
    store: Pending,
    send: Pending,
    ask: Pending,
}

impl Driver {
    async fn run(mut self, limits: Limits, claim: Record) {
        let (mut order, actions) = Order::start(limits, claim, self.now());
        self.perform(actions).await;
        while !order.is_ended() {
            let event = self.next().await;
            match &event {
                Event::Answered(_) => self.pass(Step::OrderAnswered).await,
                Event::Written(Ok(_)) if order.is_answered() => self.pass(Step::OrderStored).await,
                _ => {}
            }
            let actions = order.step(self.now(), event);
            self.perform(actions).await;
        }
    }

    fn now(&self) -> Time {
        self.origin.elapsed()
    }

    async fn pass(&mut self, step: Step) {
        hooks::run_hook(&*self.hooks, step).await;
    }

    /// Waits for the next event.
    async fn next(&mut self) -> Event {
        let due = self.origin.checked_add(self.wake);
        let timer = async {
            match due {
                Some(due) => Timer::at(due).await,
                None => pending().await,
            };
            Event::Tick
        };
        let event = settle(&mut self.store)
            .or(settle(&mut self.send))
            .or(settle(&mut self.ask))
            .or(timer)
            .await;
        if event == Event::Tick {
            self.wake = Duration::MAX;
        }
        event
    }

    async fn perform(&mut self, actions: Vec<Action>) {
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            self.act(action).await;
        }
    }

    async fn act(&mut self, action: Action) {
        match action {
            Action::Create(record) => {
                self.pass(Step::OrderRecording).await;
                self.store = Some(Box::pin(self.records.clone().write(record, 0)));
            }
            Action::Replace { record, version } => {
                self.store = Some(Box::pin(self.records.clone().write(record, version)));
            }
            Action::Read => {
                let read = self.records.clone().read(self.name.clone(), self.lapse);
                self.store = Some(Box::pin(read));
            }
            Action::Send { by, .. } => {
                self.pass(Step::OrderRecorded).await;
                self.send = Some(self.send(by));
            }
            Action::Query { .. } => {
                let told = self.courier.query(&self.name);
                self.ask = Some(Box::pin(async { Event::Queried(told.await) }));
            }
            Action::Reply(reply) => self.answer(reply),
            Action::Wake { at } => self.wake = at,
        }
    }

    /// Sends the order unless its time has passed, as after a pause.
    fn send(&self, by: Time) -> BoxFuture<'static, Event> {
        if self.now() > by {
            return Box::pin(async { Event::NotSent });
        }
        info!(self.log, "order sent");
        let delivery = self.courier.send(&self.name);
        Box::pin(async {
            match delivery.await {
                SendResult::Answered(outcome) => Event::Answered(outcome),
                SendResult::NotSent => Event::NotSent,
                SendResult::Lost => Event::Lost,
            }
        })
    }

    fn answer(&self, reply: Reply) {
        let words = match &reply {
            Reply::Outcome { repeat: false, .. } => "outcome",
            Reply::Outcome { repeat: true, .. } => "stored outcome",
            Reply::NotRun { .. } => "not run",
            Reply::SettledNotRun => "settled as not run",
            Reply::RanBefore => "ran before",
            Reply::InProgress => "in progress",
            Reply::Unknown => "unknown",
            Reply::KeyReused => "key reused",
        };
        info!(self.log, "order answered"; "reply" => words);
        if reply == Reply::Unknown {
            self.records
                .metrics
                .count(Counter::UnknownOrders, 1, &[("kind", "orders")]);
        }
        // The caller may be gone; the order goes on.
        let _ = self.reply.try_send(reply);
    }
}

/// Waits for a call under way, and forgets it when it has ended.
async fn settle(call: &mut Pending) -> Event {
    match call {
        Some(future) => {
            let event = future.await;
            *call = None;
            event
        }
        None => pending().await,
    }
}
