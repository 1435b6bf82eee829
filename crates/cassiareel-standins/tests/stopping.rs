//! A planned stop of a node interrupts no request.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use cassiareel_standins::{
    caller::{Caller, ReceivedStream},
    engine::expected_answer,
    fleet::{Fleet, FleetOptions, CALLER_KEY},
    service::{Faults, Ledger, PlainService},
};
use serde_json::json;
use smol::lock::RwLock;
use test_case::test_case;

const NODES: usize = 6;
const CALLERS: usize = 12;
const TOKENS: u32 = 24;

/// The load balancer's list of ready nodes. A caller holds the read lock from choosing a node until
/// its request is accepted, so that no request is on its way to a node that was removed.
type Balancer = Arc<RwLock<Vec<SocketAddr>>>;

/// Counts of streams over the whole test.
#[derive(Default)]
struct Counts {
    complete: AtomicUsize,
    failed: AtomicUsize,
}

/// Sends streams one after the other until `stop` is set.
fn call(caller: usize, balancer: &Balancer, counts: &Counts, stop: &AtomicBool) {
    let mut round = caller;
    while !stop.load(Ordering::SeqCst) {
        round += 1;
        let prompt = format!("caller {caller} turn {round}");
        let body = json!({"model": "draft", "prompt": prompt, "max_tokens": TOKENS,
            "ignore_eos": true, "stream": true});
        let (_, text) = expected_answer("draft@v1", &prompt, TOKENS);
        let mut received = ReceivedStream::default();
        smol::block_on(async {
            let list = balancer.read().await;
            let addr = list[round % list.len()];
            let caller = Caller::new(CALLER_KEY);
            let sent = caller
                .post(addr, "/v1/completions", &[], body.to_string())
                .await;
            drop(list);
            if let Ok(res) = sent {
                cassiareel_standins::caller::read_events(res, &mut received, |_| ()).await;
            }
        });
        let count = match received.done && received.text == text {
            true => &counts.complete,
            false => &counts.failed,
        };
        count.fetch_add(1, Ordering::SeqCst);
    }
}

#[test]
fn replacing_all_nodes_under_load_interrupts_no_request() {
    let mut fleet = Fleet::start(&FleetOptions::new(4, NODES)).expect("loopback has ports");
    let ready = (0..NODES).filter_map(|i| fleet.addr(i)).collect();
    let balancer: Balancer = Arc::new(RwLock::new(ready));
    let counts = Counts::default();
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (balancer, counts, stop) = (&balancer, &counts, &stop);
            scope.spawn(move || call(caller, balancer, counts, stop));
        }
        for slot in 0..NODES {
            let mut node = fleet.take_node(slot).expect("the node runs");
            let addr = node.addr();
            node.begin_leaving();
            let remove_node = |addrs: &mut Vec<SocketAddr>| addrs.retain(|a| Some(*a) != addr);
            remove_node(&mut smol::block_on(balancer.write()));
            let remaining = smol::block_on(node.stop(Duration::from_secs(60)));
            assert_eq!(remaining, 0, "node {slot} stopped with open requests");
            drop(node);
            fleet.replace_node(slot).expect("loopback has ports");
            let addr = fleet.addr(slot).expect("the node serves");
            smol::block_on(balancer.write()).push(addr);
        }
        stop.store(true, Ordering::SeqCst);
    });
    assert_eq!(counts.failed.load(Ordering::SeqCst), 0);
    assert!(counts.complete.load(Ordering::SeqCst) >= CALLERS);
}

/// How long a test waits for a condition before it fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// The time that a stop leaves to open requests.
const STOP_TIME: Duration = Duration::from_millis(1200);

/// A call of a plain service.
const CALL: Case = Case {
    path: "/services/orders/engrave",
    delay: Duration::from_secs(60),
    limit: STOP_TIME,
    late: false,
    answer: (504, "unknown"),
};

/// A request that is open when a node stops.
struct Case {
    path: &'static str,
    /// The time that the service takes.
    delay: Duration,
    /// The time that the stop leaves.
    limit: Duration,
    /// Whether the request comes after the node has begun to leave.
    late: bool,
    /// The status and the outcome that the caller gets.
    answer: (u16, &'static str),
}

/// A fleet of one node with a plain service.
struct StopSetup {
    fleet: Fleet,
    ledger: Ledger,
    service: PlainService,
}

impl StopSetup {
    fn new() -> StopSetup {
        let ledger = Ledger::default();
        let service = PlainService::start("orders@v1", &ledger).expect("loopback has ports");
        let mut fleet = Fleet::start(&FleetOptions::new(1, 1)).expect("loopback has ports");
        let services = format!(
            "[services.orders]\nkind = \"plain\"\nversion = \"v1\"\n[services.orders.policy]\n\
             time.answer = \"90s\"\n[services.orders.versions.v1.placements.d0]\nservers = [\"{}\"]\n",
            service.addr()
        );
        let tree = fleet.settings_tree().replace(
            "services = [\"draft\"]",
            "services = [\"draft\", \"orders\"]",
        );
        fleet.apply(&(tree + &services));
        StopSetup {
            fleet,
            ledger,
            service,
        }
    }

    /// Waits until a backend server works on a request.
    fn wait_until_busy(&self) {
        let until = Instant::now() + WAIT_TIMEOUT;
        while self.ledger.entries().is_empty() && self.fleet.busy_engine().is_none() {
            assert!(
                Instant::now() < until,
                "no request reached a backend server"
            );
            thread::sleep(Duration::from_millis(2));
        }
    }
}

/// Sends a request; returns the status and the outcome, or `None` without an answer.
fn send(addr: SocketAddr, path: &str) -> Option<(u16, String)> {
    let body = json!({"model": "draft", "prompt": "x", "max_tokens": 100_000, "ignore_eos": true});
    let headers = [("idempotency-key", "k")];
    let caller = Caller::new(CALLER_KEY);
    let res = smol::block_on(caller.post(addr, path, &headers, body.to_string())).ok()?;
    let outcome = res.header("x-outcome").map(|value| value.as_str());
    Some((res.status().into(), outcome.unwrap_or_default().to_owned()))
}

#[test_case(&CALL; "an order that takes longer")]
#[test_case(&Case { late: true, ..CALL }; "an order that takes longer, late")]
#[test_case(&Case { limit: Duration::ZERO, ..CALL }; "an order and a second signal")]
#[test_case(&Case { delay: STOP_TIME / 4, answer: (200, "ran"), ..CALL }; "an order that ends in time")]
#[test_case(&Case { path: "/v1/completions", ..CALL }; "a generation that takes longer")]
#[test_case(&Case { path: "/v1/completions", late: true, ..CALL }; "a generation that takes longer, late")]
fn a_request_that_is_open_at_the_end_of_a_stop_is_answered(case: &Case) {
    let mut setup = StopSetup::new();
    setup.service.set_faults(Faults {
        delay_ms: case.delay.as_millis() as u64,
        ..Faults::default()
    });
    let addr = setup.fleet.addr(0).expect("the node serves");
    if case.late {
        setup.fleet.node(0).expect("the node runs").begin_leaving();
    }
    let path = case.path;
    let caller = thread::spawn(move || send(addr, path));
    setup.wait_until_busy();
    let mut node = setup.fleet.take_node(0).expect("the node runs");
    let cut = smol::block_on(node.stop(case.limit));
    // As the daemon, which exits.
    drop(node);
    let answer = caller.join().expect("the caller does not panic");
    let (status, outcome) = case.answer;
    assert_eq!(answer, Some((status, outcome.to_owned())));
    assert_eq!(cut, usize::from(status != 200));
}

/// Sends a call on a kept connection; returns the answer as text, empty if there is none.
fn call_on(stream: &mut TcpStream, key: &str) -> String {
    let head = format!(
        "GET /services/orders/{key} HTTP/1.1\r\nhost: n\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         x-request-id: {key}\r\n\r\n"
    );
    // A write to a connection that the node has closed may fail.
    let _ = stream.write_all(head.as_bytes());
    let mut answer = Vec::new();
    let mut bytes = [0; 4096];
    // The body of each answer is one JSON object.
    while !answer.ends_with(b"}") {
        match stream.read(&mut bytes) {
            Ok(read) if read > 0 => answer.extend_from_slice(&bytes[..read]),
            _ => break,
        }
    }
    String::from_utf8_lossy(&answer).into_owned()
}

#[test]
fn no_request_on_a_kept_connection_is_read_after_a_stop() {
    let mut setup = StopSetup::new();
    let addr = setup.fleet.addr(0).expect("the node serves");
    let mut stream = TcpStream::connect(addr).expect("the node serves");
    stream
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("an open socket");
    assert!(call_on(&mut stream, "first").starts_with("HTTP/1.1 200"));
    let mut node = setup.fleet.take_node(0).expect("the node runs");
    assert_eq!(smol::block_on(node.stop(STOP_TIME)), 0);
    // The daemon would exit now, under whatever it reads.
    let answer = call_on(&mut stream, "second");
    assert_eq!(answer, "");
    assert_eq!(setup.ledger.runs("second"), 0);
    assert_eq!(setup.ledger.runs("first"), 1);
}
