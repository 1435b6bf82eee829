//! Table tests of offered revisions and the ones that are applied.

use std::time::Duration;

use super::{Action, ActiveRevision, Event, Source, WaitReason};

struct Case {
    name: &'static str,
    /// The events with their times in milliseconds.
    events: Vec<(u64, Event)>,
    applied: Vec<u64>,
    wait_reason: Option<WaitReason>,
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
fn highest_offered_revision_is_applied() {
    let cases = vec![
        Case {
            name: "store and peers agree",
            events: vec![(0, announced(peer(), 3)), (5, fetched(store(), 3))],
            applied: vec![3],
            wait_reason: None,
        },
        Case {
            name: "store answers from an old replica",
            events: vec![
                (0, fetched(store(), 2)),
                (5, announced(peer(), 3)),
                (6, fetched(peer(), 3)),
            ],
            applied: vec![3],
            wait_reason: None,
        },
        Case {
            name: "stale watch event after a newer revision",
            events: vec![
                (0, fetched(store(), 4)),
                (0, announced(peer(), 4)),
                (9, fetched(store(), 3)),
                (9, announced(store(), 3)),
            ],
            applied: vec![4],
            wait_reason: None,
        },
        Case {
            name: "store is down",
            events: vec![(0, fetched(peer(), 3)), (1000, Event::Tick)],
            applied: vec![3],
            wait_reason: None,
        },
        Case {
            name: "store is down and the start timeout has not passed",
            events: vec![(0, fetched(peer(), 3)), (900, Event::Tick)],
            applied: vec![],
            wait_reason: Some(WaitReason::StoreSilent),
        },
        Case {
            name: "nobody answers",
            events: vec![
                (0, Event::FetchFailed { source: store() }),
                (90_000, Event::Tick),
            ],
            applied: vec![],
            wait_reason: Some(WaitReason::NoAnswer),
        },
        Case {
            name: "a fetch fails and another source serves",
            events: vec![
                (0, announced(peer(), 3)),
                (1, Event::FetchFailed { source: peer() }),
                (2, announced(store(), 3)),
                (3, fetched(store(), 3)),
            ],
            applied: vec![3],
            wait_reason: None,
        },
    ];
    for case in cases {
        let mut node = ActiveRevision::new();
        let applied: Vec<u64> = case
            .events
            .into_iter()
            .flat_map(|(ms, event)| node.step(Duration::from_millis(ms), event))
            .filter_map(|action| match action {
                Action::Apply { revision } => Some(revision),
                Action::Fetch { .. } => None,
            })
            .collect();
        assert_eq!(applied, case.applied, "{}", case.name);
        assert_eq!(node.wait_reason(), case.wait_reason, "{}", case.name);
    }
}
