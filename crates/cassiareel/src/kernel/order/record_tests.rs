//! Tests that the expiry rule never allows a key to run a second time.

use std::time::Duration;

use test_case::test_case;

use super::{Expiry, Outcome, Record, State, Verdict};

const KEEP: Duration = Duration::from_secs(24 * 60 * 60);
const HOUR_MS: u64 = 3_600_000;
const CREATED_MS: u64 = 1_645_557_742_000;
const UUID_V7: &str = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f";

fn record(key: &str, state: State) -> Record {
    Record {
        account: "zrinski".into(),
        caller: "shop".into(),
        key: key.into(),
        service: "orders".into(),
        digest: "d".into(),
        attempt: "n1-1".into(),
        since_ms: CREATED_MS,
        state,
    }
}

fn done() -> State {
    State::Done {
        outcome: Outcome {
            status: 200,
            mime: "text/plain".to_owned(),
            body: b"ok".to_vec(),
        },
    }
}

struct Case {
    key: &'static str,
    state: State,
    hours: u64,
    shrinks: Option<Option<bool>>,
    deletes: bool,
}

#[test_case(Case { key: "k", state: done(), hours: 23, shrinks: None, deletes: false }; "recent outcome stays")]
#[test_case(Case { key: "k", state: done(), hours: 24, shrinks: Some(Some(true)), deletes: false }; "done shrinks")]
#[test_case(Case { key: "k", state: State::NotRun, hours: 24, shrinks: Some(Some(false)), deletes: false }; "not run shrinks")]
#[test_case(Case { key: "k", state: State::Settled { verdict: Verdict::Ran }, hours: 24, shrinks: Some(Some(true)), deletes: false }; "settled shrinks")]
#[test_case(Case { key: "k", state: State::Unknown, hours: 9000, shrinks: None, deletes: false }; "unknown waits for an operator")]
#[test_case(Case { key: "k", state: State::Claimed, hours: 9000, shrinks: None, deletes: false }; "claim waits for an operator")]
#[test_case(Case { key: "k", state: State::Expired { ran: None }, hours: 9000, shrinks: None, deletes: false }; "opaque key is never deleted")]
#[test_case(Case { key: UUID_V7, state: done(), hours: 24, shrinks: Some(Some(true)), deletes: false }; "key with a timestamp stays while it may be accepted")]
#[test_case(Case { key: UUID_V7, state: done(), hours: 26, shrinks: None, deletes: true }; "key with a timestamp is deleted once every node rejects it")]
fn expires(case: Case) {
    let before = record(case.key, case.state);
    let now_ms = CREATED_MS + case.hours * HOUR_MS;
    match before.expire(now_ms, KEEP) {
        Expiry::Keep => assert!(case.shrinks.is_none() && !case.deletes),
        Expiry::Shrink(after) => {
            assert_eq!(
                Some(after.state),
                case.shrinks.map(|ran| State::Expired { ran })
            );
        }
        Expiry::Delete => {
            assert!(case.deletes);
            assert!(Record::is_key_expired(case.key, now_ms - HOUR_MS, KEEP));
        }
    }
}

#[test]
fn record_round_trips_through_json() {
    let before = record("k", done());
    let json = serde_json::to_value(&before).expect("record serializes");
    let after: Record = serde_json::from_value(json).expect("record deserializes");
    assert_eq!(before, after);
}
