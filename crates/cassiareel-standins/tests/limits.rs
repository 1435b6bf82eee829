//! Engines and services that name a limit on the requests which they take from all nodes together.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use cassiareel_standins::{
    caller::{Caller, ReceivedStream},
    engine,
    fleet::{Fleet, FleetOptions, CALLER_KEY},
    service::{Faults, Ledger, PlainService},
};
use serde_json::json;
use test_case::test_case;

/// Number of nodes.
const NODE_COUNT: usize = 3;

/// Number of callers, each of which sends one request after another.
const CALLER_COUNT: usize = 12;

/// The time in which all nodes must apply a limit.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// The length of the spans in which starts are counted.
const SPAN: Duration = Duration::from_secs(4);

/// Interval at which starts are counted.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// The part of a limit, and the number of requests beyond it, that a span may have.
const ALLOWED_FACTOR: f64 = 1.5;
const ALLOWED_EXTRA: f64 = 5.0;

/// The part of the limit that has to be used.
const MIN_USE: f64 = 0.5;

/// Sends short prompts to a node until `done`.
fn send_prompts(fleet: &Fleet, node: usize, caller: usize, done: &AtomicBool) {
    let addr = fleet.addr(node).expect("the node serves");
    let mut sent = 0;
    while !done.load(Ordering::Relaxed) {
        let prompt = format!("prompt {caller} {sent}");
        let body = json!({"model": "draft", "prompt": prompt, "max_tokens": 2, "ignore_eos": true,
            "stream": true});
        let mut received = ReceivedStream::default();
        smol::block_on(Caller::new(CALLER_KEY).stream(addr, &body, &mut received, |_| ()));
        if !received.done {
            thread::sleep(SAMPLE_INTERVAL);
        }
        sent += 1;
    }
}

/// Sends orders to a node until `done`.
fn send_orders(fleet: &Fleet, node: usize, caller: usize, done: &AtomicBool) {
    let addr = fleet.addr(node).expect("the node serves");
    let mut sent = 0;
    while !done.load(Ordering::Relaxed) {
        let key = format!("order-{caller}-{sent}");
        let headers = [("idempotency-key", key.as_str())];
        let body = json!({"order": "81", "text": "x"}).to_string();
        let path = "/services/orders/engrave";
        let answer = smol::block_on(Caller::new(CALLER_KEY).post(addr, path, &headers, body));
        if answer.is_err() || answer.is_ok_and(|answer| answer.status() != 200) {
            thread::sleep(SAMPLE_INTERVAL);
        }
        sent += 1;
    }
}

/// Counts starts for two spans; returns the counts at each sample.
fn sample_starts<F>(count: F) -> Vec<u64>
where
    F: Fn() -> u64,
{
    let mut starts = Vec::new();
    let began = Instant::now();
    while began.elapsed() < SPAN * 2 {
        starts.push(count());
        thread::sleep(SAMPLE_INTERVAL);
    }
    starts
}

/// Checks that the starts keep within a limit and use most of it.
fn check_starts(starts: &[u64], limit: f64) {
    let samples = (SPAN.as_millis() / SAMPLE_INTERVAL.as_millis()) as usize;
    let in_span = |i: usize| starts[(i + samples).min(starts.len() - 1)] - starts[i];
    let most = (0..starts.len()).map(in_span).max().unwrap_or(0);
    let allowed = ALLOWED_FACTOR * limit * SPAN.as_secs_f64() + ALLOWED_EXTRA;
    assert!(
        most as f64 <= allowed,
        "{most} starts in {SPAN:?}, allowed {allowed}"
    );
    let all = starts[starts.len() - 1] - starts[0];
    let used = all as f64 / (SPAN * 2).as_secs_f64() / limit;
    assert!(used >= MIN_USE, "{used:.2} of the limit was used");
}

#[test_case(3.0, NODE_COUNT; "all nodes")]
#[test_case(8.0, NODE_COUNT; "all nodes, three owners")]
#[test_case(8.0, 1; "one of the nodes")]
fn a_limit_of_an_engine_holds_for_the_fleet(limit: f64, used_nodes: usize) {
    let fleet = Fleet::start(&FleetOptions::new(1, NODE_COUNT)).expect("loopback has ports");
    let done = AtomicBool::new(false);
    let starts = thread::scope(|scope| {
        for caller in 0..CALLER_COUNT {
            let (fleet, done) = (&fleet, &done);
            scope.spawn(move || send_prompts(fleet, caller % used_nodes, caller, done));
        }
        fleet.engines[0].set_faults(engine::Faults {
            request_limit: Some(limit),
            ..engine::Faults::default()
        });
        thread::sleep(PROPAGATION_TIME);
        let starts = sample_starts(|| fleet.engines[0].stats().starts);
        done.store(true, Ordering::Relaxed);
        starts
    });
    check_starts(&starts, limit);
}

#[test]
fn a_limit_of_a_plain_service_holds_for_the_fleet() {
    let limit = 8.0;
    let ledger = Ledger::default();
    let service = PlainService::start("orders@v1", &ledger).expect("loopback has ports");
    let mut fleet = Fleet::start(&FleetOptions::new(1, NODE_COUNT)).expect("loopback has ports");
    let services = format!(
        "\n[services.orders]\nkind = \"plain\"\nversion = \"v1\"\n\
         [services.orders.versions.v1.placements.d0]\nservers = [\"{}\"]\n",
        service.addr()
    );
    let allowed = fleet.settings_tree().replace(
        "services = [\"draft\"]",
        "services = [\"draft\", \"orders\"]",
    );
    fleet.apply(&(allowed + &services));
    service.set_faults(Faults {
        request_limit: Some(limit),
        ..Faults::default()
    });
    let done = AtomicBool::new(false);
    let starts = thread::scope(|scope| {
        for caller in 0..CALLER_COUNT {
            let (fleet, done) = (&fleet, &done);
            scope.spawn(move || send_orders(fleet, caller % NODE_COUNT, caller, done));
        }
        thread::sleep(PROPAGATION_TIME);
        let starts = sample_starts(|| ledger.entries().len() as u64);
        done.store(true, Ordering::Relaxed);
        starts
    });
    check_starts(&starts, limit);
}
