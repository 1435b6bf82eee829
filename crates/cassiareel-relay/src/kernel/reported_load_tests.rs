//! What is believed of a load between reports.

use std::time::Duration;

use super::ReportedLoad;

const NOW: Duration = Duration::from_secs(100);

/// One report of a long queue must not decide for the seconds until the next one.
#[test]
fn one_odd_report_changes_the_usual_load_by_a_fifth() {
    let mut load = ReportedLoad::default();
    for requests in [6, 6, 31] {
        load.record(requests, 1, None, NOW);
    }
    assert_eq!(load.others(), 30);
    assert!((load.usual_others(NOW) - 10.0).abs() < 1e-9);
}

/// A backend server that nobody asks reports nothing, and would be avoided for ever.
#[test]
fn an_old_load_is_forgotten() {
    let mut load = ReportedLoad::default();
    load.record(30, 0, None, NOW);
    let later = |seconds| load.usual_others(NOW + Duration::from_secs(seconds));
    assert!((later(10) - 15.0).abs() < 1e-9);
    assert!(later(60) < 0.5);
}
