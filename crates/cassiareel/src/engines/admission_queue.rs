/*!
The queue in which requests wait at a node for its backend servers.

If no request waits, a new one chooses a server at once, without a lock. Otherwise it joins the fair
queue of its version. One task owns these queues: it assigns servers as their engines have capacity
again, and refuses, as not run, requests that can't be served before their deadline.
*/

use std::{
    collections::HashMap,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};

use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use smol::Timer;

use super::{BackendTable, Decision, PoolId, Reason, Request, Reservation, RouteId};
use crate::kernel::{
    admission::{FairQueue, Job, QueueLimits, Refusal, Refused, Requester},
    routing::RoutingRequest,
    Time,
};

/// Interval at which the queues are checked if nothing happens.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of requests that may be in transit to the queues; further ones are refused.
const INBOX_CAPACITY: usize = 4096;
/// Retry time in refusals of requests that can't be queued.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request that waits for a backend server.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// The version's pool.
    pub pool: PoolId,
    /// The route.
    pub route: RouteId,
    /// Its size and prefix.
    pub routing: RoutingRequest,
    /// The client account and caller, with their weights.
    pub requester: Requester,
    /// Its priority among the requests of its caller; lower values go first.
    pub priority: i32,
    /// When its caller stops waiting.
    pub deadline: Time,
}

/// A reservation at a backend server, with the decision that led to it.
pub type Assignment = (Decision, Reservation);

/// The queue's reply to a request.
type Reply = Result<Assignment, Refusal>;

/// A request that waits, with the channel for its reply.
struct Entry {
    request: QueuedRequest,
    reply: Sender<Reply>,
}

/// Admits requests to a node's backend servers.
pub struct AdmissionQueue {
    table: Arc<BackendTable>,
    origin: Instant,
    inbox: Sender<Entry>,
    // Requests in the inbox and in the queues.
    waiting: Arc<AtomicUsize>,
}

impl AdmissionQueue {
    /// Creates the admission queue and its task, which ends when the admission queue is dropped.
    pub fn new(
        table: Arc<BackendTable>,
        origin: Instant,
        limits: QueueLimits,
    ) -> (AdmissionQueue, impl std::future::Future<Output = ()> + Send) {
        let (inbox, entries) = async_channel::bounded(INBOX_CAPACITY);
        let waiting = Arc::new(AtomicUsize::new(0));
        let queue_task = QueueTask {
            table: table.clone(),
            origin,
            entries,
            waiting: waiting.clone(),
            limits,
            queues: HashMap::new(),
        };
        let queue = AdmissionQueue {
            table,
            origin,
            inbox,
            waiting,
        };
        (queue, queue_task.run())
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Reserves a backend server for a request, at once or when its turn comes.
    ///
    /// # Errors
    ///
    /// The request has not run, and [`Refusal::retry_after`] gives the time after which a retry can
    /// succeed.
    pub async fn acquire(&self, request: QueuedRequest) -> Reply {
        if self.waiting() == 0 {
            match try_place(&self.table, self.origin.elapsed(), &request) {
                (decision, Some(reservation)) => return Ok((decision, reservation)),
                (decision, None) if decision.reason == Reason::Unplaced => {
                    return Err(Refusal::Full(FULL_RETRY_AFTER));
                }
                _ => {}
            }
        }
        let (reply, answer) = async_channel::bounded(1);
        self.waiting.fetch_add(1, Ordering::Relaxed);
        if self.inbox.try_send(Entry { request, reply }).is_err() {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            return Err(Refusal::Full(FULL_RETRY_AFTER));
        }
        answer
            .recv()
            .await
            .unwrap_or(Err(Refusal::Full(FULL_RETRY_AFTER)))
    }
}

/// The task that owns the queues.
struct QueueTask {
    table: Arc<BackendTable>,
    origin: Instant,
    entries: Receiver<Entry>,
    waiting: Arc<AtomicUsize>,
    limits: QueueLimits,
    queues: HashMap<PoolId, FairQueue<Entry>>,
}

impl QueueTask {
    async fn run(mut self) {
        loop {
            let received = async { self.entries.recv().await.map(Some) }
                .or(async {
                    self.table.wait_for_capacity().await;
                    Ok(None)
                })
                .or(async {
                    Timer::after(POLL_INTERVAL).await;
                    Ok(None)
                })
                .await;
            match received {
                Ok(Some(entry)) => self.push(entry),
                Ok(None) => {}
                // The admission queue is dropped, and no request waits for a reply any more.
                Err(_) => return,
            }
            while let Ok(entry) = self.entries.try_recv() {
                self.push(entry);
            }
            self.assign_waiting();
        }
    }

    fn push(&mut self, entry: Entry) {
        let now = self.origin.elapsed();
        let request = &entry.request;
        let pool = request.pool.clone();
        let job = Job {
            requester: request.requester.clone(),
            priority: request.priority,
            cost: request.routing.memory_tokens(),
            deadline: request.deadline,
            item: entry,
        };
        let limits = self.limits;
        let queue = self
            .queues
            .entry(pool)
            .or_insert_with(|| FairQueue::new(limits));
        let left = match queue.push(now, job) {
            Ok(left) => left,
            Err(refused) => Some(refused),
        };
        left.into_iter().for_each(|refused| self.refuse(&refused));
    }

    /// Refuses expired requests, and assigns servers to those whose turn it is.
    fn assign_waiting(&mut self) {
        let now = self.origin.elapsed();
        let mut refused = Vec::new();
        for queue in self.queues.values_mut() {
            refused.extend(queue.remove_expired(now));
            loop {
                let mut placed = None;
                let job = queue.pop_fitting(now, |job| {
                    let request = &job.item.request;
                    // The caller has disconnected: its job is removed without an assignment.
                    if job.item.reply.is_closed() {
                        return true;
                    }
                    if let (decision, Some(reservation)) = try_place(&self.table, now, request) {
                        placed = Some((decision, reservation));
                    }
                    placed.is_some()
                });
                let Some(job) = job else {
                    break;
                };
                self.waiting.fetch_sub(1, Ordering::Relaxed);
                if let Some(placed) = placed {
                    // If the caller disconnects at this moment, the reservation is dropped.
                    let _ = job.item.reply.try_send(Ok(placed));
                }
            }
        }
        refused
            .into_iter()
            .for_each(|refused| self.refuse(&refused));
        self.queues.retain(|_, queue| !queue.is_empty());
    }

    fn refuse(&self, refused: &Refused<Entry>) {
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        let _ = refused.job.item.reply.try_send(Err(refused.reason));
    }
}

fn try_place(
    table: &BackendTable,
    now: Time,
    request: &QueuedRequest,
) -> (Decision, Option<Reservation>) {
    let request = Request {
        pool: &request.pool,
        route: &request.route,
        routing: &request.routing,
        exclude: &[],
    };
    table.choose(now, &request, fastrand::u64(..))
}
