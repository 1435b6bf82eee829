//! Requests of lower priorities leave room to higher ones, as long as those ask for it.

use std::time::Duration;

use super::{Precedence, PriorityDemand, PromptDemand, Rivals};

const fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// The recorded demand of two priorities, and how a request stands to it.
struct Case {
    name: &'static str,
    classes: &'static [(u8, Duration)],
    /// Requests recorded of priorities 0 and 2.
    recorded: [usize; 2],
    priority: u8,
    objective: Duration,
    /// Time from the last record.
    elapsed: Duration,
    expected: Precedence,
}

const ONE: &[(u8, Duration)] = &[(2, secs(10)), (2, secs(4))];
const EQUAL: &[(u8, Duration)] = &[(0, secs(10)), (2, secs(10))];
const TWO: &[(u8, Duration)] = &[(0, secs(4)), (2, secs(10))];

const STANDARD: Case = Case {
    name: "a lower priority leaves room to a higher one",
    classes: TWO,
    recorded: [10, 90],
    priority: 2,
    objective: secs(10),
    elapsed: Duration::ZERO,
    expected: Precedence {
        yields_to: Some(secs(4)),
        higher_part: 0.1,
        goes_first: false,
    },
};

/// A deployment with one priority must be served as before, and a reserve must not outlast demand.
#[test]
fn precedence_follows_routes_and_demand() {
    let first = Precedence {
        goes_first: true,
        ..Precedence::default()
    };
    let cases = [
        STANDARD,
        Case {
            name: "a higher priority goes first",
            priority: 0,
            objective: secs(4),
            expected: first,
            ..STANDARD
        },
        Case {
            name: "a higher priority with most of the demand does not",
            recorded: [60, 40],
            priority: 0,
            objective: secs(4),
            expected: Precedence::default(),
            ..STANDARD
        },
        Case {
            name: "nobody leaves room to most of the demand",
            recorded: [60, 40],
            expected: Precedence::default(),
            ..STANDARD
        },
        Case {
            name: "nothing is left where the higher priority asks for nothing",
            recorded: [0, 100],
            expected: Precedence::default(),
            ..STANDARD
        },
        Case {
            name: "nothing is left after the demand has ended",
            elapsed: secs(20),
            expected: Precedence::default(),
            ..STANDARD
        },
        Case {
            name: "one priority",
            classes: ONE,
            expected: Precedence::default(),
            ..STANDARD
        },
        Case {
            name: "the lower priority has no longer objective",
            classes: EQUAL,
            expected: Precedence::default(),
            ..STANDARD
        },
    ];
    for case in cases {
        let mut demand = PriorityDemand::default();
        for (priority, count) in [0, 2].into_iter().zip(case.recorded) {
            (0..count).for_each(|_| demand.record(priority, secs(1)));
        }
        let rivals = Rivals::new(case.classes, case.priority, case.objective);
        let found = demand.precedence(rivals, case.priority, secs(1) + case.elapsed);
        assert_eq!(found, case.expected, "{}", case.name);
    }
}

/// Without rivals nothing changes; with them the wait of the lower priority follows the shorter
/// objective, and the higher one may use more of it and of the memory.
#[test]
fn precedence_changes_what_a_prompt_needs() {
    let usual = PromptDemand {
        max_wait: Duration::from_millis(3500),
        reserved_part: 0.3,
        ..PromptDemand::default()
    };
    assert_eq!(Precedence::default().apply(usual, secs(9), 0.35), usual);
    let lower = STANDARD.expected.apply(usual, secs(9), 0.35);
    assert_eq!(lower.max_wait, Duration::from_millis(1400));
    assert_eq!((lower.left_part, lower.reserved_part), (0.1, 0.3));
    let first = Precedence {
        goes_first: true,
        ..Precedence::default()
    };
    let higher = first.apply(usual, secs(5), 0.35);
    assert_eq!(higher.max_wait, secs(4));
    assert!(higher.extra_fill > 0.0 && higher.reserved_part == 0.0);
}
