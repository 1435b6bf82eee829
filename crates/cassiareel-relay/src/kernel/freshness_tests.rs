//! Keys are accepted up to a bound after the start of the last complete read, whatever happened
//! since.

use std::time::Duration;

use test_case::test_case;

use super::ConfigFreshness;

const BOUND: Duration = Duration::from_secs(5);

struct Case {
    /// The start times of complete reads, in seconds.
    reads: &'static [u64],
    /// The time of the check, in milliseconds.
    now: u64,
    fresh: bool,
}

#[test_case(&Case { reads: &[], now: 0, fresh: false }; "no read yet")]
#[test_case(&Case { reads: &[1], now: 1_000, fresh: true }; "just read")]
#[test_case(&Case { reads: &[1], now: 5_800, fresh: true }; "within the bound")]
#[test_case(&Case { reads: &[1], now: 5_900, fresh: false }; "within the margin")]
#[test_case(&Case { reads: &[1], now: 60_000, fresh: false }; "after a suspension")]
#[test_case(&Case { reads: &[4, 1], now: 8_000, fresh: true }; "an older read whose answer comes late")]
fn freshness_counts_from_the_start_of_the_read(case: &Case) {
    let mut freshness = ConfigFreshness::new(BOUND);
    for read in case.reads {
        freshness.record_read(Duration::from_secs(*read));
    }
    assert_eq!(
        freshness.is_fresh(Duration::from_millis(case.now)),
        case.fresh
    );
}
