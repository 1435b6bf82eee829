/*!
Counts how often orders run while their service, the store or the nodes fail.

Callers send each order with its own idempotency key and retry it at the nodes in turn until an
answer reports that it ran or the tries are used up. The service's ledger counts the runs.
*/

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};

use cassiareel_standins::{
    caller::Caller,
    fleet::{Fleet, FleetOptions, CALLER_KEY},
    objects,
    service::{Faults, Ledger, PlainService},
};
use gumdrop::Options;
use serde_json::json;
use smol::Timer;

/// Counts runs of orders under faults.
#[derive(Debug, Options)]
struct Args {
    /// Print this help.
    help: bool,
    /// Number of orders for each fault.
    #[options(default = "1120")]
    orders: usize,
    /// Number of concurrent callers.
    #[options(default = "16")]
    callers: usize,
    /// Seed of the random faults.
    #[options(default = "1")]
    seed: u64,
}

const NODES: usize = 3;
/// Largest number of times that a caller sends an order.
const MAX_TRIES: usize = 20;
/// Time between tries.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Probability of a fault for each call that it can affect.
const FAULT_CHANCE: f64 = 0.1;

/// A fault and the settings that cause it.
struct FaultCase {
    name: &'static str,
    service: Faults,
    store: objects::Faults,
    kill_nodes: bool,
}

const NO_FAULTS: Faults = Faults {
    delay_ms: 0,
    refuse: 0.0,
    fail: 0.0,
    lose_before: 0.0,
    lose_after: 0.0,
    hang: 0.0,
    late: 0.0,
    cross: 0.0,
    request_limit: None,
};

fn fault_cases() -> Vec<FaultCase> {
    let case = |name, service, store| FaultCase {
        name,
        service,
        store,
        kill_nodes: false,
    };
    let store = objects::Faults::default;
    vec![
        case("none", NO_FAULTS, store()),
        case(
            "service refuses",
            Faults {
                refuse: FAULT_CHANCE,
                ..NO_FAULTS
            },
            store(),
        ),
        case(
            "answer lost after the run",
            Faults {
                lose_after: FAULT_CHANCE,
                ..NO_FAULTS
            },
            store(),
        ),
        case(
            "order lost before the run",
            Faults {
                lose_before: FAULT_CHANCE,
                ..NO_FAULTS
            },
            store(),
        ),
        case(
            "order runs after its connection was lost",
            Faults {
                late: FAULT_CHANCE,
                ..NO_FAULTS
            },
            store(),
        ),
        case(
            "answers crossed",
            Faults {
                cross: FAULT_CHANCE,
                ..NO_FAULTS
            },
            store(),
        ),
        case(
            "store loses answers and calls",
            NO_FAULTS,
            objects::Faults {
                lose_after: FAULT_CHANCE,
                lose_before: FAULT_CHANCE,
                ..store()
            },
        ),
        case(
            "store and service",
            Faults {
                lose_after: FAULT_CHANCE,
                refuse: FAULT_CHANCE,
                ..NO_FAULTS
            },
            objects::Faults {
                lose_after: FAULT_CHANCE,
                stale: FAULT_CHANCE,
                stale_writes: 20,
                ..store()
            },
        ),
        FaultCase {
            name: "a node killed and replaced each 250 ms",
            service: Faults {
                delay_ms: 5,
                ..NO_FAULTS
            },
            store: store(),
            kill_nodes: true,
        },
    ]
}

/// Counts of the last outcomes that callers received for their orders, and of wrong outcomes.
#[derive(Default)]
struct OutcomeCounts {
    ran: AtomicUsize,
    not_run: AtomicUsize,
    unknown: AtomicUsize,
    none: AtomicUsize,
    wrong_outcomes: AtomicUsize,
}

fn main() {
    let args = Args::parse_args_default_or_exit();
    println!("seed {}", args.seed);
    println!("| fault | orders | ran once | ran twice or more | told ran | told not run | told unknown | told nothing | false words | writes an order | reads an order | orders/s |");
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    for case in fault_cases() {
        println!("{}", run(&case, &args));
    }
}

fn run(case: &FaultCase, args: &Args) -> String {
    let ledger = Ledger::default();
    let service = PlainService::bind(([127, 0, 0, 1], 0).into(), "orders@v1", &ledger, args.seed)
        .expect("a loopback port is free");
    let mut fleet = Fleet::start(&FleetOptions::new(1, NODES)).expect("a loopback port is free");
    let tree = settings_tree(&fleet, service.addr());
    fleet.apply(&tree);
    service.set_faults(case.service);
    fleet.objects.set_faults(case.store);
    let addrs: Arc<Vec<SharedAddr>> = Arc::new(
        (0..NODES)
            .map(|node| SharedAddr::new(fleet.addr(node).expect("the node serves")))
            .collect(),
    );
    let next_order = Arc::new(AtomicUsize::new(0));
    let outcomes = Arc::new(OutcomeCounts::default());
    let before = fleet.objects.call_counts();
    let start = Instant::now();
    let orders = args.orders;
    let tasks: Vec<_> = (0..args.callers)
        .map(|_| {
            let (next_order, outcomes, addrs, ledger) = (
                next_order.clone(),
                outcomes.clone(),
                addrs.clone(),
                ledger.clone(),
            );
            smol::spawn(async move {
                loop {
                    let order = next_order.fetch_add(1, Ordering::Relaxed);
                    if order >= orders {
                        return;
                    }
                    send_order(order, &addrs, &ledger, &outcomes).await;
                }
            })
        })
        .collect();
    let mut next_node = 0;
    while tasks.iter().any(|task| !task.is_finished()) {
        std::thread::sleep(Duration::from_millis(250));
        if case.kill_nodes {
            let node = next_node % NODES;
            next_node += 1;
            fleet.kill_node(node);
            fleet.replace_node(node).expect("a loopback port is free");
            addrs[node].set(fleet.addr(node).expect("the node serves"));
        }
    }
    let elapsed = start.elapsed();
    let after = fleet.objects.call_counts();
    let runs: Vec<u32> = (0..orders)
        .map(|order| ledger.runs_of_number(&order.to_string()))
        .collect();
    let count = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
    format!(
        "| {} | {orders} | {} | {} | {} | {} | {} | {} | {} | {:.2} | {:.2} | {:.0} |",
        case.name,
        runs.iter().filter(|&&runs| runs == 1).count(),
        runs.iter().filter(|&&runs| runs > 1).count(),
        count(&outcomes.ran),
        count(&outcomes.not_run),
        count(&outcomes.unknown),
        count(&outcomes.none),
        count(&outcomes.wrong_outcomes),
        (after.writes - before.writes) as f64 / orders as f64,
        (after.reads - before.reads) as f64 / orders as f64,
        orders as f64 / elapsed.as_secs_f64(),
    )
}

/// Sends an order until an answer reports that it ran, and checks the outcome of each answer
/// against the ledger.
async fn send_order(order: usize, addrs: &[SharedAddr], ledger: &Ledger, outcomes: &OutcomeCounts) {
    let number = order.to_string();
    let key = format!("key-{number}");
    let caller = Caller::new(CALLER_KEY);
    let body = json!({"order": number, "text": "For Ana, with thanks"}).to_string();
    let headers = [("idempotency-key", key.as_str())];
    let mut outcome = None;
    for i in 0..MAX_TRIES {
        let addr = addrs[(order + i) % addrs.len()].get();
        let sent = caller.post(addr, "/services/orders/engrave", &headers, body.clone());
        if let Ok(mut res) = sent.await {
            outcome = res
                .header("x-outcome")
                .map(|value| value.as_str().to_owned());
            let body_text = res.body_string().await.unwrap_or_default();
            let may_have_run = body_text.contains("earlier_unread");
            let runs = ledger.runs_of_number(&number);
            let is_wrong = match outcome.as_deref() {
                Some("ran") => runs != 1,
                Some("not_run") => runs != 0 && !may_have_run,
                _ => false,
            };
            outcomes
                .wrong_outcomes
                .fetch_add(usize::from(is_wrong), Ordering::Relaxed);
            if outcome.as_deref() == Some("ran") {
                break;
            }
        }
        Timer::after(RETRY_INTERVAL).await;
    }
    let counter = match outcome.as_deref() {
        Some("ran") => &outcomes.ran,
        Some("not_run") => &outcomes.not_run,
        Some("unknown") => &outcomes.unknown,
        _ => &outcomes.none,
    };
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Returns settings with a service whose calls are not idempotent.
fn settings_tree(fleet: &Fleet, service: SocketAddr) -> String {
    let services = format!(
        r#"
[services.orders]
kind = "plain"
version = "v1"
[services.orders.policy]
time.answer = "400ms"
[services.orders.versions.v1.placements.d0]
servers = ["{service}"]
"#
    );
    let tree = fleet.settings_tree().replace(
        "services = [\"draft\"]",
        "services = [\"draft\", \"orders\"]",
    );
    tree + &services
}

/// The address of a node, which changes when the node is replaced.
struct SharedAddr(std::sync::Mutex<SocketAddr>);

impl SharedAddr {
    fn new(addr: SocketAddr) -> SharedAddr {
        SharedAddr(addr.into())
    }

    fn get(&self) -> SocketAddr {
        *self
            .0
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    fn set(&self, addr: SocketAddr) {
        *self
            .0
            .lock()
            .expect("no thread panics while it holds the lock") = addr;
    }
}
