//! A node: the library's own backend table and queue, with polls at the rates of its pollers.

use std::time::Duration;

use cassiareel::{
    engines::{
        self, BackendTable, Fetch, Placement, PoolId, Request, Reservation, RouteId, SubsetConfig,
    },
    kernel::{
        admission::{Bucket, FairQueue, Job, QueueLimits, Rate, Refused, Requester},
        routing::RoutingRequest,
        BackendId, Time,
    },
};

use super::{engine::Engine, workload::Call};

/// Longest time that a request may wait in a node's queue.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(4);

/// A simulated node.
pub(super) struct Node {
    pub(super) table: BackendTable,
    pub(super) queue: FairQueue<usize>,
    rng: fastrand::Rng,
    pool: PoolId,
    route: RouteId,
    report_budget: Bucket,
    cache_budget: Bucket,
    next_poll: usize,
}

impl Node {
    pub(super) fn new(
        index: usize,
        nodes: usize,
        servers: &[BackendId],
        options: engines::Options,
        seed: u64,
    ) -> Node {
        let table = BackendTable::new(options).expect("the policy is registered");
        let pool: PoolId = "draft@v1".into();
        let placement = Placement {
            pool: pool.clone(),
            model: true,
            servers: servers
                .iter()
                .map(|name| (name.clone(), "d1".into()))
                .collect(),
        };
        let fleet = SubsetConfig {
            nodes: (0..nodes).map(|i| format!("n{i}").into()).collect(),
            local: format!("n{index}").into(),
            size: 64,
        };
        table.update(&[placement], &fleet);
        Node {
            table,
            queue: FairQueue::new(QueueLimits::default()),
            rng: fastrand::Rng::with_seed(seed ^ (index as u64 + 1)),
            pool,
            route: "/v1/completions".into(),
            report_budget: Bucket::default(),
            cache_budget: Bucket::default(),
            next_poll: index * servers.len() / nodes,
        }
    }

    /// Queues a request.
    pub(super) fn enqueue(
        &mut self,
        now: Time,
        index: usize,
        call: &Call,
    ) -> Result<Option<Refused<usize>>, Refused<usize>> {
        let job = Job {
            requester: Requester {
                account: format!("a{}", call.account).into(),
                caller: format!("c{}", call.caller).into(),
                account_weight: 1.0,
                caller_weight: 1.0,
            },
            priority: 0,
            cost: u64::from(call.prompt + call.max_output),
            deadline: now + MAX_QUEUE_TIME,
            item: index,
        };
        self.queue.push(now, job)
    }

    /// Removes the next request for which an engine has room, and reserves the room.
    pub(super) fn next_ready(&mut self, now: Time, calls: &[Call]) -> Option<(usize, Reservation)> {
        let Node {
            table,
            queue,
            rng,
            pool,
            route,
            ..
        } = self;
        let mut reservation = None;
        let job = queue.pop_fitting(now, |job| {
            let call = &calls[job.item];
            let routing = routing_request(call, 0);
            let request = Request {
                pool,
                route,
                routing: &routing,
                exclude: &[],
            };
            reservation = table.choose(now, &request, rng.u64(..)).1;
            reservation.is_some()
        })?;
        Some((job.item, reservation?))
    }

    /// Chooses another engine for a request whose engine was lost.
    pub(super) fn choose_again(
        &mut self,
        now: Time,
        call: &Call,
        generated: u32,
        exclude: &[BackendId],
    ) -> Option<Reservation> {
        let routing = routing_request(call, generated);
        let request = Request {
            pool: &self.pool,
            route: &self.route,
            routing: &routing,
            exclude,
        };
        self.table.choose(now, &request, self.rng.u64(..)).1
    }

    /// Polls engines for load and cache events, as far as the pollers' rates allow.
    pub(super) fn poll(
        &mut self,
        now: Time,
        engines: &mut [Engine],
        servers: &[BackendId],
        conditions: &PollConditions,
    ) {
        for _ in 0..servers.len() {
            let server_index = self.next_poll % servers.len();
            let rate = &engines::REPORT_BYTE_RATE;
            if self
                .report_budget
                .try_take(now, rate, engines::REPORT_BYTES)
                .is_err()
            {
                return;
            }
            self.next_poll += 1;
            if !engines[server_index].alive {
                self.table.on_unreachable(&servers[server_index]);
                continue;
            }
            // The report has the load of this moment but is recorded at a time `report_lag` later,
            // so that it has that age when the node routes requests by it.
            let report = engines[server_index].report(conditions.report_lag);
            self.table
                .on_load(now + conditions.report_lag, &servers[server_index], &report);
            self.poll_cache(
                now,
                &engines[server_index],
                &servers[server_index],
                conditions,
            );
        }
    }

    fn poll_cache(
        &mut self,
        now: Time,
        engine: &Engine,
        server: &BackendId,
        conditions: &PollConditions,
    ) {
        let rate = Rate {
            per_second: conditions.cache_rate,
            burst: engines::CACHE_BYTE_RATE.burst,
        };
        if self
            .cache_budget
            .try_take(now, &rate, engines::CACHE_ANSWER_BYTES)
            .is_err()
        {
            return;
        }
        let answer = match self.table.cache_fetch(server) {
            Fetch::Since(since) => {
                let before = now.saturating_sub(conditions.cache_lag);
                engine
                    .cache
                    .events_since(since, before, conditions.loss, &mut self.rng)
            }
            Fetch::Full => engine.cache.snapshot(),
        };
        self.cache_budget
            .charge(now, &rate, engines::cache_answer_bytes(&answer));
        self.table.on_cache(server, &answer);
    }
}

/// Delays and losses of the data that nodes poll from engines.
#[derive(Clone, Copy, Debug)]
pub(super) struct PollConditions {
    pub(super) report_lag: Duration,
    pub(super) cache_lag: Duration,
    pub(super) loss: f64,
    pub(super) cache_rate: f64,
}

/// Returns the routing request of a call of which `generated` tokens already exist.
fn routing_request(call: &Call, generated: u32) -> RoutingRequest {
    RoutingRequest {
        prefix: call.blocks.clone(),
        prompt_tokens: call.prompt + generated,
        output_tokens: call.max_output - generated.min(call.max_output),
        data_centre: None,
        idempotent: true,
        ..RoutingRequest::default()
    }
}
