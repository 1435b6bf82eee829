//! An exhaustive search for a verdict that changes after the store was restored from a copy. Verdicts
//! and orders are lost, orders are written again, and revisions are given out again.

use std::{sync::Arc, time::Duration};

use cassiareel::kernel::check::{search, Model};
use test_case::test_case;

use super::{state_to_report, KnownOrder, OrderBook, RolloutDecision};
use crate::model::{Rollout, RolloutState, StoreRevision};

/// The limit on the states of a search, above what it needs.
const MAX_STATES: usize = 2_000_000;

/// The number of nodes that judge the rollout.
const NODES: usize = 2;

/// The largest number of writes in flight that a node begins.
const MAX_WRITES: u8 = 3;

/// The time after which a verdict may be reached again.
const GRACE: Duration = Duration::from_secs(10);

/// An order in the store.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Stored {
    target: &'static str,
    created: u64,
    revision: u64,
    /// The state, and the target that it is about.
    state: Option<(&'static str, RolloutState)>,
}

/// The contents of the store.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Contents {
    revision: u64,
    order: Option<Stored>,
}

/// A write of a state.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Write {
    /// The order's revision that the write expects.
    expected: u64,
    target: &'static str,
    state: RolloutState,
    /// The revision by which the node knows the order, and the era in which it read it.
    id: StoreRevision,
    read_in: u64,
}

#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct Node {
    book: OrderBook,
    write: Option<Write>,
    writes: u8,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    era: u64,
    now: Duration,
    store: Contents,
    copy: Contents,
    nodes: [Node; NODES],
    has_restarted: bool,
    /// The first verdict that the store acknowledged.
    verdict: Option<RolloutState>,
    has_changed: bool,
}

/// Nodes and a store, and what broken nodes omit.
#[derive(Clone, Copy, Debug, Default)]
struct Restores {
    /// Verdicts are reached at any time.
    ends_at_once: bool,
    /// Verdicts are written on orders that were read in an earlier era.
    ignores_eras: bool,
    /// Writes that were sent before the restore take effect after it.
    writes_late: bool,
    /// The order is missing in the copy, and another one may be written first.
    copy_is_empty: bool,
}

impl Contents {
    /// Writes an order, in place of an earlier one.
    fn write_order(&mut self, target: &'static str) {
        self.revision += 1;
        self.order = Some(Stored {
            target,
            created: self.revision,
            revision: self.revision,
            state: None,
        });
    }

    fn rollouts(&self) -> Vec<Rollout> {
        let rollout = |order: Stored| Rollout {
            service: Arc::from("work"),
            target: Arc::from(order.target),
            duration: GRACE,
            // The adapter ignores the state of another target.
            state: order
                .state
                .filter(|(target, _)| *target == order.target)
                .map(|(_, state)| state),
            revision: order.revision,
            order: order.created,
            unproven: Vec::new(),
        };
        self.order.map(rollout).into_iter().collect()
    }
}

impl State {
    fn read(&mut self, node: usize) {
        let at = StoreRevision::new(self.era, self.store.revision);
        let rollouts = self.store.rollouts();
        let book = &mut self.nodes[node].book;
        book.apply(&rollouts, at, self.now, self.now, self.now);
    }

    /// Reports whether a node knows a verdict.
    fn knows_verdict(&self, node: usize) -> bool {
        let mut orders = self.nodes[node].book.orders().iter();
        orders.any(|order| order.rollout.state.is_some_and(RolloutState::is_end))
    }

    /// A node's write arrives, and its answer.
    fn arrive(&mut self, node: usize) {
        let Some(write) = self.nodes[node].write.take() else {
            return;
        };
        let Some(order) = self
            .store
            .order
            .as_mut()
            .filter(|o| o.revision == write.expected)
        else {
            return;
        };
        self.store.revision += 1;
        order.revision = self.store.revision;
        order.state = Some((write.target, write.state));
        let is_verdict = order.target == "v2" && write.target == "v2" && write.state.is_end();
        if is_verdict {
            let first = *self.verdict.get_or_insert(write.state);
            self.has_changed |= first != write.state;
        }
        let era = write.read_in;
        let book = &mut self.nodes[node].book;
        book.record_state(write.id, write.state, era, None);
    }

    /// Returns the writes that a node may begin.
    fn writes(&self, node: usize, model: &Restores) -> Vec<Write> {
        let book = &self.nodes[node].book;
        let mut writes = Vec::new();
        let is_current = |order: &KnownOrder| {
            let era = order.newest_id().era();
            book.is_listed(order) && (era == self.era || model.ignores_eras)
        };
        let orders = book.orders().iter();
        for order in orders.filter(|order| is_current(order)) {
            let target = if &*order.rollout.target == "v2" {
                "v2"
            } else {
                "v3"
            };
            let write = |state| Write {
                expected: order.rollout.revision,
                target,
                state,
                id: order.id(),
                read_in: order.newest_id().era(),
            };
            if let Some((verdict, _)) = order.lost_verdict() {
                writes.push(write(verdict));
            }
            if book.may_end(self.now) || model.ends_at_once {
                let decisions = [RolloutDecision::Complete, RolloutDecision::RollBack];
                let states = decisions.map(|d| state_to_report(order.rollout.state, d));
                writes.extend(states.into_iter().flatten().map(write));
            }
        }
        writes
    }

    /// Reports whether the time that nodes have to write lost verdicts again is over: they are quick
    /// enough to do so within it.
    fn may_settle(&self) -> bool {
        let has_read = |node: &Node| {
            let mut orders = node.book.orders().iter();
            orders.all(|order| {
                node.book.is_listed(order)
                    && order.newest_id().era() == self.era
                    && order.lost_verdict().is_none()
            })
        };
        self.now < GRACE && self.era > 0 && self.nodes.iter().all(has_read)
    }
}

impl Model for Restores {
    type State = State;

    fn initial(&self) -> State {
        let mut copy = Contents {
            revision: 4,
            order: None,
        };
        let mut store = copy;
        store.write_order("v2");
        if !self.copy_is_empty {
            copy = store;
        }
        State {
            era: 0,
            now: Duration::ZERO,
            store,
            copy,
            nodes: Default::default(),
            has_restarted: false,
            verdict: None,
            has_changed: false,
        }
    }

    fn steps(&self, old: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        let mut step = |label: String, change: &dyn Fn(&mut State)| {
            let mut next = old.clone();
            change(&mut next);
            steps.push((label, next));
        };
        if old.era == 0 {
            step("the store is restored".to_owned(), &|next| {
                next.era += 1;
                if !self.writes_late {
                    next.nodes.iter_mut().for_each(|node| node.write = None);
                }
                next.store = next.copy;
            });
        }
        if old.store.order.is_none() {
            step("another order is written".to_owned(), &|next| {
                next.store.write_order("v3");
                // It withdraws the one that was lost.
                next.verdict = None;
            });
        }
        if old.store.order.is_none_or(|order| order.target != "v2") {
            step("the order is written again".to_owned(), &|next| {
                next.store.write_order("v2");
            });
        }
        if old.may_settle() {
            step("the grace is over".to_owned(), &|next| next.now = GRACE);
        }
        // A verdict that nobody knows is lost.
        if old.era > 0 && !old.has_restarted && !old.knows_verdict(1) {
            step("1 restarts".to_owned(), &|next| {
                next.nodes[1] = Node::default();
                next.has_restarted = true;
            });
        }
        for node in 0..NODES {
            step(format!("{node} reads"), &|next| next.read(node));
            if old.nodes[node].write.is_some() {
                step(format!("{node}'s write arrives"), &|next| next.arrive(node));
                continue;
            }
            if old.nodes[node].writes == MAX_WRITES {
                continue;
            }
            for write in old.writes(node, self) {
                step(format!("{node} writes {:?}", write.state), &|next| {
                    next.nodes[node].write = Some(write.clone());
                    next.nodes[node].writes += 1;
                });
            }
        }
        steps
    }

    fn invariant(&self, state: &State) -> Result<(), &'static str> {
        if state.has_changed {
            return Err("a verdict must not change");
        }
        Ok(())
    }
}

#[test]
fn a_verdict_that_a_restored_store_lost_does_not_change() {
    for copy_is_empty in [false, true] {
        let model = Restores {
            copy_is_empty,
            ..Restores::default()
        };
        let report = search(&model, MAX_STATES);
        println!("{report}");
        assert!(report.violation.is_none(), "{report}");
        assert!(report.states > 500, "{report}");
    }
}

/// The store can't be told the era for which a write is meant: one that it takes after a restore can
/// change a verdict that it has lost.
#[test_case(&Restores { writes_late: true, ..Restores::default() }; "a write that the restore overtakes")]
#[test_case(&Restores { ends_at_once: true, ..Restores::default() }; "a verdict that is reached at once")]
#[test_case(&Restores { ignores_eras: true, ..Restores::default() }; "a verdict on an order of an earlier era")]
fn the_search_finds_a_verdict_that_changes(model: &Restores) {
    let report = search(model, MAX_STATES);
    assert!(report.violation.is_some(), "{report}");
}
