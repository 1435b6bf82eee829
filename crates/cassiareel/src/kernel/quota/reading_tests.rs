//! Which of two answers decides on a limit.

use std::time::Duration;

use super::LimitReading;

fn reading(limit: Option<f64>, sent_ms: u64, received_ms: u64) -> LimitReading {
    LimitReading {
        limit,
        sent: Duration::from_millis(sent_ms),
        received: Duration::from_millis(received_ms),
    }
}

struct Case {
    name: &'static str,
    known: LimitReading,
    new: LimitReading,
    limit: Option<f64>,
}

#[test]
fn the_answer_that_was_begun_last_decides() {
    let cases = [
        Case {
            name: "a later answer raises the limit",
            known: reading(Some(2.0), 0, 10),
            new: reading(Some(9.0), 10, 20),
            limit: Some(9.0),
        },
        Case {
            name: "a later answer ends the limit",
            known: reading(Some(2.0), 0, 10),
            new: reading(None, 12, 20),
            limit: None,
        },
        Case {
            name: "an earlier answer over a slow connection, known by a peer's report",
            known: reading(Some(2.0), 100, 110),
            new: reading(Some(9.0), 0, 90),
            limit: Some(2.0),
        },
        Case {
            name: "a slow answer that may have been begun before the end of the limit",
            known: reading(None, 100, 110),
            new: reading(Some(9.0), 0, 500),
            limit: Some(9.0),
        },
        Case {
            name: "answers at the same time at two nodes",
            known: reading(Some(2.0), 0, 30),
            new: reading(Some(9.0), 10, 40),
            limit: Some(2.0),
        },
        Case {
            name: "a lower limit at the same time",
            known: reading(Some(9.0), 0, 30),
            new: reading(Some(2.0), 10, 40),
            limit: Some(2.0),
        },
    ];
    for case in cases {
        assert_eq!(
            case.known.merge(case.new).limit,
            case.limit,
            "{}",
            case.name
        );
        assert_eq!(
            case.new.merge(case.known).limit,
            case.limit,
            "{}",
            case.name
        );
    }
}

/// After answers whose order is unknown, the next answer to a request that was sent later decides.
#[test]
fn an_answer_after_the_uncertain_ones_decides() {
    let uncertain = reading(Some(9.0), 0, 500).merge(reading(None, 100, 110));
    assert_eq!(uncertain.limit, Some(9.0));
    assert_eq!(uncertain.merge(reading(None, 501, 520)).limit, None);
}

#[test]
fn equal_limits_are_as_young_as_the_younger_one() {
    let merged = reading(Some(9.0), 0, 30).merge(reading(Some(9.0), 10, 40));
    assert_eq!(merged, reading(Some(9.0), 10, 40));
}
