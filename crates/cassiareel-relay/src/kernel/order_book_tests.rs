//! Orders and verdicts across a restore of the store.

use std::{sync::Arc, time::Duration};

use test_case::test_case;

use super::OrderBook;
use crate::{
    clock::Moment,
    model::{Rollout, RolloutState, StoreRevision},
};

const SECOND: Duration = Duration::from_secs(1);

/// The time at which the first list was read.
const START: Moment = Duration::from_secs(100);

/// The revision at which the order was created, and that of the first list.
const CREATED: u64 = 20;
const FIRST: u64 = 30;

/// An order of a list, to a version within a time.
#[derive(Clone, Copy, Debug)]
struct Order {
    target: &'static str,
    seconds: u64,
    created: u64,
    state: Option<RolloutState>,
}

const KNOWN: Order = Order {
    target: "v2",
    seconds: 60,
    created: CREATED,
    state: Some(RolloutState::Running),
};

impl Order {
    fn rollout(self) -> Rollout {
        Rollout {
            service: Arc::from("work"),
            target: Arc::from(self.target),
            duration: Duration::from_secs(self.seconds),
            state: self.state,
            revision: self.created,
            order: self.created,
            unproven: Vec::new(),
        }
    }
}

/// Returns a book that has read the known order with a state.
fn book(state: Option<RolloutState>) -> OrderBook {
    let mut book = OrderBook::default();
    let order = Order { state, ..KNOWN };
    book.apply(&[order.rollout()], at(0, FIRST), START, START, START);
    book
}

/// A list that is read after the known order.
struct Case {
    /// The list's era and revision.
    at: StoreRevision,
    /// The order in the list.
    order: Option<Order>,
    /// The time since the first list of its era, or since the known order for the same era.
    after: Duration,
    expected: Expected,
}

/// What is expected of the order that is in force.
#[derive(Debug, Eq, PartialEq)]
enum Expected {
    /// The known order is in force.
    Same,
    /// Another order is in force.
    Other,
    /// There is no order.
    Withdrawn,
}

fn at(era: u64, revision: u64) -> StoreRevision {
    StoreRevision::new(era, revision)
}

const AGAIN: Order = Order {
    created: 25,
    state: None,
    ..KNOWN
};

#[test_case(&Case { at: at(0, 40), order: Some(KNOWN), after: SECOND, expected: Expected::Same }; "a later list of the era")]
#[test_case(&Case { at: at(0, 40), order: None, after: SECOND, expected: Expected::Withdrawn }; "withdrawn in the era")]
#[test_case(&Case { at: at(0, 40), order: Some(AGAIN), after: SECOND, expected: Expected::Other }; "written anew in the era")]
#[test_case(&Case { at: at(0, 40), order: Some(Order { target: "v3", ..KNOWN }), after: SECOND, expected: Expected::Other }; "another target in the era")]
#[test_case(&Case { at: at(0, 29), order: None, after: SECOND, expected: Expected::Same }; "an older list")]
#[test_case(&Case { at: at(1, 22), order: Some(KNOWN), after: SECOND, expected: Expected::Same }; "in the copy")]
#[test_case(&Case { at: at(1, 26), order: Some(AGAIN), after: SECOND, expected: Expected::Same }; "written again with a lower revision")]
#[test_case(&Case { at: at(1, 99), order: Some(Order { created: 98, ..AGAIN }), after: SECOND, expected: Expected::Same }; "written again with a higher revision")]
#[test_case(&Case { at: at(1, 22), order: Some(Order { target: "v3", ..KNOWN }), after: SECOND, expected: Expected::Other }; "its revision given out to another target")]
#[test_case(&Case { at: at(1, 22), order: Some(Order { seconds: 30, ..KNOWN }), after: SECOND, expected: Expected::Other }; "its revision given out to another duration")]
#[test_case(&Case { at: at(1, 30), order: None, after: SECOND, expected: Expected::Same }; "lost, its revision equal")]
#[test_case(&Case { at: at(1, 99), order: None, after: 9 * SECOND, expected: Expected::Same }; "lost for a while")]
#[test_case(&Case { at: at(1, 99), order: None, after: 10 * SECOND, expected: Expected::Withdrawn }; "not written again")]
#[test_case(&Case { at: at(2, 9), order: None, after: SECOND, expected: Expected::Same }; "two restores")]
fn an_order_is_the_same_across_eras(case: &Case) {
    let mut book = book(KNOWN.state);
    if case.at.era() > 0 {
        book.apply(&[], at(1, 1), START, START + SECOND, START + SECOND);
    }
    let now = START + SECOND + case.after;
    let orders: Vec<Rollout> = case.order.into_iter().map(Order::rollout).collect();
    book.apply(&orders, case.at, now, now, now);
    let found = match book.orders() {
        [] => Expected::Withdrawn,
        [order] if order.began == START => Expected::Same,
        _ => Expected::Other,
    };
    assert_eq!(found, case.expected);
}

/// What the store has of the order after a restore, and the state that is in force.
struct VerdictCase {
    verdict: RolloutState,
    stored: Order,
    in_force: Option<RolloutState>,
    lost: bool,
}

const COMPLETED: RolloutState = RolloutState::Completed;
const ROLLED_BACK: RolloutState = RolloutState::RolledBack;

#[test_case(&VerdictCase { verdict: ROLLED_BACK, stored: KNOWN, in_force: Some(ROLLED_BACK), lost: true }; "rolled back, then running")]
#[test_case(&VerdictCase { verdict: COMPLETED, stored: AGAIN, in_force: Some(COMPLETED), lost: true }; "complete, then written again")]
#[test_case(&VerdictCase { verdict: COMPLETED, stored: Order { state: Some(COMPLETED), ..KNOWN }, in_force: Some(COMPLETED), lost: false }; "in the copy")]
#[test_case(&VerdictCase { verdict: COMPLETED, stored: Order { state: Some(ROLLED_BACK), ..AGAIN }, in_force: Some(ROLLED_BACK), lost: false }; "another verdict in the store")]
#[test_case(&VerdictCase { verdict: ROLLED_BACK, stored: Order { target: "v3", ..AGAIN }, in_force: None, lost: false }; "of another target")]
fn a_verdict_holds_after_a_restore(case: &VerdictCase) {
    let mut book = book(Some(case.verdict));
    let now = START + SECOND;
    book.apply(&[case.stored.rollout()], at(1, 30), now, now, now);
    let [order] = book.orders() else {
        panic!("one order is in force");
    };
    assert_eq!(order.rollout.state, case.in_force);
    assert_eq!(
        order.lost_verdict(),
        case.lost.then_some((case.verdict, now))
    );
}

/// The verdict was acknowledged, and lost before any list showed it.
#[test]
fn an_acknowledged_verdict_holds_that_no_list_showed() {
    let mut book = book(KNOWN.state);
    let id = book.orders()[0].id();
    book.record_state(id, ROLLED_BACK, 0, None);
    let now = START + SECOND;
    book.apply(&[AGAIN.rollout()], at(1, 26), now, now, now);
    assert_eq!(book.orders()[0].lost_verdict(), Some((ROLLED_BACK, now)));
    book.record_state(id, ROLLED_BACK, 1, None);
    assert_eq!(book.orders()[0].lost_verdict(), None);
}

/// The list that a node has cached is applied once more after the verdict was acknowledged.
#[test]
fn an_acknowledged_verdict_holds_when_an_earlier_list_is_applied_again() {
    let mut book = book(KNOWN.state);
    let id = book.orders()[0].id();
    book.record_state(id, ROLLED_BACK, 0, None);
    let now = START + SECOND;
    let changes = book.apply(&[KNOWN.rollout()], at(0, FIRST), START, START, now);
    assert_eq!(book.orders()[0].rollout.state, Some(ROLLED_BACK));
    assert_eq!(book.orders()[0].lost_verdict(), None);
    assert!(!changes.changed);
}

/// The list was read before the operator had time to write its order again, and is applied later.
#[test]
fn an_order_holds_until_a_list_is_read_that_should_have_it() {
    let mut book = book(KNOWN.state);
    let began = START + SECOND;
    book.apply(&[], at(1, 26), began, began, began);
    let later = began + 20 * SECOND;
    book.apply(&[], at(1, 26), began, began, later);
    assert_eq!(book.orders().len(), 1);
    book.apply(&[], at(1, 26), began, later, later);
    assert!(book.orders().is_empty());
}

/// A node that starts right after a restore knows no verdict that the store has lost.
#[test_case(0, Duration::ZERO, true; "never restored")]
#[test_case(3, 9 * SECOND, false; "a restored store")]
#[test_case(3, 10 * SECOND, true; "a while after the start")]
fn a_new_node_of_a_restored_store_reaches_no_verdict_at_once(era: u64, after: Duration, may: bool) {
    let mut book = OrderBook::default();
    book.apply(&[KNOWN.rollout()], at(era, 10), START, START, START);
    assert_eq!(book.may_end(START + after), may);
}

/// Other nodes may name the order by its revision in an earlier era.
#[test]
fn counts_of_an_order_are_known_by_all_its_revisions() {
    let mut book = book(KNOWN.state);
    book.apply(&[AGAIN.rollout()], at(1, 26), START, START, START);
    let order = &book.orders()[0];
    assert_eq!((order.id(), order.newest_id()), (at(0, 20), at(1, 25)));
    assert!(order.has_id(at(0, 20)) && order.has_id(at(1, 25)));
    assert!(!order.has_id(at(1, 20)));
}

#[test]
fn the_first_era_that_a_node_knows_is_settled() {
    let mut book = OrderBook::default();
    book.apply(&[], at(3, 10), START, START, START);
    assert!(book.is_settled(START));
    book.apply(&[], at(4, 5), START, START, START);
    assert!(!book.is_settled(START + 9 * SECOND));
    assert!(book.is_settled(START + 10 * SECOND));
}
