/*!
Counts the runs of orders while their service, their store and their nodes fail.

Callers send each order under a key of its own and repeat it at the nodes in turn until they are
told that it ran, or have tried often enough. The service's ledger tells how often each ran.
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
    /// Orders of each fault.
    #[options(default = "1120")]
    orders: usize,
    /// Callers at one time.
    #[options(default = "16")]
    callers: usize,
    /// Seed of the random faults.
    #[options(default = "1")]
    seed: u64,
}

const NODES: usize = 3;
/// Times that a caller sends an order.
const TRIES: usize = 20;
/// Time between tries.
const PAUSE: Duration = Duration::from_millis(50);
/// Chance of a fault for each call that it can meet.
const CHANCE: f64 = 0.1;

/// A fault and how it is brought about.
struct Case {
    name: &'static str,
    service: Faults,
    store: objects::Faults,
    kills: bool,
}

const SERVICE: Faults = Faults {
    delay_ms: 0,
    refuse: 0.0,
    fail: 0.0,
    lose_before: 0.0,
    lose_after: 0.0,
    hang: 0.0,
    late: 0.0,
    cross: 0.0,
};

fn cases() -> Vec<Case> {
    let case = |name, service, store| Case {
        name,
        service,
        store,
        kills: false,
    };
    let store = objects::Faults::default;
    vec![
        case("none", SERVICE, store()),
        case(
            "service refuses",
            Faults {
                refuse: CHANCE,
                ..SERVICE
            },
            store(),
        ),
        case(
            "answer lost after the run",
            Faults {
                lose_after: CHANCE,
                ..SERVICE
            },
            store(),
        ),
        case(
            "order lost before the run",
            Faults {
                lose_before: CHANCE,
                ..SERVICE
            },
            store(),
        ),
        case(
            "order runs after its connection was lost",
            Faults {
                late: CHANCE,
                ..SERVICE
            },
            store(),
        ),
        case(
            "answers crossed",
            Faults {
                cross: CHANCE,
                ..SERVICE
            },
            store(),
        ),
        case(
            "store loses answers and calls",
            SERVICE,
            objects::Faults {
                lose_after: CHANCE,
                lose_before: CHANCE,
                ..store()
            },
        ),
        case(
            "store and service",
            Faults {
                lose_after: CHANCE,
                refuse: CHANCE,
                ..SERVICE
            },
            objects::Faults {
                lose_after: CHANCE,
                stale: CHANCE,
                stale_writes: 20,
                ..store()
            },
        ),
        Case {
            name: "a node killed and replaced each 250 ms",
            service: Faults {
                delay_ms: 5,
                ..SERVICE
            },
            store: store(),
            kills: true,
        },
    ]
}

/// What callers were told last.
#[derive(Default)]
struct Told {
    ran: AtomicUsize,
    not_run: AtomicUsize,
    unknown: AtomicUsize,
    nothing: AtomicUsize,
    false_words: AtomicUsize,
}

fn main() {
    let args = Args::parse_args_default_or_exit();
    println!("seed {}", args.seed);
    println!("| fault | orders | ran once | ran twice or more | told ran | told not run | told unknown | told nothing | false words | writes an order | reads an order | orders/s |");
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    for case in cases() {
        println!("{}", run(&case, &args));
    }
}

fn run(case: &Case, args: &Args) -> String {
    let ledger = Ledger::default();
    let service = PlainService::bind(([127, 0, 0, 1], 0).into(), "orders@v1", &ledger, args.seed)
        .expect("loopback has ports");
    let mut fleet = Fleet::start(&FleetOptions::new(1, NODES)).expect("loopback has ports");
    let tree = tree(&fleet, service.addr());
    fleet.apply(&tree);
    service.set_faults(case.service);
    fleet.objects.set_faults(case.store);
    let addrs: Arc<Vec<AtomicAddr>> = Arc::new(
        (0..NODES)
            .map(|node| AtomicAddr::new(fleet.addr(node).expect("the node serves")))
            .collect(),
    );
    let next = Arc::new(AtomicUsize::new(0));
    let told = Arc::new(Told::default());
    let before = fleet.objects.call_counts();
    let began = Instant::now();
    let orders = args.orders;
    let tasks: Vec<_> = (0..args.callers)
        .map(|_| {
            let (next, told, addrs, ledger) =
                (next.clone(), told.clone(), addrs.clone(), ledger.clone());
            smol::spawn(async move {
                loop {
                    let order = next.fetch_add(1, Ordering::Relaxed);
                    if order >= orders {
                        return;
                    }
                    place(order, &addrs, &ledger, &told).await;
                }
            })
        })
        .collect();
    let mut victim = 0;
    while tasks.iter().any(|task| !task.is_finished()) {
        std::thread::sleep(Duration::from_millis(250));
        if case.kills {
            let place = victim % NODES;
            victim += 1;
            fleet.kill_node(place);
            fleet.replace_node(place).expect("loopback has ports");
            addrs[place].set(fleet.addr(place).expect("the node serves"));
        }
    }
    let took = began.elapsed();
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
        count(&told.ran),
        count(&told.not_run),
        count(&told.unknown),
        count(&told.nothing),
        count(&told.false_words),
        (after.writes - before.writes) as f64 / orders as f64,
        (after.reads - before.reads) as f64 / orders as f64,
        orders as f64 / took.as_secs_f64(),
    )
}

/// Sends an order until it is known that it ran, and checks the last word against the ledger.
async fn place(order: usize, addrs: &[AtomicAddr], ledger: &Ledger, told: &Told) {
    let number = order.to_string();
    let key = format!("key-{number}");
    let caller = Caller::new(CALLER_KEY);
    let body = json!({"order": number, "text": "For Ana, with thanks"}).to_string();
    let headers = [("idempotency-key", key.as_str())];
    let mut word = None;
    for i in 0..TRIES {
        let addr = addrs[(order + i) % addrs.len()].get();
        let sent = caller.post(addr, "/services/orders/engrave", &headers, body.clone());
        if let Ok(mut res) = sent.await {
            word = res.header("x-outcome").map(|says| says.as_str().to_owned());
            let words = res.body_string().await.unwrap_or_default();
            let unread = words.contains("earlier_unread");
            let runs = ledger.runs_of_number(&number);
            let is_false = match word.as_deref() {
                Some("ran") => runs != 1,
                Some("not_run") => runs != 0 && !unread,
                _ => false,
            };
            told.false_words
                .fetch_add(usize::from(is_false), Ordering::Relaxed);
            if word.as_deref() == Some("ran") {
                break;
            }
        }
        Timer::after(PAUSE).await;
    }
    let counter = match word.as_deref() {
        Some("ran") => &told.ran,
        Some("not_run") => &told.not_run,
        Some("unknown") => &told.unknown,
        _ => &told.nothing,
    };
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Settings with a service whose calls may not be repeated.
fn tree(fleet: &Fleet, service: SocketAddr) -> String {
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

/// An address that changes when its node is replaced.
struct AtomicAddr(std::sync::Mutex<SocketAddr>);

impl AtomicAddr {
    fn new(addr: SocketAddr) -> AtomicAddr {
        AtomicAddr(addr.into())
    }

    fn get(&self) -> SocketAddr {
        *self.0.lock().expect("no holder panics")
    }

    fn set(&self, addr: SocketAddr) {
        *self.0.lock().expect("no holder panics") = addr;
    }
}
