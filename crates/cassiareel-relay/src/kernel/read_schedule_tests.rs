//! What nodes go by is younger than the bound, whoever reads the store, also over two hops.

use std::time::Duration;

use test_case::test_case;

use super::ReadSchedule;

/// The time that one answer of store or peer may take.
const ANSWER: Duration = Duration::from_millis(60);

/// Nodes that pass words on, the first reader among them.
const RELAYS: usize = 4;

/// A backend server leaves while the first reader is gone: no node goes by a list that is older than
/// the bound, however late its turn is.
#[test_case(2_000; "two seconds")]
#[test_case(3_000; "three seconds")]
#[test_case(5_000; "five seconds")]
fn what_is_gone_by_is_younger_than_the_bound(bound: u64) {
    let bound = Duration::from_millis(bound);
    let reading = ReadSchedule::new(bound);
    for turn in 0..3000 {
        let oldest = reading.read_age(turn) + ANSWER;
        assert!(oldest < bound.mul_f64(0.75), "{turn}: {oldest:?}");
    }
}

/// While all is well, only the first reader reads: its words reach all others before their turns.
#[test_case(2_000; "two seconds")]
#[test_case(5_000; "five seconds")]
fn words_of_the_first_reader_are_young_enough(bound: u64) {
    let reading = ReadSchedule::new(Duration::from_millis(bound));
    let usual = reading.read_age(0) + ANSWER * 3;
    assert!(usual < reading.read_age(1), "{usual:?}");
    assert!(reading.read_age(0) + ANSWER < reading.query_wait(None));
    assert!(reading.read_age(0) + ANSWER < reading.overdue_age());
}

/// Stand-ins read one after another, with time for the word of the one before to arrive.
#[test]
fn stand_ins_wait_for_each_other() {
    let reading = ReadSchedule::new(Duration::from_millis(2_000));
    for turn in 1..3 {
        let (before, after) = (reading.read_age(turn), reading.read_age(turn + 1));
        assert!(before + ANSWER * 3 < after, "{turn}");
    }
}

/// The first reader hangs: those that asked it ask the first stand-in before they read themselves.
#[test_case(2_000; "two seconds")]
#[test_case(5_000; "five seconds")]
fn those_that_asked_a_hanging_peer_ask_another_before_they_read(bound: u64) {
    let reading = ReadSchedule::new(Duration::from_millis(bound));
    // The word is young when it is asked for the next one, or as old as the first stand-in lets it be.
    for age in [ANSWER, reading.read_age(1)] {
        let asked_again =
            age + reading.query_wait(Some(age)) + reading.answer_timeout() + ANSWER * 2;
        assert!(asked_again < reading.read_age(RELAYS), "{asked_again:?}");
    }
}
