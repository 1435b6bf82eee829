//! Non-idempotent calls while nodes, the store or the service fail.

use std::{net::SocketAddr, sync::Arc};

use cassiareel::hooks::Step;
use cassiareel_standins::{
    caller::Caller,
    fleet::{Fleet, FleetOptions, CALLER_KEY},
    matrix::breakpoint::Breakpoint,
    objects::{self, Outage},
    service::{Faults, Ledger, PlainService},
};
use serde_json::json;
use test_case::test_case;

/// A fleet of nodes with a store, a plain service and its ledger.
struct TestSetup {
    fleet: Fleet,
    ledger: Ledger,
    service: PlainService,
}

/// Returns settings with a plain service whose calls are not idempotent.
fn tree(fleet: &Fleet, servers: &[SocketAddr]) -> String {
    let servers: Vec<String> = servers.iter().map(|addr| format!("\"{addr}\"")).collect();
    let servers = servers.join(", ");
    let services = format!(
        r#"
[services.orders]
kind = "plain"
version = "v1"
[services.orders.policy]
time.answer = "400ms"
[services.orders.versions.v1.placements.d0]
servers = [{servers}]
"#
    );
    fleet.settings_tree().replace(
        "services = [\"draft\"]",
        "services = [\"draft\", \"orders\"]",
    ) + &services
}

impl TestSetup {
    fn new(options: &FleetOptions) -> TestSetup {
        let ledger = Ledger::default();
        let service = PlainService::start("orders@v1", &ledger).expect("loopback has ports");
        let mut fleet = Fleet::start(options).expect("loopback has ports");
        let tree = tree(&fleet, &[service.addr()]);
        fleet.apply(&tree);
        TestSetup {
            fleet,
            ledger,
            service,
        }
    }

    /// Sends an order to a node; returns the status and the outcome that the answer reports.
    fn order(&self, node: usize, key: &str, text: &str) -> Option<(u16, String)> {
        let addr = self.fleet.addr(node)?;
        smol::block_on(send(addr, key, text))
    }
}

async fn send(addr: SocketAddr, key: &str, text: &str) -> Option<(u16, String)> {
    let body = json!({"order": "81", "text": text}).to_string();
    let headers = [("idempotency-key", key)];
    let sent = Caller::new(CALLER_KEY)
        .post(addr, "/services/orders/engrave", &headers, body)
        .await;
    let res = sent.ok()?;
    let outcome = res
        .header("x-outcome")
        .map(|outcome| outcome.as_str().to_owned());
    Some((res.status().into(), outcome.unwrap_or_default()))
}

fn response(status: u16, outcome: &str) -> Option<(u16, String)> {
    Some((status, outcome.to_owned()))
}

/// The faults during an order's first call, the answers to it and to its repeat, and the runs of
/// the order.
#[derive(Clone, Copy)]
struct FaultCase {
    faults: Faults,
    first: (u16, &'static str),
    repeat: (u16, &'static str),
    runs: u32,
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

const RAN: (u16, &str) = (200, "ran");
const NOT_RUN: (u16, &str) = (503, "not_run");
const UNKNOWN: (u16, &str) = (503, "unknown");

#[test_case(FaultCase { faults: NO_FAULTS, first: RAN, repeat: RAN, runs: 1 }; "none")]
#[test_case(FaultCase { faults: Faults { refuse: 1.0, ..NO_FAULTS }, first: NOT_RUN, repeat: RAN, runs: 1 }; "refused")]
#[test_case(FaultCase { faults: Faults { lose_after: 1.0, ..NO_FAULTS }, first: RAN, repeat: RAN, runs: 1 }; "answer lost")]
#[test_case(FaultCase { faults: Faults { hang: 1.0, ..NO_FAULTS }, first: RAN, repeat: RAN, runs: 1 }; "service hangs")]
#[test_case(FaultCase { faults: Faults { cross: 1.0, ..NO_FAULTS }, first: RAN, repeat: RAN, runs: 1 }; "own answer again")]
#[test_case(FaultCase { faults: Faults { lose_before: 1.0, ..NO_FAULTS }, first: UNKNOWN, repeat: UNKNOWN, runs: 0 }; "order lost")]
#[test_case(FaultCase { faults: Faults { fail: 1.0, ..NO_FAULTS }, first: UNKNOWN, repeat: UNKNOWN, runs: 0 }; "service fails")]
fn an_order_runs_at_most_once_under_service_faults(case: FaultCase) {
    let setup = TestSetup::new(&FleetOptions::new(1, 2));
    setup.service.set_faults(case.faults);
    let first = setup.order(0, "k", "For Ana");
    assert_eq!(first, response(case.first.0, case.first.1));
    setup.service.set_faults(NO_FAULTS);
    let mut repeat = setup.order(1, "k", "For Ana");
    // The first node may not have stored the order's outcome yet.
    while repeat == response(503, "unknown") && case.repeat != UNKNOWN {
        repeat = setup.order(1, "k", "For Ana");
    }
    assert_eq!(repeat, response(case.repeat.0, case.repeat.1));
    assert_eq!(setup.ledger.runs_of_number("81"), case.runs);
}

#[test]
fn an_order_is_rejected_while_the_store_is_down() {
    let setup = TestSetup::new(&FleetOptions::new(1, 2));
    setup.fleet.objects.set_faults(objects::Faults {
        outage: Some(Outage::Refuse),
        ..objects::Faults::default()
    });
    assert_eq!(setup.order(0, "k", "For Ana"), response(503, "not_run"));
    assert_eq!(setup.ledger.runs_of_number("81"), 0);
    setup.fleet.objects.set_faults(objects::Faults::default());
    assert_eq!(setup.order(1, "k", "For Ana"), response(200, "ran"));
    assert_eq!(setup.ledger.runs_of_number("81"), 1);
}

#[test]
fn a_key_with_another_body_is_rejected() {
    let setup = TestSetup::new(&FleetOptions::new(1, 2));
    assert_eq!(setup.order(0, "k", "For Ana"), response(200, "ran"));
    assert_eq!(setup.order(1, "k", "For Eva"), response(422, "not_run"));
    assert_eq!(setup.ledger.runs_of_number("81"), 1);
}

/// Kills a node at a step and repeats the order at another node.
#[test_case(Step::OrderRecording, 200, "ran", 1; "before its record")]
#[test_case(Step::OrderRecorded, 503, "unknown", 0; "between record and send")]
#[test_case(Step::OrderAnswered, 503, "unknown", 1; "before the outcome is stored")]
#[test_case(Step::OrderStored, 200, "ran", 1; "after the outcome is stored")]
fn a_node_killed_at_a_step_never_runs_an_order_twice(
    step: Step,
    status: u16,
    outcome: &str,
    runs: u32,
) {
    let (breakpoint, handle) = Breakpoint::new(step, 1);
    let options = FleetOptions {
        hooks: Arc::new(breakpoint),
        ..FleetOptions::new(1, 2)
    };
    let mut setup = TestSetup::new(&options);
    let addr = setup.fleet.addr(0).expect("the node serves");
    let first = smol::spawn(send(addr, "k", "For Ana"));
    smol::block_on(handle.wait_until_hit());
    setup.fleet.kill_node(0);
    drop(smol::block_on(first));
    assert_eq!(setup.order(1, "k", "For Ana"), response(status, outcome));
    assert_eq!(setup.ledger.runs_of_number("81"), runs);
}

#[test]
fn two_nodes_run_one_order_once() {
    let setup = TestSetup::new(&FleetOptions::new(1, 2));
    for round in 0..20 {
        let key = format!("k{round}");
        let addrs = [0, 1].map(|node| setup.fleet.addr(node).expect("the node serves"));
        let calls = addrs.map(|addr| {
            let key = key.clone();
            smol::spawn(async move { send(addr, &key, "For Ana").await })
        });
        let responses: Vec<_> = calls.into_iter().map(smol::block_on).collect();
        assert!(
            responses.iter().flatten().any(|(status, _)| *status == 200),
            "{responses:?}"
        );
    }
    let entries = setup.ledger.entries();
    assert_eq!(entries.len(), 20);
    assert!(entries.values().all(|entry| entry.runs == 1), "{entries:?}");
}

/// Sends the same order with new keys to services that crash while they run it. After two crashes
/// it is rejected without being sent.
#[test]
fn an_order_that_crashes_services_is_not_sent_again() {
    let ledgers: Vec<Ledger> = (0..4).map(|_| Ledger::default()).collect();
    let start =
        |ledger: &Ledger| PlainService::start("orders@v1", ledger).expect("loopback has ports");
    let mut services: Vec<Option<PlainService>> = ledgers.iter().map(start).map(Some).collect();
    let addrs: Vec<SocketAddr> = services.iter().flatten().map(PlainService::addr).collect();
    let mut fleet = Fleet::start(&FleetOptions::new(1, 1)).expect("loopback has ports");
    let tree = tree(&fleet, &addrs);
    fleet.apply(&tree);
    let node = fleet.addr(0).expect("the node serves");
    let slow = Faults {
        delay_ms: 2000,
        ..NO_FAULTS
    };
    services
        .iter()
        .flatten()
        .for_each(|service| service.set_faults(slow));
    let received = |at: usize| !ledgers[at].entries().is_empty();
    let mut order = |key: &str| {
        let before = (0..ledgers.len()).filter(|at| received(*at)).count();
        let sent = std::thread::scope(|scope| {
            let sent = scope.spawn(|| smol::block_on(send(node, key, "fatal")));
            while !sent.is_finished() {
                (0..ledgers.len())
                    .filter(|at| received(*at))
                    .for_each(|at| services[at] = None);
                std::thread::sleep(std::time::Duration::from_millis(5));
            }
            sent.join().expect("the call does not panic")
        });
        let after = (0..ledgers.len()).filter(|at| received(*at)).count();
        (sent.map(|(status, _)| status), after - before)
    };
    let results: Vec<(Option<u16>, usize)> =
        ["a", "b", "c", "d"].into_iter().map(&mut order).collect();
    let received: Vec<usize> = results.iter().map(|(_, received)| *received).collect();
    assert_eq!(received, [1, 1, 0, 0], "{results:?}");
    assert_eq!(
        response(503, "not_run"),
        smol::block_on(send(node, "e", "fatal"))
    );
}
