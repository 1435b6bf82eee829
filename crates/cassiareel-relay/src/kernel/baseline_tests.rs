//! What counts as several times slower, whatever node saw it.

use test_case::test_case;

use super::LogTimes;

/// Times of the old version, in any unit.
const OLD: [f64; 9] = [1.0, 0.6, 1.8, 1.1, 0.9, 1.3, 0.7, 3.0, 1.0];

#[test_case(&OLD, 1.0, false; "as usual")]
#[test_case(&OLD, 2.0, false; "twice as long")]
#[test_case(&OLD, 4.0, true; "four times as long")]
#[test_case(&OLD[..5], 40.0, false; "too little is known")]
#[test_case(&[0.0; 9], 1.0, true; "no time at all")]
fn a_time_is_slow_beside_what_is_usual(old: &[f64], time: f64, slow: bool) {
    let mut nodes = [LogTimes::default(); 3];
    for (i, time) in old.iter().enumerate() {
        nodes[i % 3].record(*time);
    }
    let [a, b, c] = nodes;
    assert_eq!(a.merge(b).merge(c).baseline().is_slow(time), slow);
}
