//! The task that runs one order: it executes the actions of the order's state machine.

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
    keeper,
    recent::{RecentRecords, RestoreTimes},
    records::{now_ms, Records},
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
    store::{Objects, StoreVersion},
    wire::BoxFuture,
};

/// Extra time before a claim counts as lapsed, since the clocks of nodes differ.
const LAPSE_MARGIN: Duration = Duration::from_secs(5);

/// A non-idempotent call of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// The client account.
    pub account: AccountId,
    /// The caller within the account.
    pub caller: CallerId,
    /// The service.
    pub service: ServiceId,
    /// The value of the `Idempotency-Key` header.
    pub key: Arc<str>,
    /// The SHA-256 digest of method, path and body, in hexadecimal.
    pub digest: Arc<str>,
}

/// The orders of a node.
pub struct Orders {
    records: Records,
    /// Dropping it ends the task that writes lost records again.
    _stop: async_channel::Sender<()>,
    hooks: Arc<dyn Hooks>,
    spawner: Spawner,
    /// Identifies this incarnation of the node, so that attempt names are unique in the fleet.
    incarnation: String,
    attempts: AtomicU64,
}

impl Orders {
    /// Creates the orders of a node, whose records are stored in `objects`.
    pub fn new(
        objects: Arc<dyn Objects>,
        spawner: Spawner,
        hooks: Arc<dyn Hooks>,
        metrics: Arc<Metrics>,
        log: Logger,
    ) -> Orders {
        let times = RestoreTimes::default();
        Orders::with_restore_times(objects, spawner, hooks, metrics, times, log)
    }

    /// Creates the orders of a node with other times after a restore of the store.
    pub(super) fn with_restore_times(
        objects: Arc<dyn Objects>,
        spawner: Spawner,
        hooks: Arc<dyn Hooks>,
        metrics: Arc<Metrics>,
        times: RestoreTimes,
        log: Logger,
    ) -> Orders {
        let (wake, woken) = async_channel::bounded(1);
        let records = Records {
            objects,
            metrics,
            recent: Arc::new(RecentRecords::new(times)),
            wake,
            log,
        };
        let (stop, stopped) = async_channel::bounded(1);
        let keeper = keeper::run(records.clone(), woken);
        spawner
            .spawn(keeper.or(async move {
                // The channel is closed when the orders are dropped.
                let _: Result<(), _> = stopped.recv().await;
            }))
            .detach();
        Orders {
            records,
            _stop: stop,
            hooks,
            spawner,
            incarnation: format!("{:016x}{:016x}", fastrand::u64(..), now_ms()),
            attempts: AtomicU64::new(0),
        }
    }

    /// Returns the records, for operator commands.
    pub(super) fn records(&self) -> &Records {
        &self.records
    }

    /// Makes a call and returns the reply for its caller, or `None` if the node stops before.
    ///
    /// Dropping the returned future does not stop the call.
    pub async fn call(
        &self,
        request: Request,
        limits: Limits,
        client: Arc<dyn OrderClient>,
        log: Logger,
    ) -> Option<Reply> {
        let number = self.attempts.fetch_add(1, Ordering::Relaxed);
        let claim = Record {
            account: request.account,
            caller: request.caller,
            key: request.key,
            service: request.service,
            digest: request.digest,
            attempt: format!("{}-{number}", self.incarnation).into(),
            since_ms: now_ms(),
            state: State::Claimed,
        };
        let (reply, received_reply) = async_channel::bounded(1);
        let log =
            log.new(slog::o!("order" => name(&claim), "attempt" => claim.attempt.to_string()));
        let driver = OrderDriver {
            name: name(&claim),
            claim: claim.clone(),
            settled_at: None,
            lapse_after: limits.claim_timeout
                + limits.answer_timeout
                + limits.query_timeout
                + LAPSE_MARGIN,
            records: Records {
                log: log.clone(),
                ..self.records.clone()
            },
            hooks: self.hooks.clone(),
            client,
            log,
            reply,
            start: Instant::now(),
            wake_at: Duration::MAX,
            store_call: None,
            send_call: None,
            query_call: None,
        };
        self.spawner.spawn(driver.run(limits, claim)).detach();
        received_reply.recv().await.ok()
    }
}

/// Returns the name of a record's object.
fn name(record: &Record) -> String {
    super::record_name(
        &record.account,
        &record.caller,
        &record.service,
        &record.key,
    )
}

/// A pending call of the store or the service.
type PendingCall = Option<BoxFuture<'static, Event>>;

/// The state of a running order.
struct OrderDriver {
    name: String,
    claim: Record,
    /// The end of the settling time that the order knows of.
    settled_at: Option<Instant>,
    lapse_after: Duration,
    records: Records,
    hooks: Arc<dyn Hooks>,
    client: Arc<dyn OrderClient>,
    log: Logger,
    reply: async_channel::Sender<Reply>,
    start: Instant,
    wake_at: Time,
    // INVARIANT: a newer store call replaces an older one, whose answer would otherwise be taken for
    // that of the newer call.
    store_call: PendingCall,
    send_call: PendingCall,
    query_call: PendingCall,
}

impl OrderDriver {
    async fn run(mut self, limits: Limits, claim: Record) {
        let (mut order, actions) = Order::start(limits, claim, self.now());
        self.perform(actions).await;
        while !order.is_ended() {
            let event = self.next().await;
            match &event {
                Event::Answered(_) => self.hook(Step::OrderAnswered).await,
                Event::Written(Ok(_)) if order.is_answered() => self.hook(Step::OrderStored).await,
                _ => {}
            }
            self.report_era(&mut order);
            let actions = order.step(self.now(), event);
            self.perform(actions).await;
        }
    }

    /// Tells the order of a new era of the store.
    fn report_era(&mut self, order: &mut Order) {
        let settled_at = self.records.recent.settled_at();
        if settled_at == self.settled_at {
            return;
        }
        self.settled_at = settled_at;
        if let Some(at) = settled_at {
            let settled_at = at.saturating_duration_since(self.start);
            order.step(self.now(), Event::EraBegan { settled_at });
        }
    }

    fn now(&self) -> Time {
        self.start.elapsed()
    }

    async fn hook(&mut self, step: Step) {
        hooks::run_hook(&*self.hooks, step).await;
    }

    /// Waits for the next event.
    async fn next(&mut self) -> Event {
        let due = self.start.checked_add(self.wake_at);
        let timer = async {
            match due {
                Some(due) => Timer::at(due).await,
                None => pending().await,
            };
            Event::Tick
        };
        let event = next_event(&mut self.store_call)
            .or(next_event(&mut self.send_call))
            .or(next_event(&mut self.query_call))
            .or(timer)
            .await;
        if event == Event::Tick {
            self.wake_at = Duration::MAX;
        }
        event
    }

    async fn perform(&mut self, actions: Vec<Action>) {
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            self.perform_one(action).await;
        }
    }

    async fn perform_one(&mut self, action: Action) {
        match action {
            Action::Create(record) => {
                self.hook(Step::OrderRecording).await;
                self.store_call = Some(Box::pin(
                    self.records.clone().write(record, StoreVersion::NONE),
                ));
            }
            Action::Replace { record, version } => {
                self.store_call = Some(Box::pin(self.records.clone().write(record, version)));
            }
            Action::Read => {
                let read = self
                    .records
                    .clone()
                    .read(self.name.clone(), self.lapse_after);
                self.store_call = Some(Box::pin(read));
            }
            Action::Send { by, .. } => {
                self.records.recent.remember_claim(&self.name, &self.claim);
                self.hook(Step::OrderRecorded).await;
                self.send_call = Some(self.send(by));
            }
            Action::Query { .. } => {
                let result = self.client.query(&self.name);
                self.query_call = Some(Box::pin(async { Event::Queried(result.await) }));
            }
            Action::Reply(reply) => self.send_reply(reply),
            Action::Wake { at } => self.wake_at = at,
        }
    }

    /// Sends the order unless its deadline has passed, which happens after a pause of the process.
    fn send(&self, by: Time) -> BoxFuture<'static, Event> {
        if self.now() > by {
            return Box::pin(async { Event::NotSent });
        }
        info!(self.log, "order sent");
        let result = self.client.send(&self.name);
        Box::pin(async {
            match result.await {
                SendResult::Answered(outcome) => Event::Answered(outcome),
                SendResult::NotSent => Event::NotSent,
                SendResult::Lost => Event::Lost,
            }
        })
    }

    fn send_reply(&self, reply: Reply) {
        let text = match &reply {
            Reply::Outcome { repeat: false, .. } => "outcome",
            Reply::Outcome { repeat: true, .. } => "stored outcome",
            Reply::NotRun { .. } => "not run",
            Reply::SettledNotRun => "settled as not run",
            Reply::RanBefore => "ran before",
            Reply::InProgress => "in progress",
            Reply::Unknown => "unknown",
            Reply::KeyReused => "key reused",
        };
        info!(self.log, "order answered"; "reply" => text);
        if reply == Reply::Unknown {
            self.records
                .metrics
                .count(Counter::UnknownOrders, 1, &[("kind", "orders")]);
        }
        // The caller may have disconnected; the order continues regardless.
        let _ = self.reply.try_send(reply);
    }
}

/// Waits for a pending call and clears it once it has completed; waits forever if there is none.
async fn next_event(call: &mut PendingCall) -> Event {
    match call {
        Some(future) => {
            let event = future.await;
            *call = None;
            event
        }
        None => pending().await,
    }
}
