//! Reported work times are believed for some hundred milliseconds.

use std::time::Duration;

use test_case::test_case;

use super::WorkPace;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// An old work time says nothing, and a wrong one must not decide alone.
#[test_case(&[], 0, None; "never reported")]
#[test_case(&[None], 0, None; "reports without a work time")]
#[test_case(&[Some(300)], 0, Some(3.0); "new")]
#[test_case(&[Some(300)], 50, Some(2.0); "half believed")]
#[test_case(&[Some(300)], 301, Some(1.0); "old")]
#[test_case(&[Some(300), None], 0, Some(3.0); "a later report without one")]
#[test_case(&[Some(300), Some(50)], 0, Some(0.5); "the newest counts")]
#[test_case(&[Some(2000)], 0, Some(8.0); "very slow")]
#[test_case(&[Some(1)], 0, Some(0.25); "very fast")]
fn a_work_time_is_believed_for_a_while(reports: &[Option<u32>], age: u64, expected: Option<f64>) {
    let mut pace = WorkPace::default();
    for report in reports {
        pace.record(*report, ms(1000));
    }
    assert_eq!(pace.factor(ms(1000 + age)), expected);
}
