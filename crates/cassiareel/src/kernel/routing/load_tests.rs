//! Stale reports are corrected by the requests that the node has sent itself.

use std::time::Duration;

use test_case::test_case;

use super::{Load, ReportedLoad};

const T0: Duration = Duration::from_secs(10);

fn reported(running: u32, age_ms: u64) -> ReportedLoad {
    ReportedLoad {
        running,
        age: Duration::from_millis(age_ms),
        ..ReportedLoad::default()
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn own_requests_since_the_report_are_added() {
    let load = Load::default();
    load.record_send(T0, 100);
    load.record_send(T0 + ms(600), 100);
    // The report was made 500 ms after T0, so it includes the first of the two requests.
    load.record_report(T0 + ms(1000), &reported(5, 500));
    assert_eq!(load.outstanding(T0 + ms(1000), 1), 6);
    load.record_send(T0 + ms(1100), 100);
    assert_eq!(load.outstanding(T0 + ms(1100), 1), 7);
    load.record_end(Some(T0 + ms(1200)));
    assert_eq!(load.outstanding(T0 + ms(1200), 1), 6);
    load.record_report(T0 + ms(3000), &reported(2, 100));
    assert_eq!(load.outstanding(T0 + ms(3000), 1), 2);
}

#[test]
fn other_sharers_are_assumed_to_behave_alike() {
    let load = Load::default();
    load.record_report(T0, &reported(4, 0));
    load.record_send(T0 + ms(200), 100);
    assert_eq!(load.outstanding(T0 + ms(200), 1), 5);
    assert!(load.outstanding(T0 + ms(200), 6) > 6);
    assert!(load.backlog_tokens(6) > load.backlog_tokens(1));
}

#[test]
fn without_a_fresh_report_only_own_requests_are_known() {
    let load = Load::default();
    load.record_send(T0, 100);
    assert_eq!(load.outstanding(T0, 6), 6);
    load.record_report(T0, &reported(40, 0));
    assert!(load.outstanding(T0, 1) >= 40);
    assert_eq!(load.outstanding(T0 + Duration::from_secs(16), 1), 1);
}

#[test]
fn the_load_is_never_below_the_own_open_requests() {
    let load = Load::default();
    for _ in 0..9 {
        load.record_send(T0, 10);
    }
    load.record_report(T0 + ms(900), &reported(0, 0));
    assert_eq!(load.outstanding(T0 + ms(900), 1), 9);
    for _ in 0..9 {
        load.cancel_backlog(10);
        load.record_end(None);
    }
    assert_eq!(
        (load.outstanding(T0 + ms(900), 1), load.own_backlog_tokens()),
        (0, 0)
    );
}

#[test_case(100, 1.0; "as expected")]
#[test_case(300, 3.0; "three times slower")]
#[test_case(100_000, 20.0; "bounded above")]
#[test_case(0, 0.2; "bounded below")]
fn slowdown_follows_first_tokens(took: u64, slowdown: f32) {
    let load = Load::default();
    for _ in 0..100 {
        load.record_send(T0, 1);
        load.record_first_token(1, ms(took), ms(100));
    }
    assert!(
        (load.slowdown() - slowdown).abs() < 0.05 * slowdown,
        "{}",
        load.slowdown()
    );
}

#[test]
fn the_largest_reported_counts_do_not_overflow() {
    let load = Load::default();
    let now = Duration::from_secs(60);
    let report = ReportedLoad {
        running: u32::MAX,
        waiting: u32::MAX,
        token_ms: 42.0,
        age: Duration::ZERO,
    };
    load.record_report(now, &report);
    assert_eq!(load.outstanding(now, 3), u32::MAX);
}
