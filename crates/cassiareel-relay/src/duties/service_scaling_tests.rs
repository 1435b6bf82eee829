//! Orders of one service, by the answers to earlier ones.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use test_case::test_case;

use super::{
    service_scaling::{outcome, ServiceScaling},
    DutyError,
};
use crate::{
    kernel::{DataCentreInput, DemandCoverage, ServiceInput},
    model::ScaleBounds,
};

/// Returns the state of a service with too few servers.
fn input(seconds: u64) -> ServiceInput {
    let part = DataCentreInput {
        listed: 4,
        ready: 4,
        slots: 24,
        running: 24,
        ..DataCentreInput::default()
    };
    ServiceInput {
        now: Duration::from_secs(100 + seconds),
        bounds: ScaleBounds {
            min: 2,
            max: 8,
            boot: Duration::from_secs(8),
        },
        engine: None,
        data_centres: BTreeMap::from([(Arc::from("a"), part)]),
        coverage: DemandCoverage {
            nodes: 1,
            known: 1,
            oldest: Duration::ZERO,
        },
        is_rolling_out: false,
    }
}

/// Guards against orders that are lost with a call that failed, and against calls that are made again
/// each second. Orders are answered as given; the result is the number of orders in ten seconds.
#[test_case(|| Ok(()), 1; "answered")]
#[test_case(|| Err(DutyError::RateLimited), 7; "rate limit")]
#[test_case(|| Err(DutyError::Unanswered { cause: "time".to_owned() }), 4; "no answer")]
#[test_case(|| Err(DutyError::Refused { status: 400 }), 2; "refused")]
fn an_order_is_sent_until_it_is_answered(answer: fn() -> Result<(), DutyError>, sent: usize) {
    let mut scaling = ServiceScaling::default();
    let mut counts = Vec::new();
    for seconds in 0..10 {
        let input = input(seconds);
        let now = input.now;
        let decided = scaling.decide(&Arc::from("model"), input);
        for due in decided.expect("the bounds are valid").1 {
            counts.push(due.order.count);
            scaling.record(&due.order, outcome(&answer()), now);
        }
    }
    assert_eq!(counts, vec![8; sent]);
}

/// Guards against a log line each second.
#[test]
fn invalid_bounds_are_reported_once() {
    let mut scaling = ServiceScaling::default();
    let mut input = input(0);
    input.bounds.min = 9;
    let fault = scaling.decide(&Arc::from("model"), input);
    let fault = fault.expect_err("the bounds are invalid");
    assert!(scaling.is_new_fault(fault));
    assert!(!scaling.is_new_fault(fault));
}
