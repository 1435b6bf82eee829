use std::time::Duration;

use cassiareel::backend::LoadReport;

use super::reports::Reports;

const LAG: Duration = Duration::from_millis(500);

fn report(running: u32) -> LoadReport {
    LoadReport {
        running,
        ..LoadReport::default()
    }
}

#[test]
fn reports_are_delayed_by_the_lag() {
    let ms = Duration::from_millis;
    let mut reports = Reports::default();
    reports.record(ms(0), report(0));
    reports.record(ms(1_000), report(3));
    reports.record(ms(2_000), report(5));
    struct Case {
        now: u64,
        running: u32,
    }
    let cases = [
        Case {
            now: 1_400,
            running: 0,
        },
        Case {
            now: 1_500,
            running: 3,
        },
        Case {
            now: 2_499,
            running: 3,
        },
        Case {
            now: 2_500,
            running: 5,
        },
    ];
    for Case { now, running } in cases {
        let delayed = reports.delayed(ms(now), LAG).unwrap();
        assert_eq!(
            (delayed.running, delayed.age_ms),
            (running, 500),
            "at {now}"
        );
    }
}

#[test]
fn the_report_of_an_engine_that_becomes_idle_is_always_recorded() {
    let ms = Duration::from_millis;
    let mut reports = Reports::default();
    reports.record(ms(0), report(1));
    reports.record(ms(1), report(2));
    reports.record(ms(2), report(0));
    let running = |now| reports.delayed(ms(now), Duration::ZERO).unwrap().running;
    assert_eq!((running(1), running(2)), (1, 0));
}
