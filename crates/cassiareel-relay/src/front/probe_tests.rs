//! A run is given up if the reports show that its engine does not work on it.

use std::time::Duration;

use test_case::test_case;

use super::probe::{Probes, RunStatus, ENGINE_LOST, SILENT};
use crate::protocol::Report;

/// A report that an engine gives twice, and the expected result.
struct Case {
    report: Report,
    /// Number of events received.
    received: u64,
    /// Time since the last event, in milliseconds.
    silent: u64,
    expected: RunStatus,
}

const fn report(runs: bool, held: u64, generating: u64, events: u64) -> Report {
    Report {
        runs,
        open_requests: held,
        events,
        generating,
        per_request: Vec::new(),
        used_tokens: 0,
        capacity_tokens: 0,
        unreadable: 0,
    }
}

#[test_case(&Case { report: report(false, 3, 2, 0), received: 0, silent: 1500, expected: RunStatus::Open }; "a prompt is prefilled or waits")]
#[test_case(&Case { report: report(false, 2, 2, 0), received: 0, silent: 1500, expected: RunStatus::PresumedLost("run ended") }; "only other requests are worked on")]
#[test_case(&Case { report: report(false, 0, 0, 0), received: 0, silent: 1500, expected: RunStatus::PresumedLost("run ended") }; "nothing is worked on")]
#[test_case(&Case { report: report(true, 2, 2, 20), received: 20, silent: 1500, expected: RunStatus::Open }; "a pause")]
#[test_case(&Case { report: report(true, 2, 2, 20), received: 5, silent: 1500, expected: RunStatus::PresumedLost("events lost") }; "generated events did not arrive")]
#[test_case(&Case { report: report(false, 3, 2, 0), received: 5, silent: 1500, expected: RunStatus::PresumedLost("run ended") }; "a run that had begun is not listed")]
#[test_case(&Case { report: report(false, 3, 2, 0), received: 0, silent: 6500, expected: RunStatus::PresumedLost("stalled") }; "an endless wait")]
fn reports_detect_lost_runs(case: &Case) {
    let mut probes = Probes::new(Duration::ZERO);
    let silent = Duration::from_millis(case.silent);
    let mut evaluate = || probes.evaluate(&case.report, case.received, silent, true);
    let first = evaluate();
    let status = if first == RunStatus::Open {
        evaluate()
    } else {
        first
    };
    assert_eq!(status, case.expected);
}

/// An engine that goes on after a pause reports events that are still on the way.
#[test]
fn events_on_the_way_are_not_lost() {
    let mut probes = Probes::new(Duration::ZERO);
    let silent = Duration::from_millis(1000);
    let mut evaluate = |events| probes.evaluate(&report(true, 2, 2, 20), events, silent, true);
    assert_eq!(evaluate(2), RunStatus::Open);
    assert_eq!(evaluate(18), RunStatus::Open);
    assert_eq!(evaluate(18), RunStatus::PresumedLost("events lost"));
}

struct CauseCase {
    status: RunStatus,
    may_replace: bool,
    cause: Option<&'static str>,
}

#[test_case(&CauseCase { status: RunStatus::PresumedLost(SILENT), may_replace: false, cause: None }; "silent, no other run")]
#[test_case(&CauseCase { status: RunStatus::PresumedLost(SILENT), may_replace: true, cause: Some(SILENT) }; "silent, another run")]
#[test_case(&CauseCase { status: RunStatus::Ended, may_replace: false, cause: Some(ENGINE_LOST) }; "ended, no other run")]
#[test_case(&CauseCase { status: RunStatus::Open, may_replace: true, cause: None }; "open")]
fn a_run_that_none_may_replace_is_given_up_only_if_it_ended(case: &CauseCase) {
    assert_eq!(case.status.loss_cause(case.may_replace), case.cause);
}
