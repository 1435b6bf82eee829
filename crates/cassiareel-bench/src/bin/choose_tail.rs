//! The tail of the time to choose a backend server with several threads at once, and the bytes that
//! a node keeps for each account and caller with limits.

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

/// Runners to choose among: today's, a subset, and whole fleets.
const RUNNERS: [usize; 4] = [36, 64, 200, 830];
/// Threads that choose at once.
const THREADS: [usize; 2] = [1, 2];
/// Choices of each thread.
const CHOICES: u64 = 20_000;
/// Time of every choice; reports are of the same moment.
const NOW: Duration = Duration::from_secs(1);

fn main() -> Result<(), Box<dyn Error>> {
    println!("| runners | threads | p50 us | p99 us | index bytes |");
    println!("| --- | --- | --- | --- | --- |");
    for runners in RUNNERS {
        let engines = table(runners);
        for threads in THREADS {
            let times = measure(&engines, threads)?;
            println!(
                "| {runners} | {threads} | {:.1} | {:.1} | {} |",
                times.value_at_quantile(0.5) as f64 / 1e3,
                times.value_at_quantile(0.99) as f64 / 1e3,
                engines.index_bytes(),
            );
        }
    }
    limits();
    Ok(())
}

/// Client accounts of a large fleet.
const ACCOUNTS: usize = 1_700;
/// Callers that call at one node within a minute, of all accounts.
const CALLERS: [usize; 3] = [170_000, 17_000, 1_700];

/// Prints the memory and time of limits, with one request of each caller.
fn limits() {
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
        let before = process::resident();
        let start = Instant::now();
        for (account, caller) in &names {
            enter(&limiter, account, caller);
        }
        let took = start.elapsed();
        let bytes = process::resident().saturating_sub(before);
        println!(
            "| {callers} | {} | {:.2} |",
            bytes / callers as u64,
            took.as_secs_f64() * 1e6 / callers as f64
        );
    }
}

fn enter(limiter: &Limiter, account: &AccountId, caller: &AccountId) {
    let limits = Limits {
        request_rate: Some(100.0),
        token_rate: Some(100_000.0),
        open_requests: Some(10),
        open_tokens: Some(100_000),
    };
    let level = |caller: Option<AccountId>| LimitScope {
        account: account.clone(),
        caller,
    };
    let wide = Limits {
        request_rate: Some(1e9),
        token_rate: Some(1e12),
        ..limits
    };
    let levels = [(level(Some(caller.clone())), limits), (level(None), wide)];
    let _ = limiter.acquire(NOW, &levels, 1_000, 1.0);
}

/// Chooses on several threads and gathers the times, in nanoseconds.
fn measure(engines: &BackendTable, threads: usize) -> Result<Histogram<u64>, Box<dyn Error>> {
    let mut all = Histogram::new(3)?;
    let each = std::thread::scope(|scope| {
        let runs: Vec<_> = (0..threads)
            .map(|t| scope.spawn(move || choose(engines, t as u64)))
            .collect();
        runs.into_iter().map(|run| run.join()).collect::<Vec<_>>()
    });
    for times in each {
        let times = times.map_err(|_| "a thread panicked")?;
        for nanos in times {
            all.record(nanos)?;
        }
    }
    Ok(all)
}

fn choose(engines: &BackendTable, seed: u64) -> Vec<u64> {
    let (pool, route): (PoolId, RouteId) = ("draft@v1".into(), "/v1/completions".into());
    let mut rng = fastrand::Rng::with_seed(seed);
    (0..CHOICES)
        .map(|_| {
            let ask = ask(&mut rng);
            let request = Request {
                pool: &pool,
                route: &route,
                routing: &ask,
                exclude: &[],
            };
            let start = Instant::now();
            let (_decision, ticket) = engines.choose(NOW, &request, rng.u64(..));
            let took = start.elapsed().as_nanos() as u64;
            if let Some(mut ticket) = ticket {
                ticket.record_first_token(NOW);
            }
            took
        })
        .collect()
}

fn ask(rng: &mut fastrand::Rng) -> RoutingRequest {
    let prefix = rng.u64(1..500);
    RoutingRequest {
        prefix: (0..64).map(|i| prefix * 1_000 + i).collect(),
        prompt_tokens: 1_100,
        output_tokens: 200,
        idempotent: true,
        ..RoutingRequest::default()
    }
}

/// A table of runners that reported, in one pool.
fn table(runners: usize) -> BackendTable {
    let options = Options {
        cache_slots: runners,
        ..Options::default()
    };
    let engines = BackendTable::new(options).expect("the policy is registered");
    let servers: Vec<BackendId> = (0..runners)
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
        size: runners,
    };
    engines.update(&[placement], &fleet);
    for name in &servers {
        let report = LoadReport {
            running: fastrand::Rng::with_seed(name.len() as u64).u32(0..40),
            total_tokens: 1_000_000,
            token_ms: 15.0,
            ..LoadReport::default()
        };
        engines.on_load(NOW, name, &report);
    }
    engines
}
