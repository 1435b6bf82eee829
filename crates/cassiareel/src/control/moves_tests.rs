//! Tests of operators' changes to moves with an object API that fails.

use super::{moves, ChangeError};
use crate::{
    kernel::moves::{Evidence, Plan, Resources, Scope, State, Verdict},
    store::{Call, Fault, MemoryObjects},
};

fn plan(to: &str) -> Plan {
    Plan {
        service: "drafts".into(),
        from: "v1".into(),
        to: to.into(),
        scope: Scope::default(),
        within_secs: 600,
    }
}

const RESOURCES: Resources = Resources {
    servers: 2,
    loaded: 2,
    parallel_loads: 1,
    load_time: std::time::Duration::ZERO,
};

fn verdict(id: u64) -> Verdict {
    Verdict {
        id,
        service: "drafts".into(),
        version: "v2".into(),
        evidence: Evidence {
            scope: "all traffic".to_owned(),
            fault: "errors".to_owned(),
            requests: 9,
            faults: 8,
            expected: 0.01,
        },
    }
}

#[test]
fn start_survives_each_fault_of_the_store() {
    struct Case {
        name: &'static str,
        fault: Fault,
        refused: bool,
    }
    let cases = [
        Case {
            name: "the answer is lost after the write",
            fault: Fault::LoseAnswer,
            refused: false,
        },
        Case {
            name: "the write is lost and its outcome unknown",
            fault: Fault::LoseCall,
            refused: false,
        },
        Case {
            name: "the store refuses",
            fault: Fault::Refuse,
            refused: true,
        },
    ];
    for case in cases {
        let objects = MemoryObjects::new(1);
        objects.inject_fault(Call::Create, 0, case.fault);
        let started = smol::block_on(moves::start(&objects, plan("v2"), RESOURCES, "ana"));
        assert_eq!(started.is_err(), case.refused, "{}", case.name);
        let record = smol::block_on(moves::status(&objects, "drafts")).unwrap();
        assert_eq!(record.latest.is_none(), case.refused, "{}", case.name);
        let history = smol::block_on(moves::history(&objects, "drafts")).unwrap();
        assert_eq!(history.len(), usize::from(!case.refused), "{}", case.name);
    }
}

#[test]
fn second_start_is_refused_while_a_move_is_open() {
    let objects = MemoryObjects::new(1);
    smol::block_on(moves::start(&objects, plan("v2"), RESOURCES, "ana")).unwrap();
    let err = smol::block_on(moves::start(&objects, plan("v3"), RESOURCES, "ivo")).unwrap_err();
    assert!(matches!(err, ChangeError::Refused { .. }), "{err}");
    assert!(
        err.to_string().contains("move 1 from v1 to v2 is open"),
        "{err}"
    );
}

#[test]
fn operators_and_verdicts_change_the_state() {
    smol::block_on(async {
        let objects = MemoryObjects::new(1);
        let refused = moves::pause(&objects, "drafts", "ana").await.unwrap_err();
        assert!(refused.to_string().contains("no move was ever started"));
        moves::start(&objects, plan("v2"), RESOURCES, "ana")
            .await
            .unwrap();
        moves::pause(&objects, "drafts", "ana").await.unwrap();
        moves::resume(&objects, "drafts", "ana").await.unwrap();
        moves::record_verdict(&objects, &verdict(1)).await.unwrap();
        // Another lease holder, or the same one after a lost answer, records the verdict again.
        moves::record_verdict(&objects, &verdict(1)).await.unwrap();
        let record = moves::status(&objects, "drafts").await.unwrap();
        assert_eq!(record.latest.unwrap().state, State::Reversed);
        assert_eq!(record.verdicts, [verdict(1)]);
        let late = moves::cancel(&objects, "drafts", "ana").await.unwrap_err();
        assert!(late.to_string().contains("has ended"), "{late}");
        let again = moves::start(&objects, plan("v2"), RESOURCES, "ana")
            .await
            .unwrap();
        assert_eq!(again.id, 2, "a version with a verdict needs a new start");
        moves::record_verdict(&objects, &verdict(1)).await.unwrap();
        let record = moves::status(&objects, "drafts").await.unwrap();
        assert_eq!(
            record.latest.unwrap().state,
            State::Running,
            "the verdict is of an earlier move"
        );
        moves::record_done(&objects, &"drafts".into())
            .await
            .unwrap();
        let next = moves::start(&objects, plan("v3"), RESOURCES, "ana")
            .await
            .unwrap();
        let record = moves::status(&objects, "drafts").await.unwrap();
        assert_eq!((next.id, record.settled.len()), (3, 1));
        assert_eq!(&*record.settled[0].version, "v2");
    });
}

#[test]
fn impossible_move_changes_nothing() {
    let objects = MemoryObjects::new(1);
    let none = Resources::default();
    let err = smol::block_on(moves::start(&objects, plan("v2"), none, "ana")).unwrap_err();
    assert!(err.to_string().contains("no placement"), "{err}");
    assert_eq!(objects.call_counts().writes, 0);
}

#[test]
fn numbers_of_lost_moves_and_changes_are_not_given_again() {
    smol::block_on(async {
        let objects = MemoryObjects::new(1);
        let first = moves::start(&objects, plan("v2"), RESOURCES, "ana")
            .await
            .unwrap();
        objects.copy();
        moves::pause(&objects, "drafts", "ana").await.unwrap();
        moves::cancel(&objects, "drafts", "ana").await.unwrap();
        let lost = moves::start(&objects, plan("v3"), RESOURCES, "ana")
            .await
            .unwrap();
        objects.restore();
        moves::pause(&objects, "drafts", "ivo").await.unwrap();
        let paused = moves::status(&objects, "drafts").await.unwrap().latest;
        let paused = paused.expect("the first move is stored");
        assert_eq!(paused.id, first.id);
        assert!(paused.change > lost.change + 2, "{}", paused.change);
        moves::cancel(&objects, "drafts", "ivo").await.unwrap();
        let next = moves::start(&objects, plan("v4"), RESOURCES, "ivo")
            .await
            .unwrap();
        assert!(next.id > lost.id, "{} and {}", next.id, lost.id);
    });
}
