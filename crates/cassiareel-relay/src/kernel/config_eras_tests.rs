//! Which reads of a restored store renew the time for which keys may be trusted.

use std::{cmp::Ordering, time::Duration};

use test_case::test_case;

use super::{ConfigEras, ConfigRead};
use crate::model::StoreEra;

/// A read: when it began, in milliseconds, its era, and how its version compares with the one in
/// force. Its answer takes no time.
struct Read(u64, StoreEra, Ordering);

struct Case {
    reads: &'static [Read],
    /// What the last read proves.
    last: ConfigRead,
}

use ConfigRead::{Complete, Late, Unsettled};
use Ordering::{Equal, Greater, Less};

#[test_case(&Case { reads: &[Read(0, 7, Greater)], last: Complete }; "first read, of any era")]
#[test_case(&Case { reads: &[Read(0, 0, Greater), Read(700, 0, Equal)], last: Complete }; "the same era")]
#[test_case(&Case { reads: &[Read(0, 0, Greater), Read(700, 0, Less)], last: Late }; "a lower version in the same era")]
#[test_case(&Case { reads: &[Read(0, 0, Greater), Read(700, 1, Equal)], last: Unsettled }; "the same version after a restore")]
#[test_case(&Case { reads: &[Read(0, 0, Greater), Read(700, 1, Less)], last: Unsettled }; "a lower version after a restore")]
#[test_case(&Case { reads: &[Read(0, 0, Greater), Read(700, 1, Greater)], last: Complete }; "a higher version after a restore")]
#[test_case(&Case { reads: &[Read(0, 0, Greater), Read(700, 1, Equal), Read(1_600, 1, Equal)], last: Unsettled }; "the operator may still write")]
#[test_case(&Case { reads: &[Read(0, 0, Greater), Read(700, 1, Equal), Read(1_700, 1, Equal)], last: Complete }; "the operator had time to write")]
#[test_case(&Case { reads: &[Read(0, 0, Greater), Read(700, 1, Less), Read(1_700, 1, Less)], last: Complete }; "a lower version that nobody replaces")]
#[test_case(&Case { reads: &[Read(0, 0, Greater), Read(700, 1, Less), Read(1_700, 1, Equal), Read(1_800, 1, Less)], last: Late }; "a late answer after it was written again")]
#[test_case(&Case { reads: &[Read(0, 0, Greater), Read(700, 1, Greater), Read(800, 0, Equal)], last: Late }; "a late answer of the earlier era")]
#[test_case(&Case { reads: &[Read(0, 0, Greater), Read(700, 1, Equal), Read(1_700, 2, Equal)], last: Unsettled }; "two restores")]
fn a_restored_store_does_not_prove_that_nothing_was_revoked(case: &Case) {
    let mut eras = ConfigEras::default();
    let mut last = None;
    for Read(began, era, order) in case.reads {
        let began = Duration::from_millis(*began);
        last = Some(eras.record_read(*era, *order, began, began));
    }
    assert_eq!(last, Some(case.last));
}
