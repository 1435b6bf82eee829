//! Keys hold for a bound after the start of the last whole read, whatever happened since.

use std::time::Duration;

use test_case::test_case;

use super::ConfigFreshness;

const BOUND: Duration = Duration::from_secs(5);

struct Case {
    /// Starts of whole reads, in seconds.
    reads: &'static [u64],
    /// The time of the question, in milliseconds.
    now: u64,
    holds: bool,
}

#[test_case(&Case { reads: &[], now: 0, holds: false }; "nothing was read")]
#[test_case(&Case { reads: &[1], now: 1_000, holds: true }; "just read")]
#[test_case(&Case { reads: &[1], now: 5_800, holds: true }; "within the bound")]
#[test_case(&Case { reads: &[1], now: 5_900, holds: false }; "within the margin")]
#[test_case(&Case { reads: &[1], now: 60_000, holds: false }; "after a suspension")]
#[test_case(&Case { reads: &[4, 1], now: 8_000, holds: true }; "an older read that answers late")]
fn keys_hold_by_the_start_of_the_read(case: &Case) {
    let mut authority = ConfigFreshness::new(BOUND);
    for read in case.reads {
        authority.record_read(Duration::from_secs(*read));
    }
    assert_eq!(
        authority.is_fresh(Duration::from_millis(case.now)),
        case.holds
    );
}
