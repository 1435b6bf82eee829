//! A run is given up if the reports show that its engine does not work on it.

use std::time::Duration;

use test_case::test_case;

use super::probe::Probes;
use crate::protocol::Report;

/// A report that an engine gives twice, and the expected result.
struct Case {
    report: Report,
    /// Number of events received.
    received: u64,
    /// Time since the last event, in milliseconds.
    silent: u64,
    lost: Option<&'static str>,
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

#[test_case(&Case { report: report(false, 3, 2, 0), received: 0, silent: 1500, lost: None }; "a prompt is prefilled or waits")]
#[test_case(&Case { report: report(false, 2, 2, 0), received: 0, silent: 1500, lost: Some("run ended") }; "only other requests are worked on")]
#[test_case(&Case { report: report(false, 0, 0, 0), received: 0, silent: 1500, lost: Some("run ended") }; "nothing is worked on")]
#[test_case(&Case { report: report(true, 2, 2, 20), received: 20, silent: 1500, lost: None }; "a pause")]
#[test_case(&Case { report: report(true, 2, 2, 20), received: 5, silent: 1500, lost: Some("events lost") }; "generated events did not arrive")]
#[test_case(&Case { report: report(false, 3, 2, 0), received: 5, silent: 1500, lost: Some("run ended") }; "a run that had begun is not listed")]
#[test_case(&Case { report: report(false, 3, 2, 0), received: 0, silent: 6500, lost: Some("stalled") }; "an endless wait")]
fn reports_detect_lost_runs(case: &Case) {
    let mut probes = Probes::new(Duration::ZERO);
    let silent = Duration::from_millis(case.silent);
    let mut evaluate = || probes.evaluate(&case.report, case.received, silent, true);
    let lost = evaluate().or_else(evaluate);
    assert_eq!(lost, case.lost);
}
