//! Tables of offers and what they put in force.

use std::time::Duration;

use super::{Action, ActiveRevision, Event, Source, WaitReason};

struct Case {
    name: &'static str,
    /// Milliseconds and event.
    events: Vec<(u64, Event)>,
    enforced: Vec<u64>,
    waits: Option<WaitReason>,
}

fn store() -> Source {
    Source::Store
}

fn peer() -> Source {
    Source::Peer("n2".into())
}

fn announced(source: Source, revision: u64) -> Event {
    Event::Announced { source, revision }
}

fn fetched(source: Source, revision: u64) -> Event {
    Event::Fetched { source, revision }
}

#[test]
fn offers_put_in_force_what_is_highest() {
    let cases = vec![
        Case {
            name: "store and peers agree",
            events: vec![(0, announced(peer(), 3)), (5, fetched(store(), 3))],
            enforced: vec![3],
            waits: None,
        },
        Case {
            name: "store answers from an old replica",
            events: vec![
                (0, fetched(store(), 2)),
                (5, announced(peer(), 3)),
                (6, fetched(peer(), 3)),
            ],
            enforced: vec![3],
            waits: None,
        },
        Case {
            name: "stale watch after a newer revision",
            events: vec![
                (0, fetched(store(), 4)),
                (0, announced(peer(), 4)),
                (9, fetched(store(), 3)),
                (9, announced(store(), 3)),
            ],
            enforced: vec![4],
            waits: None,
        },
        Case {
            name: "store is away",
            events: vec![(0, fetched(peer(), 3)), (1000, Event::Tick)],
            enforced: vec![3],
            waits: None,
        },
        Case {
            name: "store is away and a moment has not passed",
            events: vec![(0, fetched(peer(), 3)), (900, Event::Tick)],
            enforced: vec![],
            waits: Some(WaitReason::StoreSilent),
        },
        Case {
            name: "nobody answers",
            events: vec![
                (0, Event::FetchFailed { source: store() }),
                (90_000, Event::Tick),
            ],
            enforced: vec![],
            waits: Some(WaitReason::NoAnswer),
        },
        Case {
            name: "a fetch fails and another source serves",
            events: vec![
                (0, announced(peer(), 3)),
                (1, Event::FetchFailed { source: peer() }),
                (2, announced(store(), 3)),
                (3, fetched(store(), 3)),
            ],
            enforced: vec![3],
            waits: None,
        },
    ];
    for case in cases {
        let mut node = ActiveRevision::new();
        let enforced: Vec<u64> = case
            .events
            .into_iter()
            .flat_map(|(ms, event)| node.step(Duration::from_millis(ms), event))
            .filter_map(|action| match action {
                Action::Apply { revision } => Some(revision),
                Action::Fetch { .. } => None,
            })
            .collect();
        assert_eq!(enforced, case.enforced, "{}", case.name);
        assert_eq!(node.wait_reason(), case.waits, "{}", case.name);
    }
}
