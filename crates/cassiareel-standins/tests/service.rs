//! The plain service through cassiareel's own adapter.

use std::time::Duration;

use cassiareel::backend::{Answer, Call, CallError, HttpService, Service};
use cassiareel_standins::service::{Faults, Ledger, PlainService};
use http_types::Method;
use test_case::test_case;

fn call(name: &str) -> Call {
    Call {
        method: Method::Post,
        path: "/engrave".to_owned(),
        media_type: None,
        body: b"gift set".to_vec(),
        id: name.to_owned(),
    }
}

/// A fault that meets a call, and what the caller and the ledger know after it.
#[derive(Clone, Copy)]
struct Case {
    faults: Faults,
    knows: fn(&Result<Answer, CallError>) -> bool,
    runs: u32,
}

const RAN: fn(&Result<Answer, CallError>) -> bool =
    |res| matches!(res, Ok(Answer { status: 200, .. }));
const FAILED: fn(&Result<Answer, CallError>) -> bool =
    |res| matches!(res, Ok(Answer { status: 500, .. }));
const NOT_RUN: fn(&Result<Answer, CallError>) -> bool =
    |res| matches!(res, Err(CallError::NotRun { .. }));
const UNKNOWN: fn(&Result<Answer, CallError>) -> bool =
    |res| matches!(res, Err(CallError::Unknown { .. }));

const NONE: Faults = Faults {
    delay_ms: 0,
    refuse: 0.0,
    fail: 0.0,
    lose_before: 0.0,
    lose_after: 0.0,
    hang: 0.0,
    late: 0.0,
    cross: 0.0,
};

#[test_case(Case { faults: NONE, knows: RAN, runs: 1 }; "none")]
#[test_case(Case { faults: Faults { delay_ms: 5, ..NONE }, knows: RAN, runs: 1 }; "delayed")]
#[test_case(Case { faults: Faults { refuse: 1.0, ..NONE }, knows: NOT_RUN, runs: 0 }; "refused")]
#[test_case(Case { faults: Faults { fail: 1.0, ..NONE }, knows: FAILED, runs: 0 }; "failed")]
#[test_case(Case { faults: Faults { lose_before: 1.0, ..NONE }, knows: UNKNOWN, runs: 0 }; "lost before")]
#[test_case(Case { faults: Faults { lose_after: 1.0, ..NONE }, knows: UNKNOWN, runs: 1 }; "lost after")]
#[test_case(Case { faults: Faults { hang: 1.0, ..NONE }, knows: UNKNOWN, runs: 1 }; "hung")]
#[test_case(Case { faults: Faults { cross: 1.0, ..NONE }, knows: UNKNOWN, runs: 1 }; "crossed")]
fn a_fault_leaves_the_caller_and_the_ledger_as_told(case: Case) {
    let ledger = Ledger::default();
    let service = PlainService::start("orders@v1", &ledger).unwrap();
    let adapter = HttpService::new(service.addr(), Duration::from_millis(500));
    smol::block_on(async {
        adapter.call(&call("earlier")).await.unwrap();
        service.set_faults(case.faults);
        let res = adapter.call(&call("order")).await;
        assert!((case.knows)(&res), "{res:?}");
    });
    assert_eq!(ledger.runs("order"), case.runs);
    assert_eq!(ledger.runs("earlier"), 1);
}

#[test]
fn a_late_order_runs_after_its_connection_was_reset() {
    let ledger = Ledger::default();
    let service = PlainService::start("orders@v1", &ledger).unwrap();
    service.set_faults(Faults { late: 1.0, ..NONE });
    let adapter = HttpService::new(service.addr(), Duration::from_secs(10));
    let res = smol::block_on(adapter.call(&call("order")));
    assert!(UNKNOWN(&res), "{res:?}");
    let entry = ledger.entry("order").unwrap();
    assert_eq!(entry.received, 1);
    while ledger.runs("order") == 0 {
        std::thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn the_service_tells_whether_an_order_ran_and_runs_a_repeat_again() {
    let ledger = Ledger::default();
    let service = PlainService::start("orders@v1", &ledger).unwrap();
    let adapter = HttpService::new(service.addr(), Duration::from_secs(10));
    smol::block_on(async {
        let ask = Call {
            method: Method::Get,
            path: "/orders/order".to_owned(),
            body: Vec::new(),
            ..call("ask")
        };
        assert_eq!(adapter.call(&ask).await.unwrap().status, 404);
        adapter.call(&call("order")).await.unwrap();
        adapter.call(&call("order")).await.unwrap();
        let found = adapter.call(&ask).await.unwrap();
        let found: serde_json::Value = serde_json::from_slice(&found.body).unwrap();
        let expected = serde_json::json!({"order": "order", "state": "ran", "runs": 2});
        assert_eq!(found, expected);
    });
}
