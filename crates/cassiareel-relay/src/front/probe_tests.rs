//! A run is given up where reports show that its engine does not work on it.

use std::time::Duration;

use test_case::test_case;

use super::probe::Probes;
use crate::protocol::Report;

/// Reports of an engine, the same each time, and what follows from two of them.
struct Case {
    report: Report,
    /// Events that came.
    received: u64,
    /// How long nothing came, in milliseconds.
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
    }
}

#[test_case(&Case { report: report(false, 3, 2, 0), received: 0, silent: 1500, lost: None }; "a prompt is read or waits")]
#[test_case(&Case { report: report(false, 2, 2, 0), received: 0, silent: 1500, lost: Some("run ended") }; "others alone are worked on")]
#[test_case(&Case { report: report(false, 0, 0, 0), received: 0, silent: 1500, lost: Some("run ended") }; "nothing is worked on")]
#[test_case(&Case { report: report(true, 2, 2, 20), received: 20, silent: 1500, lost: None }; "a pause")]
#[test_case(&Case { report: report(true, 2, 2, 20), received: 5, silent: 1500, lost: Some("events lost") }; "events were made that did not come")]
#[test_case(&Case { report: report(false, 3, 2, 0), received: 5, silent: 1500, lost: Some("run ended") }; "a run that had begun is not told")]
#[test_case(&Case { report: report(false, 3, 2, 0), received: 0, silent: 6500, lost: Some("stalled") }; "a wait without end")]
fn reports_show_whether_a_run_lives(case: &Case) {
    let mut probes = Probes::new(Duration::ZERO);
    let silent = Duration::from_millis(case.silent);
    let mut evaluate = || probes.evaluate(&case.report, case.received, silent, true);
    let lost = evaluate().or_else(evaluate);
    assert_eq!(lost, case.lost);
}
