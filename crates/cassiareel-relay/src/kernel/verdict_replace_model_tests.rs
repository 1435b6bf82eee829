//! An exhaustive search for a verdict that is applied to another order than the one that it was reached
//! for. The operator overwrites the order of a service at any time, also with one that asks for the
//! same as an earlier one.

use std::{sync::Arc, time::Duration};

use cassiareel::kernel::check::{search, Model};
use test_case::test_case;

use super::{state_to_report, OrderBook, RolloutDecision};
use crate::model::{Rollout, RolloutState, RolloutStatus, StoreRevision};

/// The limit on the states of a search, above what it needs.
const MAX_STATES: usize = 300_000;

/// The number of nodes that judge the rollout.
const NODES: usize = 2;

/// The largest number of orders after the first one.
const MAX_ORDERS: u8 = 2;

/// The largest number of reports that each node begins.
const MAX_WRITES: [u8; NODES] = [2, 1];

/// The nodes whose reports' answers may be lost.
const LOSES_ANSWERS: [bool; NODES] = [false, true];

/// The time that an order gives a rollout.
const DURATION: Duration = Duration::from_secs(10);

/// The object in the store.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Object {
    target: &'static str,
    status: Option<RolloutStatus>,
    revision: u64,
    /// The revision at which the operator wrote it.
    written: u64,
    /// The revision at which a node wrote the status.
    reported: u64,
    /// The verdict on the operator's order.
    verdict: Option<RolloutState>,
}

/// A report that was sent and has not arrived.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Write {
    rollout: Rollout,
    id: StoreRevision,
    state: RolloutState,
}

#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct Node {
    book: OrderBook,
    write: Option<Write>,
    writes: u8,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    object: Object,
    nodes: [Node; NODES],
    orders: u8,
    has_restarted: bool,
    /// Whether a report was taken for another order than the node's.
    is_wrong: bool,
}

/// What broken nodes omit, and what the operator does that nodes can't know.
#[derive(Clone, Copy, Debug, Default)]
struct Replacements {
    /// An order is identified by its service alone, as by the creation of its object.
    keeps_order: bool,
    /// The operator writes contents again before each node has read the status that names them.
    hides_order: bool,
}

impl Object {
    fn rollout(&self, model: &Replacements) -> Rollout {
        let mut rollout = Rollout::new(
            Arc::from("work"),
            Arc::from(self.target),
            DURATION,
            self.status.clone(),
            self.revision,
        );
        if model.keeps_order {
            rollout.order = 1;
        }
        rollout
    }
}

impl State {
    fn read(&mut self, node: usize, model: &Replacements) {
        let at = StoreRevision::new(0, self.object.revision);
        let rollouts = [self.object.rollout(model)];
        let (since, now) = (Duration::ZERO, Duration::ZERO);
        self.nodes[node].book.apply(&rollouts, at, since, now, now);
    }

    /// The operator overwrites the order.
    fn order(&mut self, target: &'static str) {
        self.object.revision += 1;
        self.object.target = target;
        self.object.written = self.object.revision;
        self.object.verdict = None;
        self.orders += 1;
    }

    /// A node's report arrives, and its answer unless that is lost.
    fn arrive(&mut self, node: usize, is_answered: bool) {
        let Some(Write { rollout, id, state }) = self.nodes[node].write.take() else {
            return;
        };
        let object = &mut self.object;
        if rollout.revision != object.revision {
            return;
        }
        object.revision += 1;
        object.reported = object.revision;
        object.status = Some(RolloutStatus {
            state: Some(state),
            target: rollout.target.clone(),
            duration: Some(rollout.duration),
            order: Some(rollout.order),
            unproven: rollout.unproven.clone(),
        });
        self.is_wrong |= id.revision() != object.written;
        if state.is_end() {
            self.is_wrong |= object.verdict.is_some_and(|verdict| verdict != state);
            object.verdict = Some(state);
        }
        if is_answered {
            let revision = object.revision;
            let book = &mut self.nodes[node].book;
            book.record_state(id, state, 0, Some(revision));
        }
    }

    /// Returns the reports that a node may begin.
    fn writes(&self, node: usize) -> Vec<Write> {
        let decisions = [RolloutDecision::Share(0.1), RolloutDecision::Complete];
        let mut writes = Vec::new();
        for order in self.nodes[node].book.orders() {
            let known = order.rollout.state;
            let states = decisions.map(|decision| state_to_report(known, decision));
            writes.extend(states.into_iter().flatten().map(|state| Write {
                rollout: order.rollout.clone(),
                id: order.id(),
                state,
            }));
        }
        writes
    }

    /// Reports whether the nodes can tell that the contents which the status names are written again:
    /// each has read or written the status at the revision that it made, or a later object.
    fn is_status_known(&self) -> bool {
        let has_revision = |node: &Node| {
            let mut orders = node.book.orders().iter();
            orders.any(|order| order.rollout.revision >= self.object.reported)
        };
        self.nodes.iter().all(has_revision)
    }

    /// Reports whether a node that starts finds the order by the object alone.
    fn names_order(&self) -> bool {
        let order = self.object.rollout(&Replacements::default()).order;
        order == self.object.written
    }

    /// Reports whether a node knows a verdict that was reached for another order than the object's.
    fn knows_wrong_verdict(&self, node: &Node) -> bool {
        let mut orders = node.book.orders().iter();
        orders.any(|order| {
            let is_current = order.rollout.revision == self.object.revision;
            let known = order.rollout.state.filter(|state| state.is_end());
            is_current && known.is_some() && known != self.object.verdict
        })
    }
}

impl Model for Replacements {
    type State = State;

    fn initial(&self) -> State {
        State {
            object: Object {
                target: "v2",
                status: None,
                revision: 1,
                written: 1,
                reported: 0,
                verdict: None,
            },
            nodes: Default::default(),
            orders: 0,
            has_restarted: false,
            is_wrong: false,
        }
    }

    fn steps(&self, old: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        let mut step = |label: String, change: &dyn Fn(&mut State)| {
            let mut next = old.clone();
            change(&mut next);
            steps.push((label, next));
        };
        if old.orders < MAX_ORDERS {
            for target in ["v2", "v3"] {
                let status = old.object.status.as_ref();
                let is_named = status.is_some_and(|status| &*status.target == target);
                if !is_named || old.is_status_known() || self.hides_order {
                    step(format!("the operator orders {target}"), &|next| {
                        next.order(target);
                    });
                }
            }
        }
        if old.names_order() && !old.has_restarted {
            step("1 restarts".to_owned(), &|next| {
                next.nodes[1] = Node::default();
                next.has_restarted = true;
            });
        }
        for node in 0..NODES {
            step(format!("{node} reads"), &|next| next.read(node, self));
            if old.nodes[node].write.is_some() {
                for is_answered in [false, true] {
                    if !is_answered && !LOSES_ANSWERS[node] {
                        continue;
                    }
                    let label = format!("{node}'s report arrives, answered: {is_answered}");
                    step(label, &|next| next.arrive(node, is_answered));
                }
                continue;
            }
            if old.nodes[node].writes == MAX_WRITES[node] {
                continue;
            }
            for write in old.writes(node) {
                step(format!("{node} reports {:?}", write.state), &|next| {
                    next.nodes[node].write = Some(write.clone());
                    next.nodes[node].writes += 1;
                });
            }
        }
        steps
    }

    fn invariant(&self, state: &State) -> Result<(), &'static str> {
        if state.is_wrong {
            return Err("a report must be of the order that the operator wrote last");
        }
        if state
            .nodes
            .iter()
            .any(|node| state.knows_wrong_verdict(node))
        {
            return Err("an order must begin without the verdict of an earlier one");
        }
        Ok(())
    }
}

/// Guards against counts and verdicts of one order that decide about the next one.
#[test]
fn a_verdict_applies_to_its_own_order_alone() {
    let report = search(&Replacements::default(), MAX_STATES);
    println!("{report}");
    assert!(report.violation.is_none(), "{report}");
    assert!(report.states > 500, "{report}");
}

#[test_case(&Replacements { keeps_order: true, ..Replacements::default() }; "an order that is known by its object")]
#[test_case(&Replacements { hides_order: true, ..Replacements::default() }; "the same contents before the report of the first ones is read")]
fn the_search_finds_a_verdict_of_another_order(model: &Replacements) {
    let report = search(model, MAX_STATES);
    assert!(report.violation.is_some(), "{report}");
}
