//! Expected times come from recent runs, and are unknown without enough of them.

use std::time::Duration;

use test_case::test_case;

use super::{ExpectedTimes, RunTimes};

/// A run that was given up.
const NEVER: u64 = u64::MAX;

struct Case {
    /// The times of the route's runs, in milliseconds.
    route: &'static [u64],
    /// The times of the runs of another route to the service, in milliseconds.
    other: &'static [u64],
    /// The expected times, in milliseconds.
    usual: Option<u64>,
    slow: Option<u64>,
}

#[test_case(&Case { route: &[], other: &[], usual: None, slow: None }; "nothing known")]
#[test_case(&Case { route: &[400], other: &[], usual: Some(400), slow: None }; "too few runs for a slow one")]
#[test_case(&Case { route: &[400, 100, 800, 200, 300], other: &[9000], usual: Some(300), slow: Some(1000) }; "the route is known")]
#[test_case(&Case { route: &[], other: &[100, 200, 300, 400], usual: Some(300), slow: None }; "another route of the service")]
#[test_case(&Case { route: &[100, 100, NEVER, 100], other: &[], usual: Some(100), slow: Some(NEVER) }; "one run was given up")]
#[test_case(&Case { route: &[100, NEVER, NEVER], other: &[], usual: Some(NEVER), slow: None }; "most runs were given up")]
fn expected_times_follow_recent_runs(case: &Case) {
    let time = |ms: u64| (ms != NEVER).then(|| Duration::from_millis(ms));
    let mut times = RunTimes::default();
    for ms in case.route {
        times.record("r", "s", time(*ms));
    }
    for ms in case.other {
        times.record("other", "s", time(*ms));
    }
    let expected = |ms: Option<u64>| ms.map(|ms| time(ms).unwrap_or(Duration::MAX));
    assert_eq!(
        times.expected("r", "s"),
        ExpectedTimes {
            usual: expected(case.usual),
            slow: expected(case.slow),
        }
    );
}

#[test]
fn an_old_slow_run_is_forgotten() {
    let mut times = RunTimes::default();
    times.record("r", "s", None);
    for _ in 0..64 {
        times.record("r", "s", Some(Duration::from_millis(400)));
    }
    let slow = times.expected("r", "s").slow;
    assert_eq!(slow, Some(Duration::from_millis(500)));
}

#[test]
fn names_without_end_take_no_memory_without_end() {
    let mut times = RunTimes::default();
    for i in 0..5000 {
        times.record(&format!("r{i}"), "s", Some(Duration::from_secs(1)));
    }
    let is_known = |i: &i32| times.expected(&format!("r{i}"), "-").usual.is_some();
    let known = (0..5000).filter(is_known).count();
    assert!((1..=1000).contains(&known), "{known}");
}
