//! Measures the tail latency of choosing a backend server on several threads at once, and the
//! memory that a node uses for each account and caller with limits.

use std::{
    error::Error,
    time::{Duration, Instant},
};

use cassiareel::{
    backend::LoadReport,
    engines::{BackendTable, Options, Placement, PoolId, Request, RouteId, SubsetConfig},
    kernel::{
        admission::{LimitScope, Limiter, Limits},
        routing::RoutingRequest,
        AccountId, BackendId,
    },
};
use cassiareel_bench::process;
use hdrhistogram::Histogram;

/// Numbers of backend servers to choose among: today's fleet, a subset, and whole larger fleets.
const SERVER_COUNTS: [usize; 4] = [36, 64, 200, 830];
/// Numbers of threads that choose at once.
const THREADS: [usize; 2] = [1, 2];
/// Number of choices of each thread.
const CHOICES: u64 = 20_000;
/// Time of all choices and load reports.
const NOW: Duration = Duration::from_secs(1);

fn main() -> Result<(), Box<dyn Error>> {
    println!("| runners | threads | p50 us | p99 us | index bytes |");
    println!("| --- | --- | --- | --- | --- |");
    for server_count in SERVER_COUNTS {
        let backends = build_table(server_count);
        for threads in THREADS {
            let times = measure(&backends, threads)?;
            println!(
                "| {server_count} | {threads} | {:.1} | {:.1} | {} |",
                times.value_at_quantile(0.5) as f64 / 1e3,
                times.value_at_quantile(0.99) as f64 / 1e3,
                backends.index_bytes(),
            );
        }
    }
    measure_limits();
    Ok(())
}

/// Number of client accounts of a large fleet.
const ACCOUNTS: usize = 1_700;
/// Numbers of callers, of all accounts, that call one node within a minute.
const CALLERS: [usize; 3] = [170_000, 17_000, 1_700];

/// Prints the memory and the time that limits take, for one request of each caller.
fn measure_limits() {
    println!("| callers with limits | bytes a caller | us a request |");
    println!("| --- | --- | --- |");
    for callers in CALLERS {
        let accounts: Vec<AccountId> = (0..ACCOUNTS)
            .map(|i| format!("account-{i:04}").into())
            .collect();
        let names: Vec<(AccountId, AccountId)> = (0..callers)
            .map(|i| {
                (
                    accounts[i % ACCOUNTS].clone(),
                    format!("caller-{i:06}").into(),
                )
            })
            .collect();
        let limiter = Limiter::default();
        let before = process::resident_bytes();
        let start = Instant::now();
        for (account, caller) in &names {
            admit(&limiter, account, caller);
        }
        let elapsed = start.elapsed();
        let bytes = process::resident_bytes().saturating_sub(before);
        println!(
            "| {callers} | {} | {:.2} |",
            bytes / callers as u64,
            elapsed.as_secs_f64() * 1e6 / callers as f64
        );
    }
}

fn admit(limiter: &Limiter, account: &AccountId, caller: &AccountId) {
    let limits = Limits {
        request_rate: Some(100.0),
        token_rate: Some(100_000.0),
        open_requests: Some(10),
        open_tokens: Some(100_000),
    };
    let scope = |caller: Option<AccountId>| LimitScope {
        account: account.clone(),
        caller,
    };
    let account_limits = Limits {
        request_rate: Some(1e9),
        token_rate: Some(1e12),
        ..limits
    };
    let scopes = [
        (scope(Some(caller.clone())), limits),
        (scope(None), account_limits),
    ];
    let _ = limiter.acquire(NOW, &scopes, 1_000, 1.0);
}

/// Chooses on several threads and collects the times in nanoseconds.
fn measure(backends: &BackendTable, threads: usize) -> Result<Histogram<u64>, Box<dyn Error>> {
    let mut merged = Histogram::new(3)?;
    let times_per_thread = std::thread::scope(|scope| {
        let handles: Vec<_> = (0..threads)
            .map(|t| scope.spawn(move || choose(backends, t as u64)))
            .collect();
        handles
            .into_iter()
            .map(|handle| handle.join())
            .collect::<Vec<_>>()
    });
    for times in times_per_thread {
        let times = times.map_err(|_| "a thread panicked")?;
        for nanos in times {
            merged.record(nanos)?;
        }
    }
    Ok(merged)
}

fn choose(backends: &BackendTable, seed: u64) -> Vec<u64> {
    let (pool, route): (PoolId, RouteId) = ("draft@v1".into(), "/v1/completions".into());
    let mut rng = fastrand::Rng::with_seed(seed);
    (0..CHOICES)
        .map(|_| {
            let routing = routing_request(&mut rng);
            let request = Request {
                pool: &pool,
                route: &route,
                routing: &routing,
                exclude: &[],
            };
            let start = Instant::now();
            let (_decision, reservation) = backends.choose(NOW, &request, rng.u64(..));
            let elapsed = start.elapsed().as_nanos() as u64;
            if let Some(mut reservation) = reservation {
                reservation.record_first_token(NOW);
            }
            elapsed
        })
        .collect()
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
    for name in &servers {
        let report = LoadReport {
            running: fastrand::Rng::with_seed(name.len() as u64).u32(0..40),
            total_tokens: 1_000_000,
            token_ms: 15.0,
            ..LoadReport::default()
        };
        backends.on_load(NOW, name, &report);
    }
    backends
}
