//! The cached values that nodes use are younger than the bound, whichever node reads the store,
//! also over two hops.

use std::time::Duration;

use test_case::test_case;

use super::ReadSchedule;

/// The time that an answer of the store or a peer may take.
const ANSWER_TIME: Duration = Duration::from_millis(60);

/// The number of nodes that pass cached values on, including the first reader.
const RELAYS: usize = 4;

/// A backend server leaves while the first reader is unavailable: no node may use a list that is
/// older than the bound, however late its turn is.
#[test_case(2_000; "two seconds")]
#[test_case(3_000; "three seconds")]
#[test_case(5_000; "five seconds")]
fn cached_values_are_younger_than_the_bound(bound: u64) {
    let bound = Duration::from_millis(bound);
    let schedule = ReadSchedule::new(bound);
    for turn in 0..3000 {
        let oldest = schedule.read_age(turn) + ANSWER_TIME;
        assert!(oldest < bound.mul_f64(0.75), "{turn}: {oldest:?}");
    }
}

/// Without failures only the first reader reads: its cached values reach all others before their
/// turns.
#[test_case(2_000; "two seconds")]
#[test_case(5_000; "five seconds")]
fn cached_values_of_the_first_reader_are_fresh_enough(bound: u64) {
    let schedule = ReadSchedule::new(Duration::from_millis(bound));
    let oldest = schedule.read_age(0) + ANSWER_TIME * 3;
    assert!(oldest < schedule.read_age(1), "{oldest:?}");
    assert!(schedule.read_age(0) + ANSWER_TIME < schedule.query_wait(None));
    assert!(schedule.read_age(0) + ANSWER_TIME < schedule.overdue_age());
}

/// Stand-ins read one after another, with enough time for the cached value of the previous one to
/// arrive.
#[test]
fn stand_ins_wait_for_each_other() {
    let schedule = ReadSchedule::new(Duration::from_millis(2_000));
    for turn in 1..3 {
        let (before, after) = (schedule.read_age(turn), schedule.read_age(turn + 1));
        assert!(before + ANSWER_TIME * 3 < after, "{turn}");
    }
}

/// The first reader hangs: nodes that queried it query the first stand-in before they read the
/// store.
#[test_case(2_000; "two seconds")]
#[test_case(5_000; "five seconds")]
fn nodes_query_another_peer_before_they_read_if_one_hangs(bound: u64) {
    let schedule = ReadSchedule::new(Duration::from_millis(bound));
    // A query starts with a fresh cached value, or with one as old as the first stand-in lets it
    // become.
    for age in [ANSWER_TIME, schedule.read_age(1)] {
        let second_query =
            age + schedule.query_wait(Some(age)) + schedule.answer_timeout() + ANSWER_TIME * 2;
        assert!(second_query < schedule.read_age(RELAYS), "{second_query:?}");
    }
}
