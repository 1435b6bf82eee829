/*!
What waits at a node for its backend servers.

A request that finds nobody waiting chooses at once, without a lock. Otherwise it joins the fair
queue of its version, which one task owns; the task hands out places as engines have room again,
and refuses, as not run, what would come too late.
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

/// Time between looks at the queues without news.
const LOOK: Duration = Duration::from_millis(20);
/// Requests on their way to the queues before further ones are refused.
const INBOX: usize = 4096;
/// Time to come back where the way to the queues is full.
const INBOX_RETRY: Duration = Duration::from_secs(1);

/// A request that waits for a place.
#[derive(Clone, Debug)]
pub struct Wanted {
    /// The version's pool.
    pub pool: PoolId,
    /// The route.
    pub route: RouteId,
    /// What is known of it.
    pub routing: RoutingRequest,
    /// Whose it is.
    pub who: Requester,
    /// Lower goes earlier among its caller's.
    pub priority: i32,
    /// When its caller stops waiting.
    pub deadline: Time,
}

/// A place at a backend server, with the decision that led to it.
pub type Placed = (Decision, Reservation);

/// A request's answer from the queue.
type Reply = Result<Placed, Refusal>;

/// A request that waits, with where its answer goes.
struct Entry {
    wanted: Wanted,
    reply: Sender<Reply>,
}

/// The way to a node's backend servers.
pub struct Gate {
    engines: Arc<BackendTable>,
    origin: Instant,
    inbox: Sender<Entry>,
    // Requests in the inbox and in the queues.
    waiting: Arc<AtomicUsize>,
}

impl Gate {
    /// Makes a gate and the task that owns its queues; the task ends when the gate is dropped.
    pub fn new(
        engines: Arc<BackendTable>,
        origin: Instant,
        bounds: QueueLimits,
    ) -> (Gate, impl std::future::Future<Output = ()> + Send) {
        let (inbox, entries) = async_channel::bounded(INBOX);
        let waiting = Arc::new(AtomicUsize::new(0));
        let keeper = Keeper {
            engines: engines.clone(),
            origin,
            entries,
            waiting: waiting.clone(),
            bounds,
            queues: HashMap::new(),
        };
        let gate = Gate {
            engines,
            origin,
            inbox,
            waiting,
        };
        (gate, keeper.run())
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Gets a place for a request, now or when its turn comes.
    ///
    /// # Errors
    ///
    /// The request has not run, and [`Refusal::retry_after`] says when a retry can succeed.
    pub async fn enter(&self, wanted: Wanted) -> Reply {
        if self.waiting() == 0 {
            match try_place(&self.engines, self.origin.elapsed(), &wanted) {
                (decision, Some(reservation)) => return Ok((decision, reservation)),
                (decision, None) if decision.reason == Reason::Unplaced => {
                    return Err(Refusal::Full(INBOX_RETRY));
                }
                _ => {}
            }
        }
        let (reply, answer) = async_channel::bounded(1);
        self.waiting.fetch_add(1, Ordering::Relaxed);
        if self.inbox.try_send(Entry { wanted, reply }).is_err() {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            return Err(Refusal::Full(INBOX_RETRY));
        }
        answer
            .recv()
            .await
            .unwrap_or(Err(Refusal::Full(INBOX_RETRY)))
    }
}

/// Owns the queues.
struct Keeper {
    engines: Arc<BackendTable>,
    origin: Instant,
    entries: Receiver<Entry>,
    waiting: Arc<AtomicUsize>,
    bounds: QueueLimits,
    queues: HashMap<PoolId, FairQueue<Entry>>,
}

impl Keeper {
    async fn run(mut self) {
        loop {
            let news = async { self.entries.recv().await.map(Some) }
                .or(async {
                    self.engines.room().await;
                    Ok(None)
                })
                .or(async {
                    Timer::after(LOOK).await;
                    Ok(None)
                })
                .await;
            match news {
                Ok(Some(entry)) => self.push(entry),
                Ok(None) => {}
                // The gate is gone, and nobody waits for an answer any more.
                Err(_) => return,
            }
            while let Ok(entry) = self.entries.try_recv() {
                self.push(entry);
            }
            self.hand_out();
        }
    }

    fn push(&mut self, entry: Entry) {
        let now = self.origin.elapsed();
        let wanted = &entry.wanted;
        let pool = wanted.pool.clone();
        let job = Job {
            requester: wanted.who.clone(),
            priority: wanted.priority,
            cost: wanted.routing.memory_tokens(),
            deadline: wanted.deadline,
            item: entry,
        };
        let bounds = self.bounds;
        let queue = self
            .queues
            .entry(pool)
            .or_insert_with(|| FairQueue::new(bounds));
        let left = match queue.push(now, job) {
            Ok(left) => left,
            Err(refused) => Some(refused),
        };
        left.into_iter().for_each(|refused| self.refuse(&refused));
    }

    /// Refuses what is late and gives places to those whose turn it is.
    fn hand_out(&mut self) {
        let now = self.origin.elapsed();
        let mut refused = Vec::new();
        for queue in self.queues.values_mut() {
            refused.extend(queue.remove_expired(now));
            loop {
                let mut placed = None;
                let job = queue.pop_fitting(now, |job| {
                    let wanted = &job.item.wanted;
                    // A caller that went away leaves its turn to nobody: its job is taken out.
                    if job.item.reply.is_closed() {
                        return true;
                    }
                    if let (decision, Some(reservation)) = try_place(&self.engines, now, wanted) {
                        placed = Some((decision, reservation));
                    }
                    placed.is_some()
                });
                let Some(job) = job else {
                    break;
                };
                self.waiting.fetch_sub(1, Ordering::Relaxed);
                if let Some(placed) = placed {
                    // A caller that goes away at this moment drops the reservation.
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
    engines: &BackendTable,
    now: Time,
    wanted: &Wanted,
) -> (Decision, Option<Reservation>) {
    let request = Request {
        pool: &wanted.pool,
        route: &wanted.route,
        routing: &wanted.routing,
        exclude: &[],
    };
    engines.choose(now, &request, fastrand::u64(..))
}
