//! A node: the library's own table and queue, with polls at the pace of its pollers.

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

/// How long a request may wait in a node's queue.
const PATIENCE: Duration = Duration::from_secs(4);

/// A node.
pub(super) struct Node {
    pub(super) engines: BackendTable,
    pub(super) queue: FairQueue<usize>,
    rng: fastrand::Rng,
    pool: PoolId,
    route: RouteId,
    reports: Bucket,
    caches: Bucket,
    turn: usize,
}

impl Node {
    pub(super) fn new(
        index: usize,
        nodes: usize,
        servers: &[BackendId],
        options: engines::Options,
        seed: u64,
    ) -> Node {
        let engines = BackendTable::new(options).expect("the policy is registered");
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
        engines.update(&[placement], &fleet);
        Node {
            engines,
            queue: FairQueue::new(QueueLimits::default()),
            rng: fastrand::Rng::with_seed(seed ^ (index as u64 + 1)),
            pool,
            route: "/v1/completions".into(),
            reports: Bucket::default(),
            caches: Bucket::default(),
            turn: index * servers.len() / nodes,
        }
    }

    /// Puts a request in the queue.
    pub(super) fn offer(
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
            cost: u64::from(call.prompt + call.bound),
            deadline: now + PATIENCE,
            item: index,
        };
        self.queue.push(now, job)
    }

    /// Takes the next request that some engine has room for.
    pub(super) fn next(&mut self, now: Time, calls: &[Call]) -> Option<(usize, Reservation)> {
        let Node {
            engines,
            queue,
            rng,
            pool,
            route,
            ..
        } = self;
        let mut ticket = None;
        let job = queue.pop_fitting(now, |job| {
            let call = &calls[job.item];
            let ask = ask(call, 0);
            let request = Request {
                pool,
                route,
                routing: &ask,
                exclude: &[],
            };
            ticket = engines.choose(now, &request, rng.u64(..)).1;
            ticket.is_some()
        })?;
        Some((job.item, ticket?))
    }

    /// Chooses again for a request whose engine was lost.
    pub(super) fn again(
        &mut self,
        now: Time,
        call: &Call,
        got: u32,
        exclude: &[BackendId],
    ) -> Option<Reservation> {
        let ask = ask(call, got);
        let request = Request {
            pool: &self.pool,
            route: &self.route,
            routing: &ask,
            exclude,
        };
        self.engines.choose(now, &request, self.rng.u64(..)).1
    }

    /// Asks engines for load and cache events, as far as the pollers' rates allow.
    pub(super) fn poll(
        &mut self,
        now: Time,
        engines: &mut [Engine],
        servers: &[BackendId],
        lag: &Lag,
    ) {
        for _ in 0..servers.len() {
            let e = self.turn % servers.len();
            let rate = &engines::REPORT_BYTE_RATE;
            if self
                .reports
                .try_take(now, rate, engines::REPORT_BYTES)
                .is_err()
            {
                return;
            }
            self.turn += 1;
            if !engines[e].alive {
                self.engines.on_unreachable(&servers[e]);
                continue;
            }
            // The figures are of this moment and told with the lag, so that they are that old when
            // requests are routed by them: the node hears them a lag later.
            let report = engines[e].report(lag.report);
            self.engines.on_load(now + lag.report, &servers[e], &report);
            self.poll_cache(now, &engines[e], &servers[e], lag);
        }
    }

    fn poll_cache(&mut self, now: Time, engine: &Engine, server: &BackendId, lag: &Lag) {
        let rate = Rate {
            per_second: lag.cache_rate,
            burst: engines::CACHE_BYTE_RATE.burst,
        };
        if self
            .caches
            .try_take(now, &rate, engines::CACHE_ANSWER_BYTES)
            .is_err()
        {
            return;
        }
        let answer = match self.engines.cache_fetch(server) {
            Fetch::Since(since) => {
                let before = now.saturating_sub(lag.cache);
                engine.cache.since(since, before, lag.loss, &mut self.rng)
            }
            Fetch::Full => engine.cache.snapshot(),
        };
        self.caches
            .charge(now, &rate, engines::cache_answer_bytes(&answer));
        self.engines.on_cache(server, &answer);
    }
}

/// How late engines tell things.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lag {
    pub(super) report: Duration,
    pub(super) cache: Duration,
    pub(super) loss: f64,
    pub(super) cache_rate: f64,
}

/// What is known of a call, of whose answer some tokens are there.
fn ask(call: &Call, got: u32) -> RoutingRequest {
    RoutingRequest {
        prefix: call.blocks.clone(),
        prompt_tokens: call.prompt + got,
        output_tokens: call.bound - got.min(call.bound),
        data_centre: None,
        idempotent: true,
    }
}
