//! Tests of the plain service stand-in through cassiareel's service adapter.

use std::time::Duration;

use cassiareel::backend::{Answer, Call, CallError, HttpService, Service};
use cassiareel_standins::service::{Faults, Ledger, PlainService};
use http_types::Method;
use test_case::test_case;

fn call(id: &str) -> Call {
    Call {
        method: Method::Post,
        path: "/engrave".to_owned(),
        media_type: None,
        body: b"gift set".to_vec().into(),
        id: id.to_owned(),
    }
}

/// The faults during a call, the result that the caller must get, and the runs in the ledger.
#[derive(Clone, Copy)]
struct FaultCase {
    faults: Faults,
    expected: fn(&Result<Answer, CallError>) -> bool,
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

#[test_case(FaultCase { faults: NO_FAULTS, expected: RAN, runs: 1 }; "none")]
#[test_case(FaultCase { faults: Faults { delay_ms: 5, ..NO_FAULTS }, expected: RAN, runs: 1 }; "delayed")]
#[test_case(FaultCase { faults: Faults { refuse: 1.0, ..NO_FAULTS }, expected: NOT_RUN, runs: 0 }; "refused")]
#[test_case(FaultCase { faults: Faults { fail: 1.0, ..NO_FAULTS }, expected: FAILED, runs: 0 }; "failed")]
#[test_case(FaultCase { faults: Faults { lose_before: 1.0, ..NO_FAULTS }, expected: UNKNOWN, runs: 0 }; "lost before")]
#[test_case(FaultCase { faults: Faults { lose_after: 1.0, ..NO_FAULTS }, expected: UNKNOWN, runs: 1 }; "lost after")]
#[test_case(FaultCase { faults: Faults { hang: 1.0, ..NO_FAULTS }, expected: UNKNOWN, runs: 1 }; "hung")]
#[test_case(FaultCase { faults: Faults { cross: 1.0, ..NO_FAULTS }, expected: UNKNOWN, runs: 1 }; "crossed")]
fn a_fault_affects_the_caller_and_the_ledger_as_configured(case: FaultCase) {
    let ledger = Ledger::default();
    let service = PlainService::start("orders@v1", &ledger).unwrap();
    let adapter = HttpService::new(service.addr(), Duration::from_millis(500));
    smol::block_on(async {
        adapter.call(&call("earlier")).await.unwrap();
        service.set_faults(case.faults);
        let res = adapter.call(&call("order")).await;
        assert!((case.expected)(&res), "{res:?}");
    });
    assert_eq!(ledger.runs("order"), case.runs);
    assert_eq!(ledger.runs("earlier"), 1);
}

#[test]
fn a_late_order_runs_after_its_connection_was_reset() {
    let ledger = Ledger::default();
    let service = PlainService::start("orders@v1", &ledger).unwrap();
    service.set_faults(Faults {
        late: 1.0,
        ..NO_FAULTS
    });
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
fn the_service_reports_whether_an_order_ran_and_runs_a_repeat_again() {
    let ledger = Ledger::default();
    let service = PlainService::start("orders@v1", &ledger).unwrap();
    let adapter = HttpService::new(service.addr(), Duration::from_secs(10));
    smol::block_on(async {
        let query = Call {
            method: Method::Get,
            path: "/orders/order".to_owned(),
            body: Vec::new().into(),
            ..call("ask")
        };
        assert_eq!(adapter.call(&query).await.unwrap().status, 404);
        adapter.call(&call("order")).await.unwrap();
        adapter.call(&call("order")).await.unwrap();
        let found = adapter.call(&query).await.unwrap();
        let found: serde_json::Value = serde_json::from_slice(&found.body).unwrap();
        let expected = serde_json::json!({"order": "order", "state": "ran", "runs": 2});
        assert_eq!(found, expected);
    });
}
