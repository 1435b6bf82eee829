//! Which times count as slow, however they are distributed over nodes.

use test_case::test_case;

use super::LogTimes;

/// Times of the old version, in any unit.
const OLD_TIMES: [f64; 9] = [1.0, 0.6, 1.8, 1.1, 0.9, 1.3, 0.7, 3.0, 1.0];

#[test_case(&OLD_TIMES, 1.0, false; "typical")]
#[test_case(&OLD_TIMES, 2.0, false; "twice as long")]
#[test_case(&OLD_TIMES, 4.0, true; "four times as long")]
#[test_case(&OLD_TIMES[..5], 40.0, false; "too few times are recorded")]
#[test_case(&[0.0; 9], 1.0, true; "a baseline of zero")]
fn a_time_is_slow_compared_to_the_baseline(old: &[f64], time: f64, slow: bool) {
    let mut nodes = [LogTimes::default(); 3];
    for (i, time) in old.iter().enumerate() {
        nodes[i % 3].record(*time);
    }
    let [a, b, c] = nodes;
    assert_eq!(a.merge(b).merge(c).baseline().is_slow(time), slow);
}
