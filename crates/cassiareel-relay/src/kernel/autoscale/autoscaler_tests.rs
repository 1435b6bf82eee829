//! The wanted number by the facts of one moment.

use std::{collections::BTreeMap, ops::Range, sync::Arc, time::Duration};

use test_case::test_case;

use super::{
    Autoscaler, BoundsError, DataCentreInput, DemandCoverage, EngineFacts, ServiceInput, SizeReason,
};
use crate::model::ScaleBounds;

const BOOT: Duration = Duration::from_secs(8);

/// Returns the state of a service of plain servers with six slots in `data_centres` data centres.
fn input(seconds: u64, listed: u32, running: u64, data_centres: usize) -> ServiceInput {
    let part = DataCentreInput {
        listed,
        ready: listed,
        slots: u64::from(listed) * 6,
        running,
        ..DataCentreInput::default()
    };
    let names = ["a", "b", "c"].into_iter().take(data_centres);
    ServiceInput {
        now: Duration::from_secs(100 + seconds),
        bounds: ScaleBounds {
            min: 2,
            max: 32,
            boot: BOOT,
        },
        engine: None,
        data_centres: names
            .map(|name| (Arc::from(name), part))
            .collect::<BTreeMap<_, _>>(),
        coverage: DemandCoverage {
            nodes: 4,
            known: 4,
            oldest: Duration::ZERO,
        },
        is_rolling_out: false,
    }
}

/// Decides each second by the same facts, and returns the last number for the first data centre.
fn decide(
    seconds: u64,
    listed: u32,
    running: u64,
    data_centres: usize,
) -> Option<(u32, SizeReason)> {
    let mut scaler = Autoscaler::default();
    let sizes = (0..=seconds).map(|now| scaler.decide(&input(now, listed, running, data_centres)));
    let last = sizes.last()?.ok()?;
    last.wanted
        .values()
        .next()
        .map(|wanted| (wanted.count, wanted.reason))
}

/// Guards against headroom that does not suffice for the loss of a data centre or for a burst, and
/// against orders before the holder knows what was ordered before.
#[test_case(2, 10, 60, 3, None; "just began")]
#[test_case(5, 10, 30, 3, None; "watches")]
#[test_case(11, 10, 30, 3, Some((10, SizeReason::Listed)); "starts from the listed number")]
#[test_case(3, 10, 60, 3, Some((32, SizeReason::Demand)); "too few while it watches")]
#[test_case(90, 30, 60, 3, Some((17, SizeReason::LowDemand)); "three data centres")]
#[test_case(90, 30, 60, 2, Some((22, SizeReason::LowDemand)); "two data centres")]
#[test_case(90, 30, 0, 3, Some((2, SizeReason::LowDemand)); "no demand")]
#[test_case(90, 40, 300, 3, Some((32, SizeReason::Bounds)); "more servers than allowed")]
fn the_wanted_number(
    seconds: u64,
    listed: u32,
    running: u64,
    data_centres: usize,
    wanted: Option<(u32, SizeReason)>,
) {
    assert_eq!(decide(seconds, listed, running, data_centres), wanted);
}

/// Guards against servers that are sized by their slots where prefills or memory bind before. The engines
/// run one request each.
#[test_case(None, None, 2.5; "nothing measured")]
#[test_case(Some(1000), Some(6000), 3.04; "prefills bind")]
#[test_case(Some(10), Some(6000), 4.76; "memory binds")]
fn the_target_of_an_engine(prefill: Option<u64>, run: Option<u64>, runs: f64) {
    let mut input = input(0, 10, 10, 1);
    input
        .data_centres
        .values_mut()
        .for_each(|part| part.slots = 160);
    input.engine = Some(EngineFacts {
        prefill: prefill.map(Duration::from_millis),
        run: run.map(Duration::from_millis),
        capacity: 88_000,
        tokens: 8_000,
    });
    let size = Autoscaler::default().decide(&input);
    let found = size.expect("the bounds are valid").target_runs;
    assert!((found - runs).abs() < 0.05, "{found}");
}

/// Refusals at a service with 30 servers in each of three data centres.
struct Refusals {
    /// The seconds in which requests are refused.
    at: Range<u64>,
    /// The number of refused requests in each of these.
    refused: u64,
    /// The number of requests that run in each data centre.
    running: u64,
    /// How many of four nodes are known.
    known: u32,
    /// The second of the last decision.
    seconds: u64,
    /// The wanted number then.
    wanted: u32,
}

const ONE_IN_TEN: Refusals = Refusals {
    at: 70..71,
    refused: 60,
    running: 60,
    known: 4,
    seconds: 72,
    wanted: 32,
};

/// Guards against servers that are added for the few requests that nodes refuse also where servers are
/// idle, and against removals that lead back to a number that did not suffice. Without refusals, 60
/// requests need 17 servers.
#[test_case(&Refusals { refused: 0, wanted: 17, ..ONE_IN_TEN }; "none")]
#[test_case(&Refusals { refused: 20, wanted: 17, ..ONE_IN_TEN }; "one in twenty-eight")]
#[test_case(&ONE_IN_TEN; "one in ten")]
#[test_case(&Refusals { refused: 10, running: 20, known: 2, ..ONE_IN_TEN }; "at the known half of the nodes")]
#[test_case(&Refusals { seconds: 140, wanted: 18, ..ONE_IN_TEN }; "not back to the same number")]
#[test_case(&Refusals { seconds: 240, wanted: 17, ..ONE_IN_TEN }; "the number is tried again later")]
#[test_case(&Refusals { at: 70..120, seconds: 240, wanted: 17, ..ONE_IN_TEN }; "all servers were needed for a while")]
fn servers_are_added_for_refusals(case: &Refusals) {
    let mut scaler = Autoscaler::default();
    let mut count = 30;
    for now in 0..=case.seconds {
        // The servers follow the orders.
        let mut input = input(now, count, case.running, 3);
        input.coverage.known = case.known;
        let first = input.data_centres.values_mut().next();
        if case.at.contains(&now) {
            first.expect("a data centre").refused = case.refused;
        }
        let size = scaler.decide(&input).expect("the bounds are valid");
        let wanted = size.wanted.values().next();
        count = wanted.map_or(count, |wanted| wanted.count);
    }
    assert_eq!(count, case.wanted);
}

/// Guards against orders by bounds that the operator can't have meant.
#[test]
fn invalid_bounds_are_errors() {
    let mut input = input(0, 10, 10, 1);
    input.bounds.min = 40;
    let found = Autoscaler::default().decide(&input);
    assert_eq!(found, Err(BoundsError::MinAboveMax { min: 40, max: 32 }));
    input.bounds = ScaleBounds {
        min: 2,
        max: 32,
        boot: Duration::ZERO,
    };
    let found = Autoscaler::default().decide(&input);
    assert_eq!(
        found,
        Err(BoundsError::Boot {
            boot: Duration::ZERO
        })
    );
}
