//! Time to choose a backend server, and to queue and dequeue a request by account and caller.

use std::{hint::black_box, sync::Arc, time::Duration};

use cassiareel::{
    backend::LoadReport,
    engines::{BackendTable, Options, Placement, PoolId, Request, RouteId, SubsetConfig},
    kernel::{
        admission::{FairQueue, Job, QueueLimits, Requester},
        routing::RoutingRequest,
        BackendId,
    },
};
use criterion::{criterion_group, criterion_main, Criterion};

/// Numbers of backend servers to choose among; the last is a whole large fleet.
const SERVER_COUNTS: [usize; 3] = [36, 200, 830];
/// Number of client accounts of a large fleet.
const ACCOUNTS: usize = 1_700;
/// Number of callers of each account.
const CALLERS: usize = 1_000;
/// Time of all choices and load reports.
const NOW: Duration = Duration::from_secs(1);

/// Returns a table of backend servers in one pool, all with a load report.
fn build_table(server_count: usize) -> BackendTable {
    let options = Options {
        cache_slots: server_count,
        ..Options::default()
    };
    let backends = BackendTable::new(options).expect("the policy is registered");
    let servers: Vec<BackendId> = (0..server_count)
        .map(|i| format!("10.0.{}.{}:80", i / 256, i % 256).into())
        .collect();
    let placement = Placement {
        pool: "draft@v1".into(),
        model: true,
        servers: servers
            .iter()
            .map(|name| (name.clone(), "d1".into()))
            .collect(),
    };
    let fleet = SubsetConfig {
        nodes: vec!["n0".into()],
        local: "n0".into(),
        size: server_count,
    };
    backends.update(&[placement], &fleet);
    let mut rng = fastrand::Rng::with_seed(1);
    for name in &servers {
        let report = LoadReport {
            running: rng.u32(0..40),
            total_tokens: 1_000_000,
            token_ms: 10.0 + 20.0 * rng.f64(),
            ..LoadReport::default()
        };
        backends.on_load(NOW, name, &report);
    }
    backends
}

fn routing_request(rng: &mut fastrand::Rng) -> RoutingRequest {
    let prefix = rng.u64(1..500);
    RoutingRequest {
        prefix: (0..64).map(|i| prefix * 1_000 + i).collect(),
        prompt_tokens: 1_100,
        output_tokens: 200,
        idempotent: true,
        ..RoutingRequest::default()
    }
}

/// Chooses once and drops the reservation.
fn choose_once(
    backends: &BackendTable,
    pool: &PoolId,
    route: &RouteId,
    routing: &RoutingRequest,
    random: u64,
) {
    let request = Request {
        pool,
        route,
        routing,
        exclude: &[],
    };
    let (decision, reservation) = backends.choose(NOW, &request, random);
    black_box(&decision);
    if let Some(mut reservation) = reservation {
        reservation.record_first_token(NOW);
    }
}

fn choose(c: &mut Criterion) {
    let (pool, route): (PoolId, RouteId) = ("draft@v1".into(), "/v1/completions".into());
    for server_count in SERVER_COUNTS {
        let backends = build_table(server_count);
        let mut rng = fastrand::Rng::with_seed(2);
        let requests: Vec<RoutingRequest> = (0..512).map(|_| routing_request(&mut rng)).collect();
        let mut i = 0;
        c.bench_function(&format!("choose among {server_count}"), |b| {
            b.iter(|| {
                i += 1;
                choose_once(&backends, &pool, &route, &requests[i % 512], i as u64);
            });
        });
    }
}

fn admit(c: &mut Criterion) {
    let names = |kind: &str, count: usize| -> Vec<Arc<str>> {
        (0..count).map(|i| format!("{kind}{i}").into()).collect()
    };
    let (accounts, callers) = (names("a", ACCOUNTS), names("c", CALLERS));
    let mut rng = fastrand::Rng::with_seed(3);
    let mut job = || Job {
        requester: Requester {
            account: accounts[rng.usize(..ACCOUNTS)].clone(),
            caller: callers[rng.usize(..CALLERS)].clone(),
            account_weight: 1.0,
            caller_weight: 1.0,
        },
        priority: 0,
        cost: 1_000,
        deadline: Duration::from_secs(1_000),
        item: (),
    };
    let mut queue = FairQueue::new(QueueLimits::default());
    for _ in 0..4_000 {
        let _ = queue.push(NOW, job());
    }
    c.bench_function("queue and take with 4000 waiting of 1.7 M callers", |b| {
        b.iter(|| {
            let _ = black_box(queue.push(NOW, job()));
            black_box(queue.pop(NOW));
        });
    });
}

criterion_group!(benches, choose, admit);
criterion_main!(benches);
