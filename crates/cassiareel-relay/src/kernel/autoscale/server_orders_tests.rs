//! Orders that are answered, lost, refused or carried out late.

use std::time::Duration;

use test_case::test_case;

use super::{
    OrderOutcome::{self, Answered, NotTaken, Refused, Unanswered},
    ServerOrders,
};

const BOOT: Duration = Duration::from_secs(8);

fn at(seconds: u64) -> Duration {
    Duration::from_secs(100 + seconds)
}

/// Guards against orders that are lost, and against calls that change nothing. Each case is: orders that
/// were sent with their time and outcome; wanted and listed servers; and the time at which an order is
/// due or not. The holder began with 20 servers.
#[test_case(&[], 20, 20, 5, false; "nothing to change")]
#[test_case(&[], 22, 20, 5, true; "another number")]
#[test_case(&[(22, 0, Answered)], 22, 20, 5, false; "answered")]
#[test_case(&[(22, 0, Answered)], 20, 20, 5, true; "back to the first number")]
#[test_case(&[(22, 0, Unanswered)], 22, 22, 2, true; "repeated without an answer")]
#[test_case(&[(22, 0, Unanswered)], 20, 20, 1, true; "withdrawn without an answer")]
#[test_case(&[(22, 0, Refused)], 22, 20, 2, false; "refused just now")]
#[test_case(&[(22, 0, Refused)], 22, 20, 5, true; "refused a while ago")]
#[test_case(&[(22, 0, NotTaken)], 22, 20, 0, true; "not taken")]
#[test_case(&[(22, 0, Unanswered), (24, 3, Answered)], 24, 24, 4, false; "just sent")]
#[test_case(&[(22, 0, Unanswered), (24, 3, Answered)], 24, 24, 5, true; "an earlier order may have come")]
#[test_case(&[(22, 0, Unanswered), (24, 3, Answered), (24, 14, Answered)], 24, 24, 15, true; "at the latest time")]
#[test_case(&[(22, 0, Unanswered), (24, 3, Answered), (24, 15, Answered)], 24, 24, 40, false; "settled")]
fn an_order_is_due(
    sent: &[(u32, u64, OrderOutcome)],
    wanted: u32,
    listed: u32,
    now: u64,
    due: bool,
) {
    let mut orders = ServerOrders::default();
    for (count, when, outcome) in sent {
        orders.record(*count, *outcome, at(*when));
    }
    assert_eq!(orders.is_due(wanted, 20, listed, BOOT, at(now)), due);
}

/// Guards against an order that was carried out after a newer one and stays in force.
#[test]
fn another_number_of_servers_than_ordered_is_corrected() {
    let mut orders = ServerOrders::default();
    orders.record(24, Answered, at(0));
    let mut due = (1..60).filter(|now| orders.is_due(24, 20, 20, BOOT, at(*now)));
    assert_eq!(due.next(), Some(24));
}
